//! The object API: versioned values, conditional updates and watches.

use std::fmt;

use async_trait::async_trait;
use jm_types::DurationMs;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ListingFault;

/// Maximum size of a value. This is a limit of the platform.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum length of an object key.
pub const MAX_KEY_BYTES: usize = 512;

/// Position of a change in the history of the store. The version of an object is the version of its last change, so
/// versions of different objects are comparable. A version is never reused, even when an object is deleted and created
/// again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Creates a version from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the version as a number.
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
    /// The value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Version of the last change to the object.
    pub version: Version,
}

/// An object with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedObject {
    /// Key under which the store holds the object.
    pub key: String,
    /// Value and version of the object at the time of the read.
    pub object: Object,
}

/// All objects with a key prefix, read at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects, sorted by key.
    pub objects: Vec<KeyedObject>,
    /// Version of the store at which the listing was read. A watch that starts after it misses no change.
    pub version: Version,
}

/// A write or deletion of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the object that was written or deleted.
    pub key: String,
    /// Version of the change.
    pub version: Version,
    /// The new value, or `None` if the object was deleted.
    pub value: Option<Vec<u8>>,
}

/// Result of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, sorted by version. Empty if the wait time passed without a change.
    pub changes: Vec<Change>,
    /// The version after which the next watch must start. Every change up to this version is part of this result or an
    /// earlier one.
    pub version: Version,
}

/// Precondition of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object exists with this version.
    Version(Version),
}

impl Condition {
    /// Whether the condition holds for an object with version `current`. `None` means that the object does not exist.
    pub fn holds(self, current: Option<Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => current.is_none(),
            Self::Version(version) => current == Some(version),
        }
    }
}

/// Reason why a change was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ObjectError {
    /// The condition does not hold. The change was not applied.
    #[snafu(display("the condition does not hold; the current version is {current:?}"))]
    Conflict {
        /// Current version of the object, or `None` if it does not exist.
        current: Option<Version>,
    },
    /// The store cannot be reached or refuses the request. The change was not applied.
    #[snafu(display("the object API is unavailable: {reason}"))]
    Unavailable {
        /// Why the store is unavailable, as text.
        reason: String,
    },
    /// The request may have reached the store, but no response was received. It is unknown whether the change was
    /// applied.
    #[snafu(display("no response from the object API: {reason}"))]
    AnswerLost {
        /// Why no response was received, as text.
        reason: String,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]. The change was not applied.
    #[snafu(display("the value has {bytes} bytes, but the maximum is {MAX_VALUE_BYTES}"))]
    TooLarge {
        /// Size of the rejected value.
        bytes: usize,
    },
    /// The key is not valid according to [`is_valid_key`]. The change was not applied.
    #[snafu(display("{key:?} is not a valid object key"))]
    InvalidKey {
        /// Key as the caller passed it.
        key: String,
    },
}

impl ObjectError {
    /// Whether the change may have been applied.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::AnswerLost { .. })
    }
}

/// Reason why a read failed. A lost response to a read has no side effect and counts as unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The platform cannot be reached, refuses the request, or its response was lost.
    #[snafu(display("the platform is unavailable: {reason}"))]
    ReadUnavailable {
        /// Why the read failed, as text.
        reason: String,
    },
    /// The store answers the listing, but its pages make no listing. It answers other hosts in the same way.
    #[snafu(display("the listing of {prefix} cannot be used: {fault}"))]
    FaultyListing {
        /// Prefix of the listing.
        prefix: String,
        /// What is wrong with the pages.
        fault: ListingFault,
    },
    /// The key or prefix is not valid according to [`is_valid_key`] or [`is_valid_prefix`].
    #[snafu(display("{key:?} is not a valid object key or prefix"))]
    InvalidReadKey {
        /// Key or prefix as the caller passed it.
        key: String,
    },
}

/// Reason why a watch failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WatchError {
    /// The store cannot resume from the given version, because later changes are no longer retained or the store has
    /// not reached that version yet. The caller must list the prefix again and watch after the version of the listing.
    #[snafu(display(
        "the store cannot resume from the given version and must be listed again (current version {current})"
    ))]
    Relist {
        /// Current version of the store.
        current: Version,
    },
    /// The watch request failed.
    #[snafu(display("{source}"), context(false))]
    Watch {
        /// Error of the watch request.
        source: ReadError,
    },
}

/// API for reading, changing and watching objects. Each call counts towards the platform's rate limits. A waiting watch
/// is one call.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object. Returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError>;

    /// Writes one object if `condition` holds and returns the new version.
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError>;

    /// Deletes one object if `condition` holds. Deleting a missing object with [`Condition::Any`] succeeds without a
    /// change.
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError>;

    /// Reads all objects whose keys start with `prefix`, at one version of the store.
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError>;

    /// Returns the changes to keys that start with `prefix` after the version `after`. If there is none yet, waits at
    /// most `wait` for the first one.
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError>;
}

/// Whether `key` is a valid object key: segments of ASCII letters, digits, `-`, `_`, `.` and `:`, separated by `/`. No
/// segment is empty or starts with a dot, so that URL libraries do not normalise the path.
pub fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.split('/').all(is_valid_segment)
}

/// Whether `prefix` can be listed or watched. It must be empty, a valid key, or a valid key followed by `/`.
pub fn is_valid_prefix(prefix: &str) -> bool {
    prefix.is_empty() || is_valid_key(prefix.strip_suffix('/').unwrap_or(prefix))
}

fn is_valid_segment(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !segment.is_empty() && !segment.starts_with('.') && segment.bytes().all(is_allowed)
}
