//! Texts of items as they pass between owners and batches.

use jm_types::{DurationMs, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{AllowedSoftware, RewardScore, TextOrigin};

/// Maximum size of the text of an item. A longer one fits neither into an object of the store nor into a page of results,
/// and only a faulty engine sends it.
const MAX_TEXT_BYTES: usize = 1_000_000;

/// Number of the first event of a text, as an engine resumes after event n with event n + 1.
pub(crate) const FIRST_EVENT: u64 = 1;

/// Why an event was not appended to a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The preceding event is missing.
    Gap,
    /// The text would exceed [`MAX_TEXT_BYTES`].
    TooLong,
}

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
    /// The software that generated the text. `None` if it is unknown, as in texts of earlier releases.
    #[serde(default)]
    pub origin: Option<TextOrigin>,
    /// Number of earlier texts of the item that were replaced by a new one.
    #[serde(default)]
    pub replaced_texts: u32,
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
    /// Whether this text of the item is to be kept rather than `other`. Texts are never joined. A text that replaced another
    /// one precedes it, however short, because the engines of the replaced one had left or were full.
    pub(crate) fn precedes(&self, other: &Self) -> bool {
        let rank = |text: &Self| {
            let has_events = text.last_event.is_some();
            (text.is_complete, has_events, text.replaced_texts, text.last_event)
        };
        rank(self) > rank(other)
    }

    /// The item without its text, which begins anew. What was counted of the item remains.
    pub(crate) fn begun_anew(&self, origin: Option<TextOrigin>) -> Self {
        Self {
            item: self.item,
            failures: self.failures,
            reward_failures: self.reward_failures,
            replaced_texts: self
                .replaced_texts
                .saturating_add(u32::from(self.last_event.is_some())),
            origin,
            ..Self::default()
        }
    }

    /// The engines at which the item may run.
    pub(crate) fn allowed_software(&self) -> AllowedSoftware<'_> {
        match self.last_event {
            Some(_) => AllowedSoftware::Same(self.origin.as_ref()),
            None => AllowedSoftware::Any,
        }
    }

    /// Appends the data of an event.
    pub(crate) fn append(
        &mut self,
        event: u64,
        data: &str,
        version: Option<WeightVersion>,
    ) -> Result<(), AppendError> {
        if event != self.last_event.map_or(FIRST_EVENT, |last| last + 1) {
            return Err(AppendError::Gap);
        }
        if self.text.len() + data.len() >= MAX_TEXT_BYTES {
            return Err(AppendError::TooLong);
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = Some(event);
        if let Some(version) = version.filter(|version| !self.versions.contains(version)) {
            self.versions.push(version);
        }
        Ok(())
    }
}
