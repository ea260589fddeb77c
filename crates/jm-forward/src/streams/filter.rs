//! Limits the targets of a request by their software version.

use std::collections::BTreeSet;

use jm_types::SoftwareVersion;

use crate::Target;

/// Which software versions the target of a request may have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoftwareFilter {
    /// Any version.
    Any,
    /// Only the version that began the stream.
    Only(Option<SoftwareVersion>),
    /// Only versions that are known to be in use.
    Among(BTreeSet<Option<SoftwareVersion>>),
}

impl SoftwareFilter {
    /// Whether the target may receive the request.
    pub fn admits(&self, target: &Target) -> bool {
        match self {
            Self::Any => true,
            Self::Only(software) => target.software == *software,
            Self::Among(versions) => versions.contains(&target.software),
        }
    }
}
