//! Requests to the scheduler and its results.

use std::fmt;

use jm_types::{OrganisationId, RequestId, ResultCode, ServiceId, TargetId, Timestamp, TokenCount};
use snafu::Snafu;

/// The traffic class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A request of a live client, which waits for the response.
    Live,
    /// A request that generates a sample for a trainer.
    Training,
}

impl Class {
    /// Both classes in order of priority.
    pub const ALL: [Self; 2] = [Self::Live, Self::Training];
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Training => "training",
        })
    }
}

/// A request to be queued for a target.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Identifies the request in later calls; unique within the daemon.
    pub id: RequestId,
    /// The organisation whose share is charged.
    pub organisation: OrganisationId,
    /// Id of the service that the caller addressed.
    pub service: ServiceId,
    /// The traffic class; live requests are served first.
    pub class: Class,
    /// Number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: TokenCount,
    /// Maximum number of generated tokens; 0 for a plain service.
    pub max_tokens: TokenCount,
    /// Hashes of prefixes of the prompt, shortest first. Each prefix starts at the beginning of the prompt.
    pub prefix_hashes: Vec<u64>,
    /// Time at which the request expires if it is still queued.
    pub deadline: Timestamp,
    /// Targets that must not be used, because an earlier attempt was sent to them.
    pub avoid: Vec<TargetId>,
}

/// A request that is to be sent to a target now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the queued request.
    pub request: RequestId,
    /// The target to send the request to.
    pub target: TargetId,
}

/// The reason why a request was not accepted. A refused request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code}: {message}"))]
pub struct Refusal {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Reason in words, with the length of the queue.
    pub message: String,
}

/// A request that was removed from the queue before it was sent to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expired {
    /// Id of the removed request.
    pub request: RequestId,
    /// `DeadlinePassed`, or `NoTarget` when no target can run the request any more.
    pub code: ResultCode,
}

/// The result of a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target sent a complete response. Holds the total number of generated tokens, including those already
    /// reported by `progress`; 0 for a plain service.
    Finished(TokenCount),
    /// The target failed or was unreachable.
    Failed,
    /// The caller or the daemon cancelled the request. The target's health does not change.
    Cancelled,
}
