//! Which unfinished texts are saved in the store, so that the next owner continues them after a kill.
//!
//! Load pattern: a step has a few texts that take seconds, longer than all others, and its owner is killed in the middle,
//! alone or with all hosts. Started again, they end after the time at which the submitter gives up. Saving costs a call and
//! the bytes, so only texts that would take long to make again are saved, and only the longest ones when there are many.

use jm_types::{DurationMs, Timestamp};

use crate::ItemText;

/// Settings of the checkpoints.
#[derive(Debug, Clone, Copy)]
pub struct CheckpointOptions {
    /// Time between two checkpoints of a batch.
    pub interval_ms: DurationMs,
    /// Doublings of that time while the store takes none.
    pub max_doublings: u32,
    /// Events from which on a text is worth a checkpoint; shorter ones are made again within a second or two.
    pub min_events: u64,
    /// Largest sum of the texts of one checkpoint; leaves room for what the store's encoding adds.
    pub max_bytes: usize,
}

impl Default for CheckpointOptions {
    fn default() -> Self {
        Self {
            interval_ms: DurationMs::new(1_000),
            max_doublings: 3,
            min_events: 40,
            max_bytes: 400_000,
        }
    }
}

/// The checkpoints of a batch so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckpointState {
    /// When the last one was begun.
    pub begun_at: Timestamp,
    /// Checkpoints that the store did not take, since the last one that it took.
    pub failures: u32,
    /// Whether one is being written.
    pub is_writing: bool,
}

impl CheckpointState {
    /// Whether another one may be written.
    pub fn is_due(&self, options: &CheckpointOptions, now: Timestamp) -> bool {
        let factor = 1 << self.failures.min(options.max_doublings);
        let interval_ms = options.interval_ms.get() * factor;
        !self.is_writing && now.since(self.begun_at).get() >= interval_ms
    }
}

/// The texts that are saved, the longest first.
pub fn texts_to_save(mut texts: Vec<ItemText>, options: &CheckpointOptions) -> Vec<ItemText> {
    let events = |text: &ItemText| text.last_event.unwrap_or(0);
    texts.retain(|text| events(text) >= options.min_events);
    texts.sort_by_key(|text| std::cmp::Reverse(events(text)));
    let mut bytes = 0;
    let fits = texts.iter().take_while(|text| {
        bytes += text.text.len();
        bytes <= options.max_bytes
    });
    let count = fits.count();
    texts.truncate(count);
    texts
}

/// The longest text of each item, of all that earlier owners handed on or saved.
pub fn longest_texts(found: impl IntoIterator<Item = ItemText>) -> Vec<ItemText> {
    let mut longest: indexmap::IndexMap<usize, ItemText> = indexmap::IndexMap::new();
    for text in found {
        match longest.get_mut(&text.item) {
            Some(known) if known.last_event >= text.last_event => {
                known.failures = known.failures.max(text.failures);
            }
            Some(known) => {
                let failures = known.failures.max(text.failures);
                *known = ItemText { failures, ..text };
            }
            None => {
                longest.insert(text.item, text);
            }
        }
    }
    longest.into_values().collect()
}
