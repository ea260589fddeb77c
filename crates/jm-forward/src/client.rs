//! The border to what carries requests to targets.

use std::fmt;

use async_trait::async_trait;
use jm_http::{Body, StatusCode, headers::Headers};
use jm_types::{DurationMs, OrganisationId};

use crate::{CallerRequest, Target};

/// How one attempt is made.
#[derive(Debug, Clone)]
pub struct AttemptOptions {
    /// Time that is left for the attempt.
    pub time_left_ms: DurationMs,
    /// The organisation that the request runs for.
    pub organisation: Option<OrganisationId>,
    /// Whether the request may run twice, so that an idle connection can be used.
    pub is_idempotent: bool,
    /// Whether the body is passed on as it arrives instead of being read first.
    pub streams: bool,
}

/// Body of an answer.
pub enum AnswerBody {
    /// It was read to its end.
    Whole(Vec<u8>),
    /// It arrives while it is passed on.
    Stream(Body),
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

/// The answer of a target that ran the request.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that concern one connection.
    pub headers: Headers,
    /// Its body.
    pub body: AnswerBody,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target ran the request and answered.
    Answered(TargetAnswer),
    /// The target says that it did not run the request.
    NotRun {
        /// Status or cause.
        reason: String,
    },
    /// Nothing was written.
    Unsent {
        /// The cause.
        reason: String,
    },
    /// The request was written and no whole answer came; it may have run.
    Lost {
        /// The cause.
        reason: String,
    },
}

/// Sends requests to targets. Dropping the future closes the connection, which makes the target stop its work.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Makes one attempt at `target`.
    async fn send(
        &self,
        target: &Target,
        request: &CallerRequest,
        options: &AttemptOptions,
    ) -> AttemptOutcome;
}
