//! Selects the fault of each call.

use std::collections::VecDeque;

/// Queued faults for single calls, and a default fault for all other calls.
#[derive(Debug, Clone)]
pub(crate) struct FaultPlan<F> {
    queued: VecDeque<F>,
    default: Option<F>,
}

impl<F> Default for FaultPlan<F> {
    fn default() -> Self {
        Self {
            queued: VecDeque::new(),
            default: None,
        }
    }
}

impl<F: Clone> FaultPlan<F> {
    /// Queues a fault for one later call. Calls take the queued faults in the order of queueing.
    pub(crate) fn push(&mut self, fault: F) {
        self.queued.push_back(fault);
    }

    /// Sets the fault of calls for which no fault is queued.
    pub(crate) fn set_default(&mut self, fault: Option<F>) {
        self.default = fault;
    }

    /// Returns the fault of the current call and removes it from the queue.
    pub(crate) fn next_fault(&mut self) -> Option<F> {
        self.queued.pop_front().or_else(|| self.default.clone())
    }
}
