//! The version of the software that a target runs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a software version in bytes.
pub const MAX_SOFTWARE_VERSION_BYTES: usize = 128;

/// The text is not a valid software version.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a valid software version: use 1 to {MAX_SOFTWARE_VERSION_BYTES} bytes without control characters"
))]
pub struct ParseSoftwareVersionError {
    text: String,
}

/// Version of a target's software, not of its weights. Targets of several versions may serve side by side in a service. What
/// two versions write does not fit together, so a stream continues only at the version that began it. Versions have no
/// order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// The text of the version, as the target reports it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseSoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_from(text.to_owned())
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseSoftwareVersionError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let has_valid_length = (1..=MAX_SOFTWARE_VERSION_BYTES).contains(&text.len());
        match has_valid_length && !text.chars().any(char::is_control) {
            true => Ok(Self(text)),
            false => ParseSoftwareVersionSnafu { text }.fail(),
        }
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}
