//! Status of a step.

use jm_types::{AttemptId, Sequence, TokenCount, WeightVersion};

use crate::{StepAssembly, Term, slots::Slot};

/// Status of a step for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepStatus {
    /// Total number of slots.
    pub samples: u32,
    /// Number of slots without a sample and without a running draft.
    pub waiting: usize,
    /// Number of running drafts.
    pub running: usize,
    /// Number of samples that are bound and not acknowledged.
    pub bound: usize,
    /// Number of slots whose sample the trainer holds.
    pub done: usize,
    /// Last sequence number that the trainer acknowledged.
    pub acknowledged: Sequence,
    /// The weight version that staleness is measured against.
    pub named_version: WeightVersion,
    /// The owner's current term.
    pub term: Term,
    /// Whether samples are delivered without a replica at another daemon.
    pub degraded: bool,
    /// Number of slow drafts that were reissued.
    pub reissued: u64,
    /// Number of samples that could not be delivered.
    pub unusable: u64,
    /// Number of reports about attempts that were not running.
    pub late_answers: u64,
    /// Tokens of drafts that were cancelled in favour of another draft of their slot.
    pub wasted_tokens: TokenCount,
}

impl StepAssembly {
    /// Returns the running attempts, which the daemon compares with its own draft tasks.
    pub fn running_attempts(&self) -> Vec<AttemptId> {
        self.slots.attempts().keys().copied().collect()
    }

    /// Returns a snapshot of the step's status.
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
            wasted_tokens: self.rates.wasted_tokens(),
        }
    }
}
