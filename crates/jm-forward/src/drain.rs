//! Which requests a host still accepts while it shuts down.
//!
//! Load pattern: callers cache the addresses of hosts for seconds, so requests keep arriving at a host that shuts down.
//! The process exits at the end of its grace period, and a request that is open then gets no answer: its caller cannot
//! tell whether it ran. Rejecting such a request while it has not run costs the caller a reconnect to another host.
//! A request that may be repeated is worth a try when requests of its kind usually end in time: at the exit its caller is
//! told that the outcome is unknown, and sends it again.

use jm_types::{DurationMs, ResultCode, Timestamp};

use crate::{CallerRequest, ForwardRefusal, Route, RouteKind, retry::refusal};

/// Time between the last answer and the exit, in which the answer reaches the caller.
const ANSWER_MARGIN_MS: DurationMs = DurationMs::new(200);

/// Time within which nearly all requests of a route end, in multiples of its latency objective.
const USUAL_TIME_OBJECTIVES: u64 = 4;

/// Delay sent to callers as `retry-after`. The other hosts can accept the request at once.
const OTHER_HOST_RETRY_AFTER_MS: DurationMs = DurationMs::new(0);

/// A shutdown in progress, by the time at which its last answers are sent.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    answers_until: Timestamp,
}

impl Drain {
    /// A shutdown whose process exits at `exits_at`, with open requests or without.
    pub fn new(exits_at: Timestamp) -> Self {
        let answers_until = exits_at.get().saturating_sub(ANSWER_MARGIN_MS.get());
        Self {
            answers_until: Timestamp::new(answers_until),
        }
    }

    /// Time until the last answers are sent; zero afterwards.
    pub fn time_left(&self, now: Timestamp) -> DurationMs {
        self.answers_until.since(now)
    }

    /// Accepts a request for `route` only if it ends before the exit whatever its target does, or if it may be repeated
    /// and usually ends before the exit.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says that the request has not run.
    pub fn admit(
        &self,
        request: &CallerRequest,
        route: &Route,
        now: Timestamp,
    ) -> Result<(), ForwardRefusal> {
        let usual_ms = DurationMs::new(route.objective_ms.get() * USUAL_TIME_OBJECTIVES);
        let limit = match route.kind {
            RouteKind::Idempotent => request.time_limit(route).min(usual_ms),
            _ => request.time_limit(route),
        };
        self.admit_within(limit, now)
    }

    /// Accepts work that takes up to `limit` only if it ends before the exit.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says that nothing has run.
    pub fn admit_within(&self, limit: DurationMs, now: Timestamp) -> Result<(), ForwardRefusal> {
        let left = self.time_left(now);
        if limit <= left {
            return Ok(());
        }
        let message = format!("this host exits in {left}, and the request may take {limit}");
        Err(stopping(message))
    }
}

/// The refusal of a request that has not run, because this host shuts down.
pub(crate) fn stopping(message: String) -> ForwardRefusal {
    ForwardRefusal {
        retry_after_ms: Some(OTHER_HOST_RETRY_AFTER_MS),
        ..refusal(ResultCode::Stopping, message)
    }
}
