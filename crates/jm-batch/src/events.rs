//! Reporting of batch events to logs and metrics.

use jm_forward::{RunKey, Target};
use jm_types::{BatchId, DurationMs, MemberId, SoftwareVersion};

use crate::{BatchPhase, GenerationEnd, HandoverReply, ResultsRead, RewardEnd, TextOrigin};

/// How a host received a state of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSource {
    /// From its watch or its listing of all states, which may lag behind.
    Watch,
    /// From another host.
    Peer,
    /// By reading the state itself.
    Read,
    /// By its own write.
    Write,
}

impl StateSource {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Peer => "peer",
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// A newer state of a batch that this host holds, which names another owner.
#[derive(Debug)]
pub struct Displacement<'a> {
    /// Id of the batch.
    pub batch: &'a BatchId,
    /// The owner that the state names.
    pub owner: &'a MemberId,
    /// Phase in the state. A host that was away may miss the states before it.
    pub phase: BatchPhase,
    /// Number of owners before the one that the state names.
    pub earlier_owners: u32,
    /// How this host received the state.
    pub source: StateSource,
}

/// A run that ended before its text was complete.
#[derive(Debug)]
pub struct RunEnd<'a> {
    /// Batch of the item.
    pub batch: &'a BatchId,
    /// Id of the item.
    pub item: &'a str,
    /// Target that executed the run.
    pub target: &'a RunKey,
    /// Version of the target's software when the target was chosen.
    pub software: Option<&'a SoftwareVersion>,
    /// Outcome of the run.
    pub end: &'a GenerationEnd,
    /// Duration of the run.
    pub took: DurationMs,
    /// Number of events of the item so far, including those of earlier runs.
    pub events: u64,
}

/// An item that begins anew although it has a text.
#[derive(Debug)]
pub struct BegunAnew<'a> {
    /// Batch of the item.
    pub batch: &'a BatchId,
    /// Id of the item.
    pub item: &'a str,
    /// Target that generates the new text.
    pub target: &'a Target,
    /// The software that generated the text so far; `None` if it is unknown.
    pub origin: Option<&'a TextOrigin>,
    /// Number of events of the text so far.
    pub events: u64,
    /// Time that engines took to generate them.
    pub took: DurationMs,
    /// Time for which the item waited for engines of the text's version; `None` if none of them serves.
    pub waited: Option<DurationMs>,
}

/// Progress of a batch, and how many engines can accept its waiting items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchProgress {
    /// Items that wait for an engine.
    pub waiting: usize,
    /// Items that are running.
    pub running: usize,
    /// Items whose texts are complete and wait for their scores.
    pub scoring: usize,
    /// Results that are stored and visible to readers.
    pub listed: usize,
    /// Serving engines of the service.
    pub engines: usize,
    /// Engines whose weights are new enough.
    pub with_weights: usize,
    /// Engines that can accept an item now.
    pub with_capacity: usize,
}

/// Items of a batch that one scheduling pass placed on engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacedItems {
    /// Items placed on the engine with the shortest time between events.
    pub fastest: usize,
    /// Items placed on another engine, because it has more of the prompt cached and ends them earlier.
    pub cached_prompt: usize,
    /// Prompt tokens that the engines probably have cached.
    pub cached_tokens: u64,
    /// Prompt tokens that the engines have to prefill.
    pub uncached_tokens: u64,
}

/// An attempt of a reward call that ended.
#[derive(Debug)]
pub struct RewardAttempt<'a> {
    /// Batch of the item.
    pub batch: &'a BatchId,
    /// Id of the item.
    pub item: &'a str,
    /// Id of the call.
    pub call: &'a str,
    /// Target that was called.
    pub target: &'a RunKey,
    /// Outcome of the attempt.
    pub end: &'a RewardEnd,
    /// Time from the completion of the text to the start of the attempt.
    pub waited: DurationMs,
    /// Duration of the attempt.
    pub took: DurationMs,
    /// Number of attempts of the call so far.
    pub attempts: usize,
}

