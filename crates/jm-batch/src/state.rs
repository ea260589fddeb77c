//! The small object beside each batch that every host watches.

use jm_types::{BatchId, Incarnation, MemberId, OrganisationId};
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
    /// How far it is.
    pub phase: BatchPhase,
    /// Number of items.
    pub items: usize,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

impl BatchState {
    /// Whether this run of this host owns the batch.
    pub fn is_owned_by(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        self.owner == *member && self.owner_incarnation == incarnation
    }
}
