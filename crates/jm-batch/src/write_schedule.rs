//! When the finished results of a batch are written to the store, and so shown to readers.
//!
//! Load pattern: results of a step come one after another over seconds, several each 100 ms, while its trainer waits for a
//! number of complete groups. It asks again and again, and each answer with some results makes it pause for a moment; a
//! request that finds nothing new is kept open and answered as soon as there is something. Results that come in small
//! portions therefore meet a trainer that pauses, just when the last group is complete. Each write is also a call that is
//! charged and counted against the store's rate. So results are gathered, but for the write that gives the trainer what it
//! waits for, and those that bring complete groups about the due time.

use jm_types::{DurationMs, Timestamp};

/// Settings of the gathering.
#[derive(Debug, Clone, Copy)]
pub struct WriteScheduleOptions {
    /// Time between two writes.
    pub interval_ms: DurationMs,
    /// Time before the due time and after it at which complete groups are written; no others are written in between. The
    /// first lets the submitter read them in time, the second is for a submitter that waits a little longer.
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

/// Results that are finished and not in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnwrittenResults {
    /// How many there are.
    pub results: usize,
    /// Whether one of them was given up. If this host died first, the next owner would let engines fail it again.
    pub has_expired: bool,
    /// Whether as many groups are complete as the submitter waits for.
    pub has_wanted_groups: bool,
    /// Whether a group is complete with them that was not complete in the store.
    pub completes_group: bool,
    /// Whether no other results are to come.
    pub is_final: bool,
    /// When the results are due.
    pub due_at: Timestamp,
}

/// When the results are to be written; `written_at` is the time of the last write.
pub fn next_write_at(
    unwritten: &UnwrittenResults,
    options: &WriteScheduleOptions,
    written_at: Timestamp,
) -> Timestamp {
    // A submitter that has as many groups as it asked for and does not end the batch waits for particular ones, which it
    // carried over from an earlier batch.
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
