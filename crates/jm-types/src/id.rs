//! String ids. All ids use the same character set, so that an id is valid in a path, an object key and the name of an
//! INI section.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of an id in bytes. The limit bounds object keys, which are built from up to three ids.
pub const MAX_ID_BYTES: usize = 128;

/// The text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a valid id: use 1 to {MAX_ID_BYTES} characters out of a-z, A-Z, 0-9, '-', '_', '.' and ':', not starting with '.'"
))]
pub struct ParseIdError {
    text: String,
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn validate(text: &str) -> Result<(), ParseIdError> {
    let valid = !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && !text.starts_with('.')
        && text.bytes().all(is_id_byte);
    if valid {
        Ok(())
    } else {
        ParseIdSnafu { text }.fail()
    }
}

macro_rules! string_id {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates an id. Fails when the text is empty, is longer than [`MAX_ID_BYTES`], starts with a dot or
            /// contains a character that ids don't allow.
            pub fn new(text: impl Into<String>) -> Result<Self, ParseIdError> {
                let text = text.into();
                validate(&text)?;
                Ok(Self(text))
            }

            /// The text of the id, for use in object keys and log fields.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )+};
}

string_id! {
    /// An organisation that owns keys and is charged for usage.
    OrganisationId,
    /// The public name of a key. Only a hash of the key's secret is stored.
    KeyId,
    /// A service that callers address, served by engines or plain services.
    ServiceId,
    /// One engine or one instance of a plain service.
    TargetId,
    /// An availability zone.
    ZoneId,
    /// A region, which is a set of availability zones.
    RegionId,
    /// One daemon. The id is stable across restarts; [`crate::Incarnation`] identifies a single run.
    MemberId,
    /// A training step, named by its trainer.
    StepId,
    /// A batch of requests that were submitted together, named by its submitter.
    BatchId,
    /// A model that engines can load.
    ModelId,
}
