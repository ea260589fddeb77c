//! Names and formats of the platform's HTTP API, for its clients and its stand-in. `docs/platform-api.md` describes
//! them.

use serde::{Deserialize, Serialize};

use crate::{Change, Version};

/// Header with the version of one object.
pub const OBJECT_VERSION: &str = "object-version";

/// Header with the version of the store. It is on every answer of the object API, so that a client does not take the
/// 404 of some other server for a missing object.
pub const STORE_VERSION: &str = "store-version";

/// Header with the sender's fencing number.
pub const FENCING_NUMBER: &str = "fencing-number";

/// Header with the time after which a refused fetch would be let through.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Path below which the objects are, followed by the key.
pub const OBJECTS_PATH: &str = "/v1/objects/";

/// Path of listings.
pub const LISTING_PATH: &str = "/v1/objects";

/// Path of watches.
pub const CHANGES_PATH: &str = "/v1/changes";

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Path of ordered targets; a single one is at this path, a slash and its id.
pub const TARGETS_PATH: &str = "/v1/targets";

/// Path below which usage reports are, followed by the window.
pub const USAGE_PATH: &str = "/v1/usage/";

/// Path below which models are, followed by the model and `/versions`.
pub const MODELS_PATH: &str = "/v1/models/";

#[derive(Serialize, Deserialize)]
struct RecordHead {
    key: String,
    version: Version,
    /// Length of the value; missing when the object was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bytes: Option<usize>,
}

/// Appends one record of a listing or of a watch's answer: a line with a JSON head, then the value and a line end.
pub fn append_record(output: &mut Vec<u8>, key: &str, version: Version, value: Option<&[u8]>) {
    let head = RecordHead {
        key: key.to_owned(),
        version,
        bytes: value.map(<[u8]>::len),
    };
    // A head has only strings and numbers, whose serialisation cannot fail.
    output.extend(serde_json::to_vec(&head).unwrap_or_default());
    output.push(b'\n');
    if let Some(value) = value {
        output.extend_from_slice(value);
        output.push(b'\n');
    }
}

/// Reads all records; none when they are not whole.
pub fn read_records(mut input: &[u8]) -> Option<Vec<Change>> {
    let mut records = Vec::new();
    while !input.is_empty() {
        let (record, rest) = read_record(input)?;
        records.push(record);
        input = rest;
    }
    Some(records)
}

fn read_record(input: &[u8]) -> Option<(Change, &[u8])> {
    let head_end = input.iter().position(|byte| *byte == b'\n')?;
    let head: RecordHead = serde_json::from_slice(&input[..head_end]).ok()?;
    let after_head = &input[head_end + 1..];
    let (value, rest) = match head.bytes {
        Some(bytes) => {
            let (value, rest) = after_head.split_at_checked(bytes)?;
            (Some(value.to_vec()), rest.strip_prefix(b"\n")?)
        }
        None => (None, after_head),
    };
    let change = Change {
        key: head.key,
        version: head.version,
        value,
    };
    Some((change, rest))
}
