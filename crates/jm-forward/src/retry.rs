//! Retry policy: what to do after a failed attempt, and when to hedge a slow one.
//!
//! Load pattern: a target that stops responding stays listed for seconds. A request with a latency objective of a
//! fraction of a second meets it only if it is sent to another target well before the list is updated.

use jm_types::{DurationMs, ResultCode, Timestamp};

use crate::{
    AccessRefusal, AttemptOutcome, ForwardRefusal, Route, RouteKind, drain::stopping,
    evacuation::evacuated_retry_after,
};

/// Settings for retries and hedged attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryOptions {
    /// Number of rejections after which a request is refused. A rejected request did not run, so a rejection does not
    /// count as an attempt.
    pub max_rejections: usize,
    /// Pause before a retry when more than one target rejected the request as full.
    pub rejection_pause_ms: DurationMs,
    /// Time after which an idempotent request is also sent to a second target, in percent of the route's latency
    /// objective.
    pub hedge_percent: u64,
    /// Minimum time until the deadline for an attempt to be started.
    pub min_time_left_ms: DurationMs,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_rejections: 6,
            rejection_pause_ms: DurationMs::new(40),
            hedge_percent: 50,
            min_time_left_ms: DurationMs::new(20),
        }
    }
}

/// What to do after an attempt ended without a response.
#[derive(Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another target after a pause.
    Retry {
        /// Pause before the retry; zero for an immediate one.
        after_ms: DurationMs,
    },
    /// Wait for the attempts that are still in flight.
    Wait,
    /// Return this refusal to the caller.
    Refuse(ForwardRefusal),
}

/// Retry state of one request: its attempts and rejections so far.
#[derive(Debug)]
pub struct RetryState {
    options: RetryOptions,
    is_idempotent: bool,
    max_attempts: usize,
    hedge_after_ms: DurationMs,
    deadline: Timestamp,
    /// Attempts that ran, may have run or are in flight.
    runs: usize,
    rejections: usize,
}

/// Delay sent to callers as `retry-after` when no target accepts a request.
const FULL_RETRY_AFTER_MS: DurationMs = DurationMs::new(250);

impl RetryState {
    /// State before the first attempt of a request on `route` that must be answered by `deadline`.
    pub fn new(route: &Route, deadline: Timestamp, options: RetryOptions) -> Self {
        let is_idempotent = matches!(route.kind, RouteKind::Idempotent);
        Self {
            is_idempotent,
            max_attempts: route.max_attempts.max(1),
            hedge_after_ms: DurationMs::new(
                route.objective_ms.get().saturating_mul(options.hedge_percent) / 100,
            ),
            options,
            deadline,
            runs: 0,
            rejections: 0,
        }
    }

    /// Whether the request may run more than once, which permits retries after a loss and hedged attempts.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Number of attempts that ran, may have run or are in flight. Rejected attempts do not count.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Records that an attempt was started.
    pub fn started(&mut self) {
        self.runs += 1;
    }

    /// Time at which a hedged attempt may start beside one that started at `started_at`. `None` if the request is not
    /// idempotent, its attempts are used up, or too little time would be left.
    pub fn hedge_at(&self, started_at: Timestamp) -> Option<Timestamp> {
        let at = started_at.after(self.hedge_after_ms);
        let is_allowed = self.is_idempotent && self.runs < self.max_attempts;
        (is_allowed && at.after(self.options.min_time_left_ms) < self.deadline).then_some(at)
    }

    /// Decides what follows an attempt that ended with `outcome`, which is not a response. `open` is the number of
    /// attempts still in flight.
    pub fn after_failure(&mut self, outcome: &AttemptOutcome, now: Timestamp, open: usize) -> RetryDecision {
        match outcome {
            AttemptOutcome::Answered(_) => RetryDecision::Refuse(refusal(
                ResultCode::Internal,
                "a response was handled as a failed attempt".to_owned(),
            )),
            AttemptOutcome::NotRun { reason } | AttemptOutcome::Unsent { reason } => {
                self.runs -= 1;
                self.rejections += 1;
                if open > 0 {
                    return RetryDecision::Wait;
                }
                self.after_rejection(reason, now)
            }
            AttemptOutcome::Lost { .. } if open > 0 => RetryDecision::Wait,
            AttemptOutcome::Lost { reason } => self.after_loss(reason, now),
        }
    }

