//! Usage parts that dispatch daemons write to the store.

use jm_types::{Incarnation, MemberId, OrganisationId, ServiceId, TokenCount};
use serde::{Deserialize, Serialize};

use crate::WindowId;

/// Price class of the target that served a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A target that stays until its removal is ordered.
    Regular,
    /// A cheaper target that the platform can reclaim at any time.
    Cheap,
}

/// The dimensions that usage is aggregated by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// The organisation that is charged for the usage.
    pub organisation: OrganisationId,
    /// The service that served the requests.
    pub service: ServiceId,
    /// Price class of the target that served the requests.
    pub kind: TargetKind,
}

/// Amounts of usage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Number of requests.
    pub requests: u64,
    /// Number of tokens in the prompts.
    pub prompt_tokens: TokenCount,
    /// Number of generated tokens.
    pub generated_tokens: TokenCount,
}

impl UsageCounts {
    /// Adds other counts, saturating at the maximum.
    pub const fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.generated_tokens = self.generated_tokens.saturating_add(other.generated_tokens);
    }
}

/// Unique id of a part. A part that is written twice is counted once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId {
    /// The daemon that counted the usage.
    pub member: MemberId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the part, unique within the incarnation.
    pub number: u64,
}

/// Usage that one daemon counted for one window since its last flush.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsagePart {
    /// Id under which the part is counted once.
    pub id: PartId,
    /// The window in which the usage took place.
    pub window: WindowId,
    /// Counts by key, sorted by key.
    pub rows: Vec<(UsageKey, UsageCounts)>,
}

impl UsagePart {
    /// Key of the object that stores the part.
    pub fn object_key(&self) -> String {
        let PartId {
            member,
            incarnation,
            number,
        } = &self.id;
        format!("usage/part/{}/{member}/{incarnation}/{number}", self.window)
    }
}
