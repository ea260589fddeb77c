//! What the log and the metrics are told about batches.

use jm_forward::RunKey;
use jm_types::{BatchId, DurationMs, MemberId};

use crate::GenerationEnd;

/// A run that ended without the whole text.
#[derive(Debug)]
pub struct RunEnd<'a> {
    /// The batch.
    pub batch: &'a BatchId,
    /// The item.
    pub item: &'a str,
    /// Where it ran.
    pub target: &'a RunKey,
    /// How it ended.
    pub end: &'a GenerationEnd,
    /// How long it ran.
    pub took: DurationMs,
    /// Events that its item has so far.
    pub events: u64,
}

/// How far a batch is, and what its waiting items find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchProgress {
    /// Items that wait for an engine.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
    /// Results that are listed.
    pub listed: usize,
    /// Serving engines of the service.
    pub engines: usize,
    /// Those whose weights are new enough.
    pub with_weights: usize,
    /// Those that would take an item now.
    pub with_capacity: usize,
}

/// What a batch takes over from earlier batches of its submitter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CarriedOver {
    /// Items that an earlier batch had too.
    pub items: usize,
    /// Those whose text continues.
    pub continued: usize,
    /// Those whose text is whole already.
    pub complete: usize,
}

/// Told about every decision that touches a batch.
pub trait BatchEvents: Send + Sync {
    /// A batch is in the store and this host runs it.
    fn accepted(&self, batch: &BatchId, items: usize);

    /// This host runs a batch that another run of a host began.
    fn taken_over(&self, batch: &BatchId, from: &MemberId, listed: usize);

    /// A batch has items of earlier batches.
    fn carried_over(&self, batch: &BatchId, carried: &CarriedOver);

    /// Another host runs the batch now.
    fn released(&self, batch: &BatchId, to: &MemberId);

    /// Regularly, while items of a batch wait.
    fn progress(&self, batch: &BatchId, progress: &BatchProgress);

    /// All results are listed.
    fn finished(&self, batch: &BatchId, took: DurationMs);

    /// The submitter ended the batch.
    fn ended(&self, batch: &BatchId, listed: usize);

    /// A run ended without the whole text.
    fn run_failed(&self, end: &RunEnd<'_>);

    /// An item goes on at a faster engine.
    fn moved(&self, batch: &BatchId, item: &str, from: &RunKey, to: &RunKey);

    /// An item was given up.
    fn expired(&self, batch: &BatchId, item: &str, reason: &str);

    /// The store did not take or give an object; it is tried again.
    fn store_failed(&self, batch: &BatchId, action: &str, reason: &str);
}
