//! Order in which the items of a batch start.
//!
//! Load pattern: a batch has more items than slots, and a few texts are many times longer than the rest. The batch ends
//! with its longest text, so the texts with the longest expected length start first. Items that the submitter carried
//! over from an earlier batch start before all others, because it waits for each of them.

use std::{cmp::Reverse, collections::HashSet};

use jm_types::{DurationMs, Timestamp};

use crate::BatchSpec;

/// Retry parameters of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanOptions {
    /// Delay before an item runs again after an engine failed it.
    pub retry_delay_ms: DurationMs,
    /// An item is given up when its failed runs reach this factor times the attempts of its route. A lower limit would
    /// lose items that another engine can process, because some engines fail a part of their requests.
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

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// The item waits for an engine.
    Waiting {
        /// Earliest time of its start.
        not_before: Timestamp,
    },
    /// The item runs on an engine.
    Running,
    /// The text is complete and waits for its score.
    Scoring,
    /// The item has its result.
    Done,
}

/// States and start order of the items of one batch.
#[derive(Debug)]
pub struct BatchPlan {
    options: PlanOptions,
    max_failures: usize,
    max_attempts: usize,
    states: Vec<ItemState>,
    failures: Vec<usize>,
    /// Indexes of the items in start order.
    order: Vec<usize>,
    waiting: usize,
    /// Whether no item may start, because another host takes the batch over.
    is_paused: bool,
}

impl BatchPlan {
    /// Creates a plan in which all items wait.
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
            is_paused: false,
        }
    }

    /// Items that may start now, in start order.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = usize> {
        self.order
            .iter()
            .copied()
            .filter(move |index| match self.states[*index] {
                ItemState::Waiting { not_before } => not_before <= now && !self.is_paused,
                _ => false,
            })
    }

    /// Sets whether no item may start.
    pub fn set_paused(&mut self, is_paused: bool) {
        self.is_paused = is_paused;
    }

    /// State of the item at `index`.
    pub fn state(&self, index: usize) -> ItemState {
        self.states[index]
    }

    /// Number of items that wait for an engine.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Records that the item runs on an engine.
    pub fn mark_running(&mut self, index: usize) {
        self.set(index, ItemState::Running);
    }

    /// Records that the text of the item is complete and waits for its score.
    pub fn mark_scoring(&mut self, index: usize) {
        self.set(index, ItemState::Scoring);
    }

    /// Records that the item has its result.
    pub fn mark_done(&mut self, index: usize) {
        self.set(index, ItemState::Done);
    }

    /// Returns the item to the waiting state without counting a failure. It may start again from `not_before` on.
    pub fn requeue(&mut self, index: usize, not_before: Timestamp) {
        self.set(index, ItemState::Waiting { not_before });
    }

    /// Counts a failed run of an item and schedules a retry. Returns whether the item has to be given up.
    pub fn record_failure(&mut self, index: usize, now: Timestamp) -> bool {
        self.failures[index] += 1;
        let not_before = now.after(self.options.retry_delay_ms);
        self.set(index, ItemState::Waiting { not_before });
        self.failures[index] >= self.max_failures
    }

    /// Number of failed runs of an item.
    pub fn failures(&self, index: usize) -> usize {
        self.failures[index]
    }

    /// Sets the number of failed runs that an earlier owner counted.
    pub fn set_failures(&mut self, index: usize, failures: usize) {
        self.failures[index] = failures;
    }

    /// Adopts the failures of the item in an earlier batch, capped so that the attempts of its route remain.
    pub fn carry_failures(&mut self, index: usize, failures: usize) {
        let max_carried = self.max_failures.saturating_sub(self.max_attempts);
        self.failures[index] = self.failures[index].max(failures.min(max_carried));
    }

    /// Moves items to the front of the start order without changing their relative order.
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
