//! Counts of one daemon.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use jm_types::{Incarnation, MemberId};

use crate::{PartId, UsageCounts, UsageKey, UsagePart, WallTime, WindowId, WindowSchedule};

/// Limits of a [`UsageCounter`].
#[derive(Debug, Clone)]
pub struct UsageCounterOptions {
    /// Most parts that wait for the store. Beyond that, counts stay in the open windows, which take one row
    /// for each key, so that a long outage of the store needs little memory.
    pub max_pending: usize,
}

impl Default for UsageCounterOptions {
    fn default() -> Self {
        Self { max_pending: 64 }
    }
}

/// Counts usage and cuts it into parts. A crash loses what no written part holds.
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
    /// A counter of a new incarnation.
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

    /// Counts usage in the window of `now`.
    pub fn record(&mut self, key: UsageKey, counts: UsageCounts, now: WallTime) {
        let window = self.schedule.window_at(now);
        let rows = self.open.entry(window).or_default();
        rows.entry(key).or_default().add(counts);
    }

    /// Cuts what was counted since the last flush into one part for each window and gives every part that the
    /// store has not confirmed. Create each at its object key on condition that it does not exist, and call
    /// [`UsageCounter::mark_written`] when it was created or exists.
    pub fn flush(&mut self) -> Vec<UsagePart> {
        while self.pending.len() < self.options.max_pending {
            let Some((window, rows)) = self.open.pop_first() else {
                break;
            };
            self.cut(window, rows);
        }
        self.pending.values().cloned().collect()
    }

    fn cut(&mut self, window: WindowId, rows: IndexMap<UsageKey, UsageCounts>) {
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

    /// Forgets a part that the store holds.
    pub fn mark_written(&mut self, number: u64) {
        self.pending.remove(&number);
    }

    /// Whether the store holds everything that was counted, as a planned stop requires.
    pub fn is_flushed(&self) -> bool {
        self.open.is_empty() && self.pending.is_empty()
    }
}
