//! Reward calls: requests that score the complete texts of items.

use std::{fmt, str::FromStr};

use async_trait::async_trait;
use jm_forward::Target;
use jm_types::DurationMs;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::spec::base64_bytes;

/// The request that scores an item's text. It is sent once the text is complete and may run more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// Id of the request, which is the same for each of its attempts.
    pub id: String,
    /// Host name of the request; selects the route together with the path.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request, stored in Base64.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// The score of a text: the signature of the service that scored it. Readers get it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RewardScore(String);

/// The text cannot be a score.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a score has 1 to {MAX_SCORE_BYTES} visible ASCII characters"))]
pub struct InvalidScore;

/// Maximum length of a score.
const MAX_SCORE_BYTES: usize = 512;

impl RewardScore {
    /// The score as it is returned to readers.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for RewardScore {
    type Err = InvalidScore;

    fn from_str(text: &str) -> Result<Self, InvalidScore> {
        let is_valid =
            (1..=MAX_SCORE_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        ensure!(is_valid, InvalidScoreSnafu);
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for RewardScore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Outcome of one attempt of a reward call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RewardEnd {
    /// The service scored the text.
    Scored(RewardScore),
    /// The service failed to score the text, which counts against the attempts of the call.
    Failed {
        /// Status or cause.
        reason: String,
    },
    /// The service reported that it did not run the call.
    NotRun {
        /// Status or cause.
        reason: String,
    },
    /// The call was not sent.
    Unsent {
        /// Why it was not sent.
        reason: String,
    },
    /// The call was sent, but no complete and valid answer arrived.
    Lost {
        /// Description of the failure.
        reason: String,
    },
}

/// Sends reward calls. Dropping the future closes the connection.
#[async_trait]
pub trait RewardClient: Send + Sync {
    /// Sends `call` to `target` once, without a retry. `time_left_ms` is the deadline that the target is given.
    async fn score(&self, target: &Target, call: &RewardCall, time_left_ms: DurationMs) -> RewardEnd;
}
