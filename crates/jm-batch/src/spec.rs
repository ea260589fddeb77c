//! Specification of a batch, as its submitter requested it.

use std::{
    any::Any,
    collections::HashSet,
    fmt::{self, Display},
    sync::Arc,
};

use indexmap::IndexMap;
use jm_types::{BatchId, DurationMs, ModelId, OrganisationId, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{ItemText, PromptPart, RewardCall};

/// Memory that an item takes beside its texts: the item, the state of its run and its text, and the overhead of the
/// allocator for its id and path.
pub const ITEM_BYTES: usize = size_of::<BatchItem>() + 2 * size_of::<ItemText>() + 64;

/// Memory that a header of an item takes beside its texts: its entry in the map, and the overhead of the allocator.
pub const HEADER_BYTES: usize = 2 * size_of::<String>() + 64;

/// One request of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchItem {
    /// Id, unique within the batch.
    pub id: String,
    /// Path of the request, which selects the route together with the batch's host.
    pub path: String,
    /// Headers of the request, by name.
    pub headers: IndexMap<String, String>,
    /// Body of the request, stored in Base64.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
    /// Prompt tokens plus the maximum number of generated tokens.
    pub tokens: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// The submitter's estimate of the generated tokens; `None` if it gave none.
    pub expected_tokens: Option<u64>,
    /// Group of the item. Items of one group share their prompt and are only useful together. An item without a group
    /// forms its own.
    pub group: Option<String>,
    /// The request that scores the text; `None` if the text is the result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reward: Option<RewardCall>,
    /// Parts at the start of the prompt that other items may share; empty if the submitter named none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prompt_parts: Vec<PromptPart>,
}

/// A complete batch, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Id of the batch.
    pub id: BatchId,
    /// The organisation of the submitter; `None` if the submission required no key.
    pub organisation: Option<OrganisationId>,
    /// Host name of the requests.
    pub host: String,
    /// The model that generates the results; `None` if any engine of the service may generate them.
    pub model: Option<ModelId>,
    /// Minimum version of the weights that generate the results.
    pub min_version: WeightVersion,
    /// Whether all events of one result must come from one weight version.
    pub is_single_version: bool,
    /// Number of complete groups that the submitter waits for.
    pub wanted_groups: usize,
    /// Time from the submission until all results are due.
    pub due_ms: DurationMs,
    /// Time from the submission until items may be given up.
    pub give_up_ms: DurationMs,
    /// Attempts of the route. An item is given up after this many failed runs, multiplied by the plan's failure factor.
    pub max_attempts: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u64,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Requests of the batch.
    pub items: Vec<BatchItem>,
    /// Memory that the requests use.
    #[serde(skip)]
    pub memory: SpecMemory,
}

/// Keeps the memory of a batch counted until the batch is dropped. A batch that was read from the store counts none. Two
/// batches are equal whatever memory they count.
#[derive(Clone, Default)]
pub struct SpecMemory(Option<Arc<dyn Any + Send + Sync>>);

impl SpecMemory {
    /// Drops `share` when the last copy of the batch is dropped.
    pub fn new(share: Arc<dyn Any + Send + Sync>) -> Self {
        Self(Some(share))
    }
}

impl fmt::Debug for SpecMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SpecMemory").field(&self.0.is_some()).finish()
    }
}

impl PartialEq for SpecMemory {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for SpecMemory {}

/// Why a batch is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// Two items have the same id.
    #[snafu(display("item id {id:?} occurs more than once"))]
    DuplicateItem {
        /// Id that more than one item has.
        id: String,
    },
    /// The batch has no items.
    #[snafu(display("the batch has no items"))]
    NoItems,
    /// A part of an item cannot be sent in the head of a request.
    #[snafu(display("the {part} of item {id:?} cannot be sent: {reason}"))]
    Unsendable {
        /// Id of the item.
        id: String,
        /// The part of the item.
        part: String,
        /// What the part has to consist of.
        reason: &'static str,
    },
}

const VISIBLE: &str = "it must have visible ASCII characters only";
const PATH: &str = "it must begin with a slash and have visible ASCII characters only";
const HEADER_NAME: &str = "it must have letters, digits and !#$%&'*+-.^_`|~ only";
const HEADER_VALUE: &str = "it must have visible ASCII characters, spaces and tabs only";

