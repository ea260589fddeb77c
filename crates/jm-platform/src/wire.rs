//! Header names, paths and formats of the platform's HTTP API, shared by the client and the stand-in.
//! `docs/platform-api.md` describes them.

use serde::{Deserialize, Serialize};

use crate::{Change, Version};

/// Header with the version of one object.
pub const OBJECT_VERSION: &str = "object-version";

/// Header with the version of the store. Every response of the object API has it, so that a client does not interpret
/// status 404 of an unrelated server as a missing object.
pub const STORE_VERSION: &str = "store-version";

/// Header with the fencing number of the sender's lease.
pub const FENCING_NUMBER: &str = "fencing-number";

/// Header with the time in milliseconds after which a rate-limited fetch would be accepted.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Path prefix of an object, followed by its key.
pub const OBJECTS_PATH: &str = "/v1/objects/";

/// Path for listing objects. The query states the prefix.
pub const LISTING_PATH: &str = "/v1/objects";

/// Path for watching objects. The query states prefix, version and wait time.
pub const CHANGES_PATH: &str = "/v1/changes";

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Path of the list of ordered targets. The path of a single target is this path, a slash and the target id.
pub const TARGETS_PATH: &str = "/v1/targets";

/// Path prefix of a usage report, followed by the window id.
pub const USAGE_PATH: &str = "/v1/usage/";

/// Path prefix of a model, followed by the model id and `/versions`.
pub const MODELS_PATH: &str = "/v1/models/";

#[derive(Serialize, Deserialize)]
struct RecordHead {
    key: String,
    version: Version,
    /// Length of the value. Absent if the object was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bytes: Option<usize>,
}

/// Appends one record of a listing or watch response: a line with a JSON head, then the value and a line feed. A
/// deletion has only the head.
pub fn append_record(output: &mut Vec<u8>, key: &str, version: Version, value: Option<&[u8]>) {
    let head = RecordHead {
        key: key.to_owned(),
        version,
        bytes: value.map(<[u8]>::len),
    };
    // Serialisation cannot fail, because a head contains only strings and numbers.
    output.extend(serde_json::to_vec(&head).unwrap_or_default());
    output.push(b'\n');
    if let Some(value) = value {
        output.extend_from_slice(value);
        output.push(b'\n');
    }
}

/// Parses all records. Returns `None` if any record is malformed or incomplete.
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
