//! In which order the items of a batch run.
//!
//! Load pattern: more items than slots, and a few texts many times longer than the rest. The batch ends with its
//! longest text, so the texts that are expected to be long start first. Before them start the items that the submitter
//! carried over from an earlier batch, because it waits for each of them.

use std::{cmp::Reverse, collections::HashSet};

use jm_types::{DurationMs, Timestamp};

use crate::BatchSpec;

/// Settings of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanOptions {
    /// Wait before an item that an engine failed runs again.
    pub retry_delay_ms: DurationMs,
    /// Failed runs after which an item is given up, as a factor on the attempts of its route. Engines that fail a part
    /// of their requests would otherwise lose items that another engine can do.
    pub failure_factor: usize,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self {
            retry_delay_ms: DurationMs::new(50),
            failure_factor: 2,
        }
    }
}

/// What an item does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// It waits for an engine.
    Waiting {
        /// It does not start before.
        not_before: Timestamp,
    },
    /// It runs on an engine.
    Running,
    /// It has its result.
    Done,
}

/// The items of one batch.
#[derive(Debug)]
pub struct BatchPlan {
    options: PlanOptions,
    max_failures: usize,
    max_attempts: usize,
    states: Vec<ItemState>,
    failures: Vec<usize>,
    /// Indexes of the items, the first to start first.
    order: Vec<usize>,
    waiting: usize,
}

impl BatchPlan {
    /// All items wait.
    pub fn new(spec: &BatchSpec, options: PlanOptions) -> Self {
        let mut order: Vec<usize> = (0..spec.items.len()).collect();
        order.sort_by_key(|index| {
            Reverse(
                spec.items[*index]
                    .expected_tokens
                    .unwrap_or(spec.items[*index].tokens),
            )
        });
        let not_before = Timestamp::new(0);
        let max_attempts = spec.max_attempts.max(1);
        Self {
            max_attempts,
            max_failures: max_attempts * options.failure_factor.max(1),
            options,
            states: vec![ItemState::Waiting { not_before }; spec.items.len()],
            failures: vec![0; spec.items.len()],
            order,
            waiting: spec.items.len(),
        }
    }

    /// Items that may start now, the first to start first.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = usize> {
        self.order
            .iter()
            .copied()
            .filter(move |index| match self.states[*index] {
                ItemState::Waiting { not_before } => not_before <= now,
                _ => false,
            })
    }

    /// What an item does.
    pub fn state(&self, index: usize) -> ItemState {
        self.states[index]
    }

    /// Items that wait for an engine.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// An item starts to run.
    pub fn mark_running(&mut self, index: usize) {
        self.set(index, ItemState::Running);
    }

    /// An item has its result.
    pub fn mark_done(&mut self, index: usize) {
        self.set(index, ItemState::Done);
    }

    /// An item has to run again, without a fault of its own.
    pub fn requeue(&mut self, index: usize, now: Timestamp) {
        self.set(index, ItemState::Waiting { not_before: now });
    }

    /// An engine failed an item; returns whether it is to be given up.
    pub fn record_failure(&mut self, index: usize, now: Timestamp) -> bool {
        self.failures[index] += 1;
        let not_before = now.after(self.options.retry_delay_ms);
        self.set(index, ItemState::Waiting { not_before });
        self.failures[index] >= self.max_failures
    }

    /// Failed runs of an item so far.
    pub fn failures(&self, index: usize) -> usize {
        self.failures[index]
    }

    /// An earlier owner saw failed runs of an item.
    pub fn set_failures(&mut self, index: usize, failures: usize) {
        self.failures[index] = failures;
    }

    /// Takes the failures of an item in an earlier batch into account, but leaves it the attempts of its route in this one.
    pub fn carry_failures(&mut self, index: usize, failures: usize) {
        let most = self.max_failures.saturating_sub(self.max_attempts);
        self.failures[index] = self.failures[index].max(failures.min(most));
    }

    /// Starts some items before all others; their order among themselves stays.
    pub fn prioritize(&mut self, indexes: &[usize]) {
        let first: HashSet<usize> = indexes.iter().copied().collect();
        self.order.sort_by_key(|index| !first.contains(index));
    }

    fn set(&mut self, index: usize, state: ItemState) {
        let is_waiting = |state: ItemState| matches!(state, ItemState::Waiting { .. });
        self.waiting -= usize::from(is_waiting(self.states[index]));
        self.waiting += usize::from(is_waiting(state));
        self.states[index] = state;
    }
}
