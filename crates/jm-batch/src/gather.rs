//! When the finished results of a batch are written to the store.
//!
//! Load pattern: results of a step come one after another over seconds, several each 100 ms, while its trainer waits for a
//! number of complete groups. Each write is a call that is charged and counted against the store's rate, so results are
//! gathered; but the write that gives the trainer what it waits for must not wait, nor one that completes a group shortly before the
//! due time.

use jm_types::{DurationMs, Timestamp};

/// Settings of the gathering.
#[derive(Debug, Clone, Copy)]
pub struct GatherOptions {
    /// Time between two writes.
    pub interval_ms: DurationMs,
    /// How long before the due time, and ever after, results that complete a group are written at once: the submitter has
    /// little time left to read them.
    pub due_lead_ms: DurationMs,
}

impl Default for GatherOptions {
    fn default() -> Self {
        Self {
            interval_ms: DurationMs::new(300),
            due_lead_ms: DurationMs::new(1_500),
        }
    }
}

/// Results that are finished and not in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unwritten {
    /// How many there are.
    pub results: usize,
    /// Whether one of them was given up. If this host died first, the next owner would let engines fail it again.
    pub has_expired: bool,
    /// Whether as many groups are complete as the submitter waits for.
    pub has_enough: bool,
    /// Whether a group is complete with them that was not complete in the store.
    pub completes_group: bool,
    /// Whether no other results are to come.
    pub is_whole: bool,
    /// Time until the results are due; zero afterwards.
    pub until_due: DurationMs,
}

/// When the results are to be written; `written_at` is the time of the last write.
pub fn write_at(unwritten: &Unwritten, options: &GatherOptions, written_at: Timestamp) -> Timestamp {
    // A submitter that has as many groups as it asked for and does not end the batch waits for particular ones, which it
    // carried over from an earlier batch.
    let is_needed = unwritten.has_enough || unwritten.until_due <= options.due_lead_ms;
    if (is_needed && unwritten.completes_group) || unwritten.is_whole || unwritten.has_expired {
        return written_at;
    }
    written_at.after(options.interval_ms)
}
