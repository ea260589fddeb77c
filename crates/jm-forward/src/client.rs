//! Interface to the HTTP client that sends requests to targets.

use std::{fmt, sync::Arc};

use async_trait::async_trait;
use jm_http::{Body, SentStatus, headers::Headers};
use jm_types::{DurationMs, OrganisationId};

use crate::{CallerRequest, RunKey, Target};

/// Options of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptOptions {
    /// Time until the deadline of the request.
    pub time_left_ms: DurationMs,
    /// Organisation that the request belongs to. `None` on public routes and without configured organisations.
    pub organisation: Option<OrganisationId>,
    /// Whether the request may run twice. Only such a request may be sent on a pooled idle connection, because the
    /// target may close it at any moment.
    pub is_idempotent: bool,
    /// Whether the response body is streamed to the caller instead of being read completely first.
    pub streams: bool,
}

/// Body of a response.
pub enum AnswerBody {
    /// Complete body.
    Whole(Vec<u8>),
    /// Body that is streamed while it arrives.
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

/// Response of a target that ran the request.
#[derive(Debug)]
pub struct TargetAnswer {
    /// HTTP status as the target sent it.
    pub status: SentStatus,
    /// Headers without the hop-by-hop ones.
    pub headers: Headers,
    /// Body, complete or streamed.
    pub body: AnswerBody,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target ran the request and responded.
    Answered(TargetAnswer),
    /// The target rejected the request without running it.
    NotRun {
        /// Status of the response, or the cause.
        reason: String,
    },
    /// No byte of the request was written.
    Unsent {
        /// Error of the connection.
        reason: String,
    },
    /// The request was written, but no complete response arrived. It may have run.
    Lost {
        /// Error of the connection or the response.
        reason: String,
    },
}

/// Sends requests to targets. Dropping the returned future closes the connection. The target then stops
/// processing the request.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Sends `request` to `target` once, without a retry.
    async fn send(
        &self,
        target: &Target,
        request: &CallerRequest,
        options: &AttemptOptions,
    ) -> AttemptOutcome;
}

/// Receives what targets report about themselves in their answers to requests of any kind.
pub trait NoticeListener: Send + Sync {
    /// The target is about to exit. Called as soon as the head of the answer has arrived.
    fn target_leaving(&self, run: &RunKey);

    /// The target stays cold for `left_ms`. Called as soon as the head of the answer has arrived.
    fn target_cold(&self, _run: &RunKey, _left_ms: DurationMs) {}

    /// No connection to the target could be opened.
    fn target_unreachable(&self, _target: &Target) {}

    /// The target answered a request of any kind.
    fn target_answered(&self, _target: &Target) {}
}

/// Source of the notices of targets.
pub trait TargetNotices: Send + Sync {
    /// Passes all notices from now on to `listener`. Only the first listener receives them.
    fn listen(&self, listener: Arc<dyn NoticeListener>);
}
