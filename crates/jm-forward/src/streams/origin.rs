//! Origin of a stream, and the key that identifies the stream.

use std::{fmt, str::FromStr};

use jm_types::{DurationMs, OrganisationId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Time limits of a route after which no client resumes a stream any more: the first attempt and three more.
const TIME_LIMITS_OF_STREAM: u64 = 4;
/// Time that the pauses between the attempts of a client add to that.
const PAUSES_MS: DurationMs = DurationMs::new(10_000);

/// Length of a key as text.
const KEY_DIGITS: usize = 16;

/// Time for which a stream may still be resumed after an attempt with this time limit began.
pub fn stream_life(time_limit: DurationMs) -> DurationMs {
    DurationMs::new(time_limit.get().saturating_mul(TIME_LIMITS_OF_STREAM)).saturating_add(PAUSES_MS)
}

/// Service and software version of the target that began a stream. No version stands for targets whose entry names none;
/// they count as a version of their own.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the target.
    pub service: ServiceId,
    /// Software version of the target.
    pub software: Option<SoftwareVersion>,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.software {
            Some(software) => write!(f, "service {} with software {software}", self.service),
            None => write!(f, "service {} with software of no version", self.service),
        }
    }
}

/// Identifies a stream by the organisation and the id of a request that brought events of it. The same id of another
/// organisation has another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Key of the request `id` of `organisation`. `None` for a request without an id, which nobody can name.
    pub fn new(organisation: Option<&OrganisationId>, id: &str) -> Option<Self> {
        if id.is_empty() {
            return None;
        }
        let mut hasher = Sha256::new();
        if let Some(organisation) = organisation {
            hasher.update(organisation.as_str());
        }
        // No id of an organisation contains this byte.
        hasher.update([0]);
        hasher.update(id);
        let digest = hasher.finalize();
        let start = digest.first_chunk().copied().unwrap_or_default();
        Some(Self(u64::from_be_bytes(start)))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0KEY_DIGITS$x}", self.0)
    }
}

/// The text is not the key of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseStreamKeyError;

impl fmt::Display for ParseStreamKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the key of a stream has {KEY_DIGITS} hexadecimal digits")
    }
}

impl std::error::Error for ParseStreamKeyError {}

impl FromStr for StreamKey {
    type Err = ParseStreamKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != KEY_DIGITS {
            return Err(ParseStreamKeyError);
        }
        let value = u64::from_str_radix(text, 16);
        value.map(Self).map_err(|_| ParseStreamKeyError)
    }
}
