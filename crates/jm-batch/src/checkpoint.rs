//! Selection of the unfinished texts that are saved in the store, so that the next owner resumes them after a crash.
//!
//! Load pattern: a step has a few texts that take seconds, longer than all others, and its owner is killed in the
//! middle, alone or together with all hosts. If these texts restart from the beginning, they end after the submitter
//! has given up. Saving costs a store call and its bytes. Only texts that would take long to generate again are saved,
//! and only the longest ones when there are many. A complete text whose score is overdue is saved first, so that it is
//! never generated again because the service that scores it was away.
//!
//! Failure counts are saved with the texts from the second failure of an item on, so that an item that fails at several
//! runs is not counted anew by each owner. Single failures occur in most steps and would cost a store call each.

use jm_types::{DurationMs, Timestamp};

use crate::ItemText;

/// When texts are saved, and which of them.
#[derive(Debug, Clone, Copy)]
pub struct CheckpointOptions {
    /// Minimum time between two checkpoints of a batch.
    pub interval_ms: DurationMs,
    /// Maximum number of times that failed writes double the interval.
    pub max_doublings: u32,
    /// Minimum number of events of a saved text, unless it took `min_took_ms`.
    pub min_events: u64,
    /// Minimum generation time of a saved text with fewer events. An event may hold many tokens, so the number of events
    /// alone says little about how long it takes to generate a text again.
    pub min_took_ms: DurationMs,
    /// Time for which a complete text waits for its score before it is saved. A service that scores texts usually answers
    /// sooner, and each checkpoint costs a store call.
    pub min_unscored_ms: DurationMs,
    /// Replaces `interval_ms` while more complete texts wait for their scores than the last checkpoint holds, or while a
    /// failure count is not saved. An item that fails at once uses all its attempts within half a second.
    pub unscored_interval_ms: DurationMs,
    /// Minimum number of failed runs of an item whose failure count is saved, whatever the length of its text.
    pub min_failures: usize,
    /// Maximum total size of the texts in one checkpoint, with a margin for the overhead of the store's encoding.
    pub max_bytes: usize,
}

impl Default for CheckpointOptions {
    fn default() -> Self {
        Self {
            interval_ms: DurationMs::new(1_000),
            max_doublings: 3,
            min_events: 40,
            min_took_ms: DurationMs::new(1_000),
            min_unscored_ms: DurationMs::new(250),
            unscored_interval_ms: DurationMs::new(300),
            min_failures: 2,
            max_bytes: 400_000,
        }
    }
}

/// State of a batch's checkpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckpointState {
    /// Start of the last checkpoint.
    pub begun_at: Timestamp,
    /// Failed checkpoints since the last successful one.
    pub failures: u32,
    /// Whether a checkpoint is being written.
    pub is_writing: bool,
    /// Number of complete texts in the last checkpoint.
    pub unscored: usize,
    /// Sum of the repeated failures of all items at the last checkpoint.
    pub saved_failures: usize,
}

impl CheckpointState {
    /// Whether the next checkpoint may start at `now`. `unscored` is the number of complete texts whose score is overdue,
    /// and `has_new_failures` says whether there are repeated failures that the last checkpoint does not hold.
    pub fn is_due(
        &self,
        options: &CheckpointOptions,
        unscored: usize,
        has_new_failures: bool,
        now: Timestamp,
    ) -> bool {
        let factor = 1 << self.failures.min(options.max_doublings);
        let interval_ms = match unscored > self.unscored || has_new_failures {
            true => options.interval_ms.min(options.unscored_interval_ms),
            false => options.interval_ms,
        };
        let interval_ms = interval_ms.get() * factor;
        !self.is_writing && now.since(self.begun_at).get() >= interval_ms
    }
}

/// Selects the texts to save, complete ones first and then the longest. A text that does not fit is left out.
pub fn texts_to_save(mut texts: Vec<ItemText>, options: &CheckpointOptions) -> Vec<ItemText> {
    let events = |text: &ItemText| text.last_event.unwrap_or(0);
    texts.retain(|text| is_worth_saving(text, options) || text.failures >= options.min_failures);
    texts.sort_by_key(|text| std::cmp::Reverse((text.is_complete, text.took_ms, events(text))));
    let mut bytes = 0;
    texts.retain(|text| {
        let fits = bytes + text.text.len() <= options.max_bytes;
        bytes += text.text.len() * usize::from(fits);
        fits
    });
    texts
}

/// Whether a text is saved for its own sake, and not only because of its failure count.
pub(crate) fn is_worth_saving(text: &ItemText, options: &CheckpointOptions) -> bool {
    let is_long = text.last_event.unwrap_or(0) >= options.min_events || text.took_ms >= options.min_took_ms;
    text.is_complete || is_long
}

/// The longest text of each item with its highest failure counts, among all texts that earlier owners handed over or
/// saved. Texts that were replaced by others are left out.
pub fn longest_texts(texts: impl IntoIterator<Item = ItemText>) -> Vec<ItemText> {
    let mut longest: indexmap::IndexMap<usize, ItemText> = indexmap::IndexMap::new();
    for text in texts {
        let Some(current) = longest.get_mut(&text.item) else {
            longest.insert(text.item, text);
            continue;
        };
        let failures = current.failures.max(text.failures);
        let reward_failures = current.reward_failures.max(text.reward_failures);
        if text.precedes(current) {
            *current = text;
        }
        current.failures = failures;
        current.reward_failures = reward_failures;
    }
    longest.into_values().collect()
}
