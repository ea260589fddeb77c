//! String ids. All share one alphabet so that an id can stand in a path, an object key or an INI section name.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest accepted id in bytes; object keys are built from up to three ids.
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

fn check(text: &str) -> Result<(), ParseIdError> {
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
            /// Checks the text and wraps it; fails when it holds characters outside the id alphabet.
            pub fn new(text: impl Into<String>) -> Result<Self, ParseIdError> {
                let text = text.into();
                check(&text)?;
                Ok(Self(text))
            }

            /// The id as text, for object keys and log fields.
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
    /// A key's public name; the secret itself is only kept as a hash.
    KeyId,
    /// A service that callers address, served by engines or plain services.
    ServiceId,
    /// One engine or one instance of a plain service.
    TargetId,
    /// An availability zone.
    ZoneId,
    /// A region, a set of availability zones.
    RegionId,
    /// One daemon, stable across restarts; see [`crate::Incarnation`] for a single run of it.
    MemberId,
    /// A training step, named by its trainer.
    StepId,
    /// A batch of requests that were submitted together, named by its submitter.
    BatchId,
    /// A model that engines can load.
    ModelId,
}
