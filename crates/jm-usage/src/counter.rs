//! Usage counter of one daemon.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use jm_types::{Incarnation, MemberId};

use crate::{PartId, UsageCounts, UsageKey, UsagePart, WallTime, WindowId, WindowSchedule};

/// Limits of a [`UsageCounter`].
#[derive(Debug, Clone)]
pub struct UsageCounterOptions {
    /// Maximum number of parts that the store has not confirmed. Beyond it, counts accumulate in the open windows with
    /// one row for each key, so that memory use stays low during a long outage of the store.
    pub max_pending: usize,
}

impl Default for UsageCounterOptions {
    fn default() -> Self {
        Self { max_pending: 64 }
    }
}

/// Counts usage and splits it into parts for the store. A crash loses all usage that is not in a stored part.
#[derive(Debug)]
pub struct UsageCounter {
    member: MemberId,
    incarnation: Incarnation,
    schedule: WindowSchedule,
    options: UsageCounterOptions,
    open: BTreeMap<WindowId, IndexMap<UsageKey, UsageCounts>>,
    pending: BTreeMap<u64, UsagePart>,
    next_number: u64,
}

impl UsageCounter {
    /// Creates a counter for a new incarnation.
    pub fn new(
        member: MemberId,
        incarnation: Incarnation,
        schedule: WindowSchedule,
        options: UsageCounterOptions,
    ) -> Self {
        Self {
            member,
            incarnation,
            schedule,
            options,
            open: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_number: 1,
        }
    }

    /// Adds usage to the window that contains `now`.
    pub fn record(&mut self, key: UsageKey, counts: UsageCounts, now: WallTime) {
        let window = self.schedule.window_at(now);
        let rows = self.open.entry(window).or_default();
        rows.entry(key).or_default().add(counts);
    }

    /// Creates one part for each window from the usage counted since the last flush, and returns every part that the
    /// store has not confirmed. The caller writes each part to its object key with a conditional create, and calls
    /// [`UsageCounter::mark_written`] when the object was created or already exists.
    pub fn flush(&mut self) -> Vec<UsagePart> {
        while self.pending.len() < self.options.max_pending {
            let Some((window, rows)) = self.open.pop_first() else {
                break;
            };
            self.create_part(window, rows);
        }
        self.pending.values().cloned().collect()
    }

    fn create_part(&mut self, window: WindowId, rows: IndexMap<UsageKey, UsageCounts>) {
        let number = self.next_number;
        self.next_number += 1;
        let mut rows: Vec<_> = rows.into_iter().collect();
        rows.sort_unstable();
        let id = PartId {
            member: self.member.clone(),
            incarnation: self.incarnation,
            number,
        };
        self.pending.insert(number, UsagePart { id, window, rows });
    }

    /// Removes the part with this number, which the store has confirmed.
    pub fn mark_written(&mut self, number: u64) {
        self.pending.remove(&number);
    }

    /// Whether the store has confirmed all counted usage. A graceful shutdown waits for this.
    pub fn is_flushed(&self) -> bool {
        self.open.is_empty() && self.pending.is_empty()
    }
}
