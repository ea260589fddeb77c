//! What follows when an attempt fails, and when a second one starts beside a slow one.
//!
//! Load pattern: a target that stops answering keeps its place in the list for seconds. A caller with an objective of
//! a fraction of a second is only served in time when another target gets the request well before that.

use jm_types::{DurationMs, ResultCode, Timestamp};

use crate::{AttemptOutcome, ForwardRefusal, Route, RouteKind};

/// Settings of the attempts.
#[derive(Debug, Clone, Copy)]
pub struct AttemptsOptions {
    /// Rejections after which a request is refused. A rejection is no run, so it does not count as an attempt.
    pub max_rejections: usize,
    /// Time between two rounds through targets that are all full.
    pub full_pause_ms: DurationMs,
    /// Part of the objective after which a repeatable request goes to a second target, in percent.
    pub hedge_percent: u64,
    /// Least time left for which an attempt is worth starting.
    pub least_time_ms: DurationMs,
}

impl Default for AttemptsOptions {
    fn default() -> Self {
        Self {
            max_rejections: 6,
            full_pause_ms: DurationMs::new(40),
            hedge_percent: 50,
            least_time_ms: DurationMs::new(20),
        }
    }
}

/// What to do after an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum NextStep {
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
pub struct Attempts {
    options: AttemptsOptions,
    may_repeat: bool,
    max_attempts: usize,
    hedge_after_ms: DurationMs,
    deadline: Timestamp,
    /// Attempts that ran or may have run.
    runs: usize,
    rejections: usize,
}

/// Wait that is asked of callers when no target takes a request.
const FULL_RETRY_AFTER_MS: DurationMs = DurationMs::new(250);

impl Attempts {
    /// No attempt yet for a request on `route` that must be answered by `deadline`.
    pub fn new(route: &Route, deadline: Timestamp, options: AttemptsOptions) -> Self {
        let may_repeat = matches!(route.kind, RouteKind::Idempotent);
        Self {
            may_repeat,
            max_attempts: route.max_attempts.max(1),
            hedge_after_ms: DurationMs::new(route.objective_ms.get() * options.hedge_percent / 100),
            options,
            deadline,
            runs: 0,
            rejections: 0,
        }
    }

    /// Whether the request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.may_repeat
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
        let is_allowed = self.may_repeat && self.runs < self.max_attempts;
        (is_allowed && at.after(self.options.least_time_ms) < self.deadline).then_some(at)
    }

    /// Decides after an attempt that brought no answer. `open` attempts are still running.
    pub fn after_failure(&mut self, outcome: &AttemptOutcome, now: Timestamp, open: usize) -> NextStep {
        match outcome {
            AttemptOutcome::Answered(_) => NextStep::Refuse(refusal(
                ResultCode::Internal,
                "an answer counted as a failure".to_owned(),
            )),
            AttemptOutcome::NotRun { reason } | AttemptOutcome::Unsent { reason } => {
                self.runs -= 1;
                self.rejections += 1;
                if open > 0 {
                    return NextStep::Wait;
                }
                self.after_rejection(reason, now)
            }
            AttemptOutcome::Lost { .. } if open > 0 => NextStep::Wait,
            AttemptOutcome::Lost { reason } => self.after_loss(reason, now),
        }
    }

    fn after_rejection(&self, reason: &str, now: Timestamp) -> NextStep {
        let pause = self.options.full_pause_ms;
        let has_time = now.after(pause).after(self.options.least_time_ms) < self.deadline;
        if self.rejections < self.options.max_rejections && has_time {
            // The first rejection says nothing of the other targets; later ones say that all are full.
            let after_ms = if self.rejections <= 1 {
                DurationMs::new(0)
            } else {
                pause
            };
            return NextStep::Retry { after_ms };
        }
        if self.runs > 0 {
            return NextStep::Refuse(refusal(ResultCode::OutcomeUnknown, reason.to_owned()));
        }
        NextStep::Refuse(full(format!("no target takes the request: {reason}")))
    }

    fn after_loss(&self, reason: &str, now: Timestamp) -> NextStep {
        let has_time = now.after(self.options.least_time_ms) < self.deadline;
        if self.may_repeat && has_time && self.runs < self.max_attempts {
            let after_ms = DurationMs::new(0);
            return NextStep::Retry { after_ms };
        }
        let code = if has_time {
            ResultCode::TargetFailed
        } else {
            ResultCode::AnswerTimeout
        };
        NextStep::Refuse(refusal(code, reason.to_owned()))
    }

    /// The deadline passed.
    pub fn timed_out(&self) -> ForwardRefusal {
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
