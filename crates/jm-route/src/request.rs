//! Requests as the scheduler sees them, and its answers.

use std::fmt;

use jm_types::{OrganisationId, RequestId, ResultCode, ServiceId, TargetId, Timestamp, TokenCount};
use snafu::Snafu;

/// Whether a person waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A live caller waits for the answer.
    Live,
    /// A sample for a trainer.
    Training,
}

impl Class {
    /// Both classes, in the order in which they are served.
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

/// A request that waits for a target.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Names the request in later calls; unique within the daemon.
    pub id: RequestId,
    /// The organisation that is charged.
    pub organisation: OrganisationId,
    /// The service asked for.
    pub service: ServiceId,
    /// Live or training.
    pub class: Class,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: TokenCount,
    /// Most tokens that may be generated; 0 for a plain service.
    pub max_tokens: TokenCount,
    /// Hashes of ever longer prefixes of the prompt, shortest first; each covers all text before it.
    pub prefix_hashes: Vec<u64>,
    /// The request is given up when it still waits at this time.
    pub deadline: Timestamp,
    /// Targets that were tried before and must not be tried again.
    pub avoid: Vec<TargetId>,
}

/// A request to send to a target now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub request: RequestId,
    /// The target that runs it.
    pub target: TargetId,
}

/// Why a request was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code}: {message}"))]
pub struct Refusal {
    /// The numbered reason.
    pub code: ResultCode,
    /// Says why, and how long the queue is.
    pub message: String,
}

/// A request that left the queue without being sent to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expired {
    /// The request.
    pub request: RequestId,
    /// `DeadlinePassed`, or `NoTarget` when no target is left that may run it.
    pub code: ResultCode,
}

/// How a request on a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered in full. Holds all tokens generated for the request, including those already named by
    /// `progress`; 0 for a plain service.
    Finished(TokenCount),
    /// The target failed or could not be reached.
    Failed,
    /// The caller or the daemon gave the request up; says nothing about the target.
    Cancelled,
}