/// Number of items that a batch shares with earlier batches of its submitter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CarriedOver {
    /// Items that an earlier batch also contained.
    pub items: usize,
    /// Items whose text is resumed.
    pub continued: usize,
    /// Items whose text is already complete.
    pub complete: usize,
}

/// Receives the events of handovers at planned stops.
pub trait HandoverEvents: Send + Sync {
    /// The next owner accepted the batch.
    fn handed_over(&self, batch: &BatchId, to: &MemberId);

    /// The host `to` did not accept the batch.
    fn handover_failed(&self, batch: &BatchId, to: &MemberId, reply: HandoverReply);

    /// This host runs a batch that `from` handed over with `listed` stored results. The store does not name this host yet.
    fn handover_accepted(&self, batch: &BatchId, from: &MemberId, listed: usize);

    /// The store names this host as the owner of a batch that was handed over.
    fn handover_confirmed(&self, batch: &BatchId);

    /// The stored state takes precedence over a handover that this host accepted. `owner` is the owner that it names.
    fn handover_overruled(&self, batch: &BatchId, owner: &MemberId);
}

/// Receives the events of all batches on this host.
pub trait BatchEvents: HandoverEvents {
    /// A batch was stored.
    fn accepted(&self, batch: &BatchId, items: usize);

    /// This host took over a batch from another host or from an earlier incarnation of a host; `listed` results were
    /// already stored.
    fn taken_over(&self, batch: &BatchId, from: &MemberId, listed: usize);

    /// A start of a batch was ignored, because this host already runs the batch.
    fn start_repeated(&self, batch: &BatchId);

    /// A batch reuses items of earlier batches.
    fn carried_over(&self, batch: &BatchId, carried: &CarriedOver);

    /// A state names another owner of a batch that this host holds.
    fn displaced(&self, displacement: &Displacement<'_>);

    /// This host stopped running the batch because `to` owns it now.
    fn released(&self, batch: &BatchId, to: &MemberId);

    /// This process did not run for `pause`. It starts nothing until the owners of its batches are confirmed.
    fn paused(&self, pause: DurationMs);

    /// After a pause this host starts items again. It tried for `took` to read the states of `batches` batches, and could not
    /// read `unread` of them.
    fn owners_confirmed(&self, batches: usize, unread: usize, took: DurationMs);

    /// Periodic report while items of a batch wait.
    fn progress(&self, batch: &BatchId, progress: &BatchProgress);

    /// All results are stored, `took` after this host started to run the batch.
    fn finished(&self, batch: &BatchId, took: DurationMs);

    /// The submitter ended the batch after `listed` results were stored.
    fn ended(&self, batch: &BatchId, listed: usize);

    /// A batch that was closed for `closed_for` was removed from the store.
    fn removed(&self, batch: &BatchId, closed_for: DurationMs);

    /// A run ended before its text was complete.
    fn run_failed(&self, end: &RunEnd<'_>);

    /// An item resumes its text of `events` events at `target`.
    fn resumed(&self, batch: &BatchId, item: &str, target: &Target, events: u64);

    /// An item begins anew, because no engine of its text's version can continue the text soon.
    fn begun_anew(&self, begun: &BegunAnew<'_>);

    /// Items were placed on engines, to be started there.
    fn placed(&self, batch: &BatchId, placed: &PlacedItems);

    /// A running item was moved to a faster engine, which is expected to end it earlier by `saving`.
    fn moved(&self, batch: &BatchId, item: &str, from: &RunKey, to: &RunKey, saving: DurationMs);

    /// An attempt of a reward call ended.
    fn reward_attempt_ended(&self, attempt: &RewardAttempt<'_>);

    /// A reward call was also sent to `second`, because `first` had not answered within `waited`.
    fn reward_hedged(&self, batch: &BatchId, item: &str, first: &RunKey, second: &RunKey, waited: DurationMs);

    /// Results were read from the store for a reader, because no live host has them in memory.
    fn results_read(&self, batch: &BatchId, read: &ResultsRead);

    /// An item was given up.
    fn expired(&self, batch: &BatchId, item: &str, reason: &str);

    /// A store operation of a batch failed. `action` names the operation and is a metric label.
    fn store_failed(&self, batch: &BatchId, action: &str, reason: &str);
}
