//! Which fault the next call meets.

use std::collections::VecDeque;

/// Faults for single calls and for all others.
#[derive(Debug, Clone)]
pub(crate) struct FaultPlan<F> {
    next: VecDeque<F>,
    always: Option<F>,
}

impl<F> Default for FaultPlan<F> {
    fn default() -> Self {
        Self {
            next: VecDeque::new(),
            always: None,
        }
    }
}

impl<F: Clone> FaultPlan<F> {
    /// Adds a fault for one later call; calls meet these faults in the order in which they were added.
    pub(crate) fn push(&mut self, fault: F) {
        self.next.push_back(fault);
    }

    /// Sets the fault of calls for which no single fault is left.
    pub(crate) fn set_always(&mut self, fault: Option<F>) {
        self.always = fault;
    }

    /// The fault that the call made now meets.
    pub(crate) fn take(&mut self) -> Option<F> {
        self.next.pop_front().or_else(|| self.always.clone())
    }
}
