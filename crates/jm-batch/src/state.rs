//! State of a batch. It is a small object separate from the specification, and every host watches it.

use jm_types::{BatchId, DurationMs, Incarnation, MemberId, ModelId, OrganisationId, WeightVersion};
use serde::{Deserialize, Serialize};

/// Phase of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPhase {
    /// The owner runs the batch.
    Running,
    /// All results are stored.
    Finished,
    /// The submitter ended the batch.
    Ended,
    /// The retention of the batch has expired and its objects are being deleted, this state last.
    Removing,
}

impl BatchPhase {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Finished => "finished",
            Self::Ended => "ended",
            Self::Removing => "removing",
        }
    }
}

/// Owner and phase of a batch, with the properties that other hosts need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchState {
    /// Id of the batch.
    pub batch: BatchId,
    /// The organisation of the submitter. Only its keys can access the batch. `None` if the submission required no key.
    pub organisation: Option<OrganisationId>,
    /// The host that runs the batch.
    pub owner: MemberId,
    /// Incarnation of the owner. After a restart the owner has to take the batch over again.
    pub owner_incarnation: Incarnation,
    /// Number of owners before the current one.
    #[serde(default)]
    pub earlier_owners: u32,
    /// Current phase.
    pub phase: BatchPhase,
    /// Number of items.
    pub items: usize,
    /// The model that generates the results; `None` if any engine of the service may generate them.
    pub model: Option<ModelId>,
    /// Minimum version of the weights that generate the results.
    pub min_version: WeightVersion,
    /// Expected size of all items in tokens, including prompts.
    pub work_tokens: u64,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// When the batch was finished or ended. `None` while it runs, and in states of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub closed_unix_ms: Option<u64>,
}

impl BatchState {
    /// The key that selects the host for the batch. One host runs all batches of a model, so that it alone schedules
    /// the engines that serve the model.
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

    /// The same batch after it was finished or ended.
    pub(crate) fn closed(self, phase: BatchPhase, unix_ms: u64) -> Self {
        Self {
            phase,
            closed_unix_ms: Some(unix_ms),
            ..self
        }
    }

    /// Time since the batch was closed, from which its retention counts; `None` while it runs. The clocks of the hosts that
    /// received and closed it may differ, so the later time counts.
    pub(crate) fn closed_for(&self, unix_ms: u64) -> Option<DurationMs> {
        let closed_unix_ms = self.closed_unix_ms.unwrap_or_default();
        let since = closed_unix_ms.max(self.submitted_unix_ms);
        (self.phase != BatchPhase::Running).then(|| DurationMs::new(unix_ms.saturating_sub(since)))
    }

    /// Whether both states are of one submission. An id may be used again after its batch was removed, and then names
    /// another batch.
    pub(crate) fn is_same_batch(&self, other: &Self) -> bool {
        self.batch == other.batch
            && self.organisation == other.organisation
            && self.submitted_unix_ms == other.submitted_unix_ms
    }

    /// Whether this incarnation of the host owns the batch.
    pub fn is_owned_by(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        self.owner == *member && self.owner_incarnation == incarnation
    }
}

/// See [`BatchState::owner_key`].
pub(crate) fn owner_key<'a>(model: Option<&'a ModelId>, batch: &'a BatchId) -> &'a str {
    model.map_or(batch.as_str(), ModelId::as_str)
}