    fn after_rejection(&self, reason: &str, now: Timestamp) -> RetryDecision {
        let pause = self.options.rejection_pause_ms;
        let has_time = now.after(pause).after(self.options.min_time_left_ms) < self.deadline;
        if self.rejections < self.options.max_rejections && has_time {
            // One rejection says nothing about the load of the other targets. Several indicate that all are full.
            let after_ms = if self.rejections <= 1 {
                DurationMs::new(0)
            } else {
                pause
            };
            return RetryDecision::Retry { after_ms };
        }
        if self.runs > 0 {
            return RetryDecision::Refuse(refusal(ResultCode::OutcomeUnknown, reason.to_owned()));
        }
        RetryDecision::Refuse(no_target(format!("no target accepted the request: {reason}")))
    }

    fn after_loss(&self, reason: &str, now: Timestamp) -> RetryDecision {
        let has_time = now.after(self.options.min_time_left_ms) < self.deadline;
        if self.is_idempotent && has_time && self.runs < self.max_attempts {
            let after_ms = DurationMs::new(0);
            return RetryDecision::Retry { after_ms };
        }
        let code = if has_time {
            ResultCode::TargetFailed
        } else {
            ResultCode::AnswerTimeout
        };
        RetryDecision::Refuse(refusal(code, reason.to_owned()))
    }

    /// The refusal to return when no target is left for another attempt. It says whether the request may have run.
    pub fn no_target_left(&self, refused: ForwardRefusal) -> ForwardRefusal {
        match self.runs {
            0 => refused,
            _ => refusal(ResultCode::OutcomeUnknown, refused.message),
        }
    }

    /// The refusal to return after the deadline passed. It says whether the request may have run.
    pub fn timeout_refusal(&self) -> ForwardRefusal {
        if self.runs == 0 {
            return no_target("no target accepted the request before the deadline".to_owned());
        }
        refusal(
            ResultCode::AnswerTimeout,
            "no target responded before the deadline".to_owned(),
        )
    }

    /// The refusal to return when this host exits before a target responded. It says whether the request may have run.
    pub fn shutdown_refusal(&self) -> ForwardRefusal {
        if self.runs == 0 {
            return stopping("this host exits before a target accepted the request".to_owned());
        }
        refusal(
            ResultCode::OutcomeUnknown,
            "this host exits before a target responded".to_owned(),
        )
    }
}

/// The refusal of a request that no target accepted. The request has not run.
pub(crate) fn no_target(message: String) -> ForwardRefusal {
    ForwardRefusal {
        code: ResultCode::NoTarget,
        message,
        retry_after_ms: Some(FULL_RETRY_AFTER_MS),
    }
}

/// The refusal of a request whose service has targets in evacuated zones only. The request has not run.
pub(crate) fn evacuated(message: String, random: u32) -> ForwardRefusal {
    ForwardRefusal {
        code: ResultCode::Evacuated,
        message,
        retry_after_ms: Some(evacuated_retry_after(random)),
    }
}

pub(crate) fn refusal(code: ResultCode, message: String) -> ForwardRefusal {
    ForwardRefusal {
        code,
        message,
        retry_after_ms: None,
    }
}

/// The refusal of a request without a valid key.
pub(crate) fn access_refusal(reason: AccessRefusal) -> ForwardRefusal {
    match reason {
        AccessRefusal::MissingKey => refusal(ResultCode::MissingKey, "the request has no API key".to_owned()),
        AccessRefusal::UnknownKey => refusal(
            ResultCode::UnknownKey,
            "no organisation has this API key".to_owned(),
        ),
    }
}