fn is_visible(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && is_visible(text)
}

fn is_header_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn is_header_value(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t'))
}

impl BatchItem {
    /// Checks that the head of a request can carry the item. Otherwise no engine could ever get it.
    ///
    /// # Errors
    ///
    /// Fails when the id, the path, a header or the reward call has characters that a request cannot carry.
    pub fn check(&self) -> Result<(), SpecError> {
        self.check_part(is_visible(&self.id), "id", VISIBLE)?;
        self.check_part(is_path(&self.path), "path", PATH)?;
        for (name, value) in &self.headers {
            self.check_part(
                is_header_name(name),
                format_args!("header name {name:?}"),
                HEADER_NAME,
            )?;
            let part = format_args!("value of header {name}");
            self.check_part(is_header_value(value), part, HEADER_VALUE)?;
        }
        let Some(reward) = &self.reward else {
            return Ok(());
        };
        self.check_part(is_visible(&reward.id), "reward call's id", VISIBLE)?;
        self.check_part(is_path(&reward.path), "reward call's path", PATH)
    }

    fn check_part(
        &self,
        is_sendable: bool,
        part: impl Display,
        reason: &'static str,
    ) -> Result<(), SpecError> {
        ensure!(
            is_sendable,
            UnsendableSnafu {
                id: &self.id,
                part: part.to_string(),
                reason
            }
        );
        Ok(())
    }

    /// Memory that the item takes, with the state of its run and its text.
    fn memory_bytes(&self) -> u64 {
        let headers = self.headers.iter();
        let header_bytes: usize = headers
            .map(|(name, value)| HEADER_BYTES + name.capacity() + value.capacity())
            .sum();
        let reward = self.reward.as_ref();
        let reward_bytes = reward.map_or(0, |call| call.body.capacity() + call.path.capacity());
        let text_bytes = self.id.capacity() + self.path.capacity() + self.body.capacity();
        let part_bytes = self.prompt_parts.capacity() * size_of::<PromptPart>();
        (ITEM_BYTES + header_bytes + reward_bytes + text_bytes + part_bytes) as u64
    }

    /// Estimated number of generated tokens.
    pub(crate) fn estimated_tokens(&self) -> u64 {
        let max_generated = self.tokens.saturating_sub(self.prompt_tokens);
        self.expected_tokens.unwrap_or(max_generated).min(max_generated)
    }

    /// Expected size of a run at its end in tokens: the prompt plus the estimated generated tokens.
    pub fn work_tokens(&self) -> u64 {
        self.prompt_tokens + self.estimated_tokens()
    }
}

impl BatchSpec {
    /// The body of an item; `None` when the batch has no such item.
    pub(crate) fn body(&self, item: &str) -> Option<Vec<u8>> {
        let found = self.items.iter().find(|candidate| candidate.id == item);
        found.map(|item| item.body.clone())
    }

    /// The specification without its items.
    pub(crate) fn without_items(&self) -> Self {
        Self {
            id: self.id.clone(),
            organisation: self.organisation.clone(),
            host: self.host.clone(),
            model: self.model.clone(),
            items: Vec::new(),
            memory: SpecMemory::default(),
            ..*self
        }
    }

    /// Memory that the specification and the state of its items take while the batch runs.
    pub fn memory_bytes(&self) -> u64 {
        self.items.iter().map(BatchItem::memory_bytes).sum()
    }

    /// Sum of the expected sizes of all items in tokens.
    pub fn work_tokens(&self) -> u64 {
        self.items.iter().map(BatchItem::work_tokens).sum()
    }

    /// Checks the constraints that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Fails when there are no items, two items share an id, or an item cannot be sent.
    pub fn check(&self) -> Result<(), SpecError> {
        ensure!(!self.items.is_empty(), NoItemsSnafu);
        let mut ids = HashSet::new();
        for item in &self.items {
            ensure!(ids.insert(&item.id), DuplicateItemSnafu { id: &item.id });
            item.check()?;
        }
        Ok(())
    }

    /// Whether items may be given up at the given time of day.
    pub fn may_give_up(&self, unix_ms: u64) -> bool {
        unix_ms >= self.submitted_unix_ms.saturating_add(self.give_up_ms.get())
    }
}

pub(crate) mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
