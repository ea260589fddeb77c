//! Requests of callers and the results of forwarding them.

use jm_http::{Method, RequestTarget, SharedBytes, headers::Headers};
use jm_types::{DurationMs, ResultCode};

use crate::{Route, TargetAnswer};

/// A caller's request with its complete head and body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id set by the caller; empty if the request has none.
    pub id: String,
    /// Host name that the request is addressed to; selects the routes.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unmodified.
    pub target: RequestTarget,
    /// Headers that are forwarded unchanged.
    pub headers: Headers,
    /// Complete body; empty if there is none. All attempts share it.
    pub body: SharedBytes,
    /// API key sent with the request. `None` if it has none.
    pub key: Option<String>,
    /// How long the caller waits for the response. `None` if the caller does not specify it; the timeout of the route
    /// then applies and is the upper limit in any case.
    pub timeout_ms: Option<DurationMs>,
    /// Set if the caller has events of the stream already and wants those that follow.
    pub resumption: Option<Resumption>,
}

/// The stream that a request resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the caller's request that brought the first event. `None` if the caller does not name it.
    pub first_request: Option<String>,
}

impl CallerRequest {
    /// Maximum time in which the request is answered on `route`.
    pub fn time_limit(&self, route: &Route) -> DurationMs {
        self.timeout_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms)
    }
}

/// Why no response of a target is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRefusal {
    /// Result code, which also says whether the request may have run.
    pub code: ResultCode,
    /// Cause in plain text, for the caller and the log.
    pub message: String,
    /// Delay after which the caller may retry. Set only for a request that has not run.
    pub retry_after_ms: Option<DurationMs>,
}

/// A target's response and the number of attempts it took.
#[derive(Debug)]
pub struct ForwardAnswer {
    /// Response to return to the caller.
    pub answer: TargetAnswer,
    /// Number of targets to which the request was sent, including those that rejected it.
    pub attempts: usize,
}

/// Result of forwarding one request.
pub type ForwardResult = Result<ForwardAnswer, ForwardRefusal>;
