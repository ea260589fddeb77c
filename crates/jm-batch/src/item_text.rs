//! Texts of items as they pass between owners and batches.

use jm_types::{DurationMs, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::RewardScore;

/// The partial text of an item. It is saved in checkpoints and handed over to the next owner, which resumes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemText {
    /// Index of the item in the batch.
    pub item: usize,
    /// The data of the events, separated by line feeds.
    pub text: String,
    /// Number of the last event; `None` before the first one.
    pub last_event: Option<u64>,
    /// The weight versions that generated an event of the text.
    pub versions: Vec<WeightVersion>,
    /// Number of failed runs of the item.
    #[serde(default)]
    pub failures: usize,
    /// Time that engines took to generate the text so far.
    #[serde(default)]
    pub took_ms: DurationMs,
    /// Whether the text has all its events. Its score may still be missing.
    #[serde(default)]
    pub is_complete: bool,
    /// Number of attempts of the item's reward call that the service failed.
    #[serde(default)]
    pub reward_failures: usize,
}

/// An item that an earlier batch of the same submitter also contained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CarriedItem {
    /// The reusable text, empty if there is none. Its index refers to the new batch.
    pub(crate) text: ItemText,
    /// Score of a complete text; `None` if both batches do not score it with the same call.
    pub(crate) score: Option<RewardScore>,
}

impl ItemText {
    /// Appends the data of an event; returns `false` when the preceding event is missing.
    pub(crate) fn append(&mut self, event: u64, data: &str, version: Option<WeightVersion>) -> bool {
        if self.last_event.is_some_and(|last| event != last + 1) {
            return false;
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = Some(event);
        if let Some(version) = version.filter(|version| !self.versions.contains(version)) {
            self.versions.push(version);
        }
        true
    }
}
