//! Schedule for writing the finished results of a batch to the store, which makes them visible to readers.
//!
//! Load pattern: the results of a step finish one after another over seconds, several per 100 ms, while its trainer
//! waits for a number of complete groups. The trainer polls, and pauses for a moment after each answer that has
//! results. A request that finds nothing new is kept open and answered as soon as there is a result. If results become
//! visible in small portions, the trainer is therefore likely to be pausing when the last group completes. Each write
//! is also a billed call that counts against the store's rate limit. Results are therefore collected and written at
//! intervals. Exceptions are the write that completes what the trainer waits for, and writes of complete groups around
//! the due time.

use jm_types::{DurationMs, Timestamp};

/// Intervals for writing results.
#[derive(Debug, Clone, Copy)]
pub struct WriteScheduleOptions {
    /// Minimum time between two regular writes.
    pub interval_ms: DurationMs,
    /// Time before and after the due time at which complete groups are written, with no other such write in between.
    /// The first write lets the submitter read the groups in time. The second write is for a submitter that waits a
    /// little longer.
    pub due_margin_ms: DurationMs,
}

impl Default for WriteScheduleOptions {
    fn default() -> Self {
        Self {
            interval_ms: DurationMs::new(1_000),
            due_margin_ms: DurationMs::new(500),
        }
    }
}

/// Finished results that are not stored yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnwrittenResults {
    /// Number of results.
    pub results: usize,
    /// Whether one of the items was given up. If this host crashed before the write, the next owner would run the item
    /// again and engines would fail it again.
    pub has_expired: bool,
    /// Whether the number of complete groups reaches the number that the submitter waits for.
    pub has_wanted_groups: bool,
    /// Whether these results complete a group that is not complete in the store.
    pub completes_group: bool,
    /// Whether these are the last results of the batch.
    pub is_final: bool,
    /// When the results of the batch are due.
    pub due_at: Timestamp,
}

/// Time at which the results have to be written; `written_at` is the time of the last write.
pub fn next_write_at(
    unwritten: &UnwrittenResults,
    options: &WriteScheduleOptions,
    written_at: Timestamp,
) -> Timestamp {
    // A submitter that has as many groups as it requested and does not end the batch waits for particular groups, which
    // it carried over from an earlier batch.
    let completes_awaited_group = unwritten.has_wanted_groups && unwritten.completes_group;
    if completes_awaited_group || unwritten.is_final || unwritten.has_expired {
        return written_at;
    }
    let next = written_at.after(options.interval_ms);
    let margin = options.due_margin_ms;
    let before_due = Timestamp::new(unwritten.due_at.get().saturating_sub(margin.get()));
    let after_due = unwritten.due_at.after(margin);
    match unwritten.completes_group {
        true if written_at < before_due => next.min(before_due),
        true if written_at < after_due => after_due,
        _ => next,
    }
}
