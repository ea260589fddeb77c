//! Parts of usage that dispatch daemons write to the store.

use jm_types::{Incarnation, MemberId, OrganisationId, ServiceId, TokenCount};
use serde::{Deserialize, Serialize};

use crate::WindowId;

/// Price class of the target that served a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A target that stays until it is ordered away.
    Regular,
    /// A cheaper target that the platform can reclaim.
    Cheap,
}

/// What usage is counted by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// The organisation that is charged.
    pub organisation: OrganisationId,
    /// The service that was used.
    pub service: ServiceId,
    /// The kind of target that served.
    pub kind: TargetKind,
}

/// Figures of usage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Number of requests.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: TokenCount,
    /// Tokens that were generated.
    pub generated_tokens: TokenCount,
}

impl UsageCounts {
    /// Adds other figures.
    pub const fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.generated_tokens = self.generated_tokens.saturating_add(other.generated_tokens);
    }
}

/// Identity of a part; a part that is written twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId {
    /// The daemon that counted.
    pub member: MemberId,
    /// The run of that daemon.
    pub incarnation: Incarnation,
    /// Number of the part within the run.
    pub number: u64,
}

/// Usage that one daemon counted for one window since its last flush.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsagePart {
    /// Identity of the part.
    pub id: PartId,
    /// The window that the usage belongs to.
    pub window: WindowId,
    /// Figures in the order of their keys.
    pub rows: Vec<(UsageKey, UsageCounts)>,
}

impl UsagePart {
    /// Key of the object that holds the part.
    pub fn object_key(&self) -> String {
        let PartId {
            member,
            incarnation,
            number,
        } = &self.id;
        format!("usage/part/{}/{member}/{incarnation}/{number}", self.window)
    }
}
