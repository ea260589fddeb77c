//! What follows when an attempt fails, and when a second one starts beside a slow one.
//!
//! Load pattern: a target that stops answering keeps its place in the list for seconds. A caller with an objective of
//! a fraction of a second is only served in time when another target gets the request well before that.

use jm_types::{DurationMs, ResultCode, Timestamp};

use crate::{AttemptOutcome, ForwardRefusal, Route, RouteKind};

/// Settings of the attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryOptions {
    /// Rejections after which a request is refused. A rejection is no run, so it does not count as an attempt.
    pub max_rejections: usize,
    /// Time between two rounds through targets that are all full.
    pub rejection_pause_ms: DurationMs,
    /// Part of the objective after which a repeatable request goes to a second target, in percent.
    pub hedge_percent: u64,
    /// Least time left for which an attempt is worth starting.
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

/// What to do after an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another target after a pause.
    Retry {
        /// The pause.
        after_ms: DurationMs,
    },
    /// Wait for the attempts that are still open.
    Wait,
    /// Give up.
    Refuse(ForwardRefusal),
}

/// Attempts of one request.
#[derive(Debug)]
pub struct RetryState {
    options: RetryOptions,
    is_idempotent: bool,
    max_attempts: usize,
    hedge_after_ms: DurationMs,
    deadline: Timestamp,
    /// Attempts that ran or may have run.
    runs: usize,
    rejections: usize,
}

/// Wait that is asked of callers when no target takes a request.
const FULL_RETRY_AFTER_MS: DurationMs = DurationMs::new(250);

impl RetryState {
    /// No attempt yet for a request on `route` that must be answered by `deadline`.
    pub fn new(route: &Route, deadline: Timestamp, options: RetryOptions) -> Self {
        let is_idempotent = matches!(route.kind, RouteKind::Idempotent);
        Self {
            is_idempotent,
            max_attempts: route.max_attempts.max(1),
            hedge_after_ms: DurationMs::new(route.objective_ms.get() * options.hedge_percent / 100),
            options,
            deadline,
            runs: 0,
            rejections: 0,
        }
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Attempts that ran or may have run, or run now.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// An attempt starts.
    pub fn started(&mut self) {
        self.runs += 1;
    }

    /// When a second attempt may start beside one that began at `begun`; none when the request must not be repeated.
    pub fn hedge_at(&self, begun: Timestamp) -> Option<Timestamp> {
        let at = begun.after(self.hedge_after_ms);
        let is_allowed = self.is_idempotent && self.runs < self.max_attempts;
        (is_allowed && at.after(self.options.min_time_left_ms) < self.deadline).then_some(at)
    }

    /// Decides after an attempt that brought no answer. `open` attempts are still running.
    pub fn after_failure(&mut self, outcome: &AttemptOutcome, now: Timestamp, open: usize) -> RetryDecision {
        match outcome {
            AttemptOutcome::Answered(_) => RetryDecision::Refuse(refusal(
                ResultCode::Internal,
                "an answer counted as a failure".to_owned(),
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
            // The first rejection says nothing of the other targets; later ones say that all are full.
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
        RetryDecision::Refuse(full(format!("no target takes the request: {reason}")))
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

    /// The deadline passed.
    pub fn timeout_refusal(&self) -> ForwardRefusal {
        if self.runs == 0 {
            return full("no target took the request in time".to_owned());
        }
        refusal(
            ResultCode::AnswerTimeout,
            "no answer of a target in time".to_owned(),
        )
    }
}

/// The refusal of a request that no target took, which has not run.
pub(crate) fn full(message: String) -> ForwardRefusal {
    ForwardRefusal {
        code: ResultCode::NoTarget,
        message,
        retry_after_ms: Some(FULL_RETRY_AFTER_MS),
    }
}

pub(crate) fn refusal(code: ResultCode, message: String) -> ForwardRefusal {
    ForwardRefusal {
        code,
        message,
        retry_after_ms: None,
    }
}
