//! The small object beside each batch that every host watches.

use jm_types::{BatchId, Incarnation, MemberId, ModelId, OrganisationId, WeightVersion};
use serde::{Deserialize, Serialize};

/// How far a batch is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPhase {
    /// Its owner runs it.
    Running,
    /// All results are listed.
    Finished,
    /// Its submitter ended it.
    Ended,
}

/// Who runs a batch, and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchState {
    /// The batch.
    pub batch: BatchId,
    /// The organisation that it runs for; only its keys reach the batch.
    pub organisation: Option<OrganisationId>,
    /// The host that runs it.
    pub owner: MemberId,
    /// The run of the owner; after a restart the owner has to take the batch over again.
    pub owner_incarnation: Incarnation,
    /// Owners that ran it before this one.
    #[serde(default)]
    pub earlier_owners: u32,
    /// How far it is.
    pub phase: BatchPhase,
    /// Number of items.
    pub items: usize,
    /// The model that generates the results.
    pub model: Option<ModelId>,
    /// Oldest weights that may generate the results.
    pub min_version: WeightVersion,
    /// Tokens that the items are expected to take, prompts included.
    pub work_tokens: u64,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

impl BatchState {
    /// What decides which host runs the batch. One host runs all batches of a model, so that it alone decides about the
    /// engines that serve the model.
    pub fn owner_key(&self) -> &str {
        owner_key(self.model.as_ref(), &self.batch)
    }

    /// The same batch with its next owner.
    pub(crate) fn with_owner(self, owner: MemberId, owner_incarnation: Incarnation) -> Self {
        Self {
            owner,
            owner_incarnation,
            earlier_owners: self.earlier_owners + 1,
            ..self
        }
    }

    /// Whether this run of this host owns the batch.
    pub fn is_owned_by(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        self.owner == *member && self.owner_incarnation == incarnation
    }
}

/// See [`BatchState::owner_key`].
pub(crate) fn owner_key<'a>(model: Option<&'a ModelId>, batch: &'a BatchId) -> &'a str {
    model.map_or(batch.as_str(), ModelId::as_str)
}
