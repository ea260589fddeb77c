//! What a submitter asks for.

use std::collections::HashSet;

use indexmap::IndexMap;
use jm_types::{BatchId, DurationMs, ModelId, OrganisationId, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// One request of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchItem {
    /// Its id, unique within the batch.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: IndexMap<String, String>,
    /// Body of the request.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
    /// Prompt tokens and most generated tokens.
    pub tokens: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// The submitter's estimate of the generated tokens.
    pub expected_tokens: Option<u64>,
    /// Items of one group share their prompt and are only useful together.
    pub group: Option<String>,
}

/// A whole batch, as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Its id.
    pub id: BatchId,
    /// The organisation that it runs for.
    pub organisation: Option<OrganisationId>,
    /// The host name of its requests.
    pub host: String,
    /// The model that generates its results.
    pub model: Option<ModelId>,
    /// Oldest weights that may generate its results.
    pub min_version: WeightVersion,
    /// Whether all events of one result must come from one weight version.
    pub is_single_version: bool,
    /// Groups that the submitter waits for.
    pub wanted_groups: usize,
    /// All results are due this long after the submission.
    pub due_ms: DurationMs,
    /// An item may be given up this long after the submission.
    pub give_up_ms: DurationMs,
    /// Failed runs after which an item is given up.
    pub max_attempts: usize,
    /// Rank; 0 is the most urgent.
    pub priority: u64,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Its items.
    pub items: Vec<BatchItem>,
}

/// Why a batch is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// Two items have the same id.
    #[snafu(display("the item id {id:?} stands twice"))]
    DuplicateItem {
        /// The id.
        id: String,
    },
    /// It has no items.
    #[snafu(display("the batch has no items"))]
    NoItems,
}

impl BatchItem {
    /// Tokens that a run is expected to hold at its end: the prompt, and the estimate of the generated ones.
    pub fn work_tokens(&self) -> u64 {
        let most_generated = self.tokens.saturating_sub(self.prompt_tokens);
        let generated = self.expected_tokens.unwrap_or(most_generated).min(most_generated);
        self.prompt_tokens + generated
    }
}

impl BatchSpec {
    /// The body of an item; none when the batch has no such item.
    pub(crate) fn body(&self, item: &str) -> Option<Vec<u8>> {
        let found = self.items.iter().find(|candidate| candidate.id == item);
        found.map(|item| item.body.clone())
    }

    /// Tokens that all items are expected to take.
    pub fn work_tokens(&self) -> u64 {
        self.items.iter().map(BatchItem::work_tokens).sum()
    }

    /// Checks what the types do not.
    ///
    /// # Errors
    ///
    /// Fails when there are no items or two items share an id.
    pub fn check(&self) -> Result<(), SpecError> {
        ensure!(!self.items.is_empty(), NoItemsSnafu);
        let mut ids = HashSet::new();
        for item in &self.items {
            ensure!(ids.insert(&item.id), DuplicateItemSnafu { id: &item.id });
        }
        Ok(())
    }

    /// Whether an item may be given up at a time of day.
    pub fn may_give_up(&self, unix_ms: u64) -> bool {
        unix_ms >= self.submitted_unix_ms.saturating_add(self.give_up_ms.get())
    }
}

mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
