//! The stored form of a host's origins.

use std::collections::HashSet;

use jm_forward::{Origin, StoredOrigins, StreamKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of a key as text.
const KEY_DIGITS: usize = 16;

/// A stored record cannot be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record is not valid JSON of its form.
    #[snafu(display("the record is not valid: {source}"), context(false))]
    Malformed {
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The keys of the streams are not valid.
    #[snafu(display("the keys of the streams are not valid"))]
    MalformedKeys,
}

/// Origins of the streams of one process of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// When the last origin expires, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
    groups: Vec<StreamGroup>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StreamGroup {
    origin: Origin,
    /// Keys of the streams without a separator.
    keys: String,
}

impl StreamRecord {
    /// Creates the record of `origins`.
    pub fn new(origins: &StoredOrigins, until_unix_ms: u64) -> Self {
        let groups = origins.iter().map(|(origin, keys)| StreamGroup {
            origin: origin.clone(),
            keys: keys.iter().map(StreamKey::to_string).collect(),
        });
        Self {
            until_unix_ms,
            groups: groups.collect(),
        }
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<(StoredOrigins, u64), RecordError> {
        let record: Self = serde_json::from_slice(bytes)?;
        let groups = record.groups.into_iter();
        let origins = groups.map(|group| Ok((group.origin, read_keys(&group.keys)?)));
        Ok((origins.collect::<Result<_, RecordError>>()?, record.until_unix_ms))
    }
}

fn read_keys(text: &str) -> Result<HashSet<StreamKey>, RecordError> {
    let keys = text.as_bytes().chunks(KEY_DIGITS).map(|digits| {
        let digits = std::str::from_utf8(digits).ok()?;
        digits.parse().ok()
    });
    keys.collect::<Option<_>>().ok_or(RecordError::MalformedKeys)
}
