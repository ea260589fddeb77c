//! The object API: versioned values, conditional changes and watches.

use std::fmt;

use async_trait::async_trait;
use jm_types::DurationMs;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Largest value of an object; a limit of the platform.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest key of an object.
pub const MAX_KEY_BYTES: usize = 512;

/// Position of a change in the store's history. The version of an object is that of its last change, so versions of
/// different objects can be compared, and a version is never used twice, even when an object is deleted and created
/// again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A stored value and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The value.
    pub value: Vec<u8>,
    /// Version of the last change of the object.
    pub version: Version,
}

/// An object with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedObject {
    /// The key.
    pub key: String,
    /// The object.
    pub object: Object,
}

/// All objects below a prefix at one point of the history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects in the order of their keys.
    pub objects: Vec<KeyedObject>,
    /// Version of the store when the listing was made; a watch after it continues without a gap.
    pub version: Version,
}

/// One change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Version of the change.
    pub version: Version,
    /// The new value, or none when the object was deleted.
    pub value: Option<Vec<u8>>,
}

/// Answer to a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes in the order of their versions; empty when the wait passed without a change.
    pub changes: Vec<Change>,
    /// The version to watch after next. Every change below the prefix up to it is in this or an earlier answer.
    pub version: Version,
}

/// What must hold for a change to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Any,
    /// The object does not exist.
    Absent,
    /// The object exists with this version.
    Version(Version),
}

impl Condition {
    /// Whether the condition holds for an object of version `current`, which is none when it does not exist.
    pub fn holds(self, current: Option<Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => current.is_none(),
            Self::Version(version) => current == Some(version),
        }
    }
}

/// Why a change of an object was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ObjectError {
    /// The condition does not hold; the change was not applied.
    #[snafu(display("the condition does not hold; the current version is {current:?}"))]
    Conflict {
        /// Version of the existing object, or none when it does not exist.
        current: Option<Version>,
    },
    /// The store cannot be reached or refuses to work; the change was not applied.
    #[snafu(display("the object API is not available: {reason}"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
    /// The request may have reached the store and no answer came; whether the change was applied is not known.
    #[snafu(display("the answer of the object API was lost: {reason}"))]
    AnswerLost {
        /// The cause.
        reason: String,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]; the change was not applied.
    #[snafu(display("the value has {bytes} bytes; at most {MAX_VALUE_BYTES} are allowed"))]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
    /// The key is not valid, see [`is_valid_key`]; the change was not applied.
    #[snafu(display("{key:?} is not a valid object key"))]
    InvalidKey {
        /// The key.
        key: String,
    },
}

impl ObjectError {
    /// Whether the change may have taken effect.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::AnswerLost { .. })
    }
}

/// Why nothing could be read. A lost answer to a read has no consequence and counts as unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The platform cannot be reached, refuses to work, or its answer was lost.
    #[snafu(display("the platform is not available: {reason}"))]
    ReadUnavailable {
        /// The cause.
        reason: String,
    },
    /// The key or prefix is not valid, see [`is_valid_key`].
    #[snafu(display("{key:?} is not a valid object key or prefix"))]
    InvalidReadKey {
        /// The key.
        key: String,
    },
}

/// Why a watch ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WatchError {
    /// The store cannot continue from the given version: changes after it are no longer kept, or the store has not
    /// reached it. The caller lists the prefix again and watches after the version of the listing.
    #[snafu(display("the history does not reach back to the given version; list again (now at {current})"))]
    Relist {
        /// Current version of the store.
        current: Version,
    },
    /// The watch could not be read.
    #[snafu(display("{source}"), context(false))]
    Watch {
        /// The cause.
        source: ReadError,
    },
}

/// The object API. Each call counts against the platform's rates; a waiting watch is one call.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object; none when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError>;

    /// Writes one object if `condition` holds, and returns its new version.
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError>;

    /// Deletes one object if `condition` holds. Deleting a missing object on [`Condition::Any`] is no change.
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError>;

    /// Reads all objects whose keys start with `prefix`, as of one version of the store.
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError>;

    /// Returns the changes below `prefix` after a version of the store, waiting at most `wait` for the first one.
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError>;
}

/// Whether `key` can name an object: segments out of the alphabet of the ids, separated by `/`. No segment is empty or
/// starts with a dot, so that no URL library changes the path.
pub fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.split('/').all(is_valid_segment)
}

/// Whether `prefix` can be listed or watched: empty, or the beginning of a valid key.
pub fn is_valid_prefix(prefix: &str) -> bool {
    prefix.is_empty() || is_valid_key(prefix.strip_suffix('/').unwrap_or(prefix))
}

fn is_valid_segment(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !segment.is_empty() && !segment.starts_with('.') && segment.bytes().all(is_allowed)
}
