//! Figures of a step.

use jm_types::{AttemptId, Sequence, TokenCount, WeightVersion};

use crate::{StepAssembly, Term, slots::Slot};

/// Figures of a step for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepStatus {
    /// Number of slots.
    pub samples: u32,
    /// Slots without a sample and without a running draft.
    pub waiting: usize,
    /// Running drafts.
    pub running: usize,
    /// Samples that are bound and not acknowledged.
    pub bound: usize,
    /// Slots that the trainer holds.
    pub done: usize,
    /// Last acknowledged sequence number.
    pub acknowledged: Sequence,
    /// The version that staleness is counted from.
    pub named_version: WeightVersion,
    /// The owner's term.
    pub term: Term,
    /// Whether samples are handed out without a second copy.
    pub degraded: bool,
    /// Slow drafts that were issued again.
    pub reissued: u64,
    /// Samples that could not be delivered.
    pub unusable: u64,
    /// Reports about attempts that were not running.
    pub late_answers: u64,
    /// Tokens of drafts that lost.
    pub wasted_tokens: TokenCount,
}

impl StepAssembly {
    /// The attempts that are running, to be compared with the drafts that the daemon knows of.
    pub fn running_attempts(&self) -> Vec<AttemptId> {
        self.slots.attempts().keys().copied().collect()
    }

    /// Figures for operators and metrics.
    pub fn status(&self) -> StepStatus {
        StepStatus {
            samples: self.spec.samples,
            waiting: self.slots.waiting(),
            running: self.slots.attempts().len(),
            bound: self.bound.len(),
            done: self.slots.iter().filter(|(_, slot)| **slot == Slot::Done).count(),
            acknowledged: self.acknowledged,
            named_version: self.version(),
            term: self.term(),
            degraded: self.degraded,
            reissued: self.reissued,
            unusable: self.unusable,
            late_answers: self.late_answers,
            wasted_tokens: self.pace.wasted_tokens(),
        }
    }
}
