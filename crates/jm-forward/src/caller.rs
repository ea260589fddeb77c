//! Requests of callers and what becomes of them.

use jm_http::{Method, RequestTarget, headers::Headers};
use jm_types::{DurationMs, ResultCode};

use crate::TargetAnswer;

/// A request of a caller whose head and body are whole.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// The host name that it is for.
    pub host: String,
    /// Its method.
    pub method: Method,
    /// Its path and query, as they came.
    pub target: RequestTarget,
    /// Headers that are passed on unchanged.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The key that came with it.
    pub key: Option<String>,
    /// How long the caller waits, when it says so.
    pub timeout_ms: Option<DurationMs>,
}

/// Why a request was not answered by a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRefusal {
    /// The result code; it tells whether the request may have run.
    pub code: ResultCode,
    /// What happened.
    pub message: String,
    /// When the caller may come back, for a request that has not run.
    pub retry_after_ms: Option<DurationMs>,
}

/// The answer of a target, with what the log says of it.
#[derive(Debug)]
pub struct ForwardAnswer {
    /// The answer.
    pub answer: TargetAnswer,
    /// Targets to which the request was sent.
    pub attempts: usize,
}

/// What became of a request.
pub type ForwardResult = Result<ForwardAnswer, ForwardRefusal>;
