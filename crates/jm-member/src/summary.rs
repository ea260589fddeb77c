//! Load summaries that travel with the datagrams.

use indexmap::IndexMap;
use jm_types::{DurationMs, MemberId, ModelId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Load of a model in a zone. The content is opaque here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// The model.
    #[serde(rename = "m")]
    pub model: ModelId,
    /// The member that made the summary.
    #[serde(rename = "o")]
    pub origin: MemberId,
    /// Larger for a newer summary; of equal versions that of the larger origin counts.
    #[serde(rename = "v")]
    pub version: u64,
    /// The content.
    #[serde(rename = "d", with = "serde_bytes")]
    pub data: Vec<u8>,
}

impl LoadSummary {
    fn key(&self) -> (ZoneId, ModelId) {
        (self.zone.clone(), self.model.clone())
    }

    fn is_newer_than(&self, other: &Self) -> bool {
        (self.version, &self.origin) > (other.version, &other.origin)
    }

    fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        let ids = self.zone.as_str().len() + self.model.as_str().len() + self.origin.as_str().len();
        FIXED_BYTES + ids + self.data.len()
    }
}

#[derive(Debug, Clone)]
struct Kept {
    summary: LoadSummary,
    received_at: Timestamp,
    sent: u32,
}

/// The newest summary for each zone and model.
#[derive(Debug, Clone, Default)]
pub struct LoadSummaryTable {
    kept: IndexMap<(ZoneId, ModelId), Kept>,
}

impl LoadSummaryTable {
    /// Takes a summary unless a newer one is known; returns whether it was taken.
    pub fn merge(&mut self, summary: LoadSummary, now: Timestamp) -> bool {
        let key = summary.key();
        let known = self.kept.get(&key);
        if known.is_some_and(|known| !summary.is_newer_than(&known.summary)) {
            return false;
        }
        let kept = Kept {
            summary,
            received_at: now,
            sent: 0,
        };
        self.kept.insert(key, kept);
        true
    }

    /// The summaries with the time at which each arrived.
    pub fn iter(&self) -> impl Iterator<Item = (&LoadSummary, Timestamp)> {
        self.kept.values().map(|kept| (&kept.summary, kept.received_at))
    }

    pub(crate) fn expire(&mut self, now: Timestamp, keep: DurationMs) {
        self.kept.retain(|_, kept| now.since(kept.received_at) <= keep);
    }

    /// Summaries that were sent least often, up to `budget_bytes`. Each is sent `retransmits` times.
    pub(crate) fn take(&mut self, budget_bytes: usize, retransmits: u32) -> Vec<LoadSummary> {
        let mut due: Vec<_> = self
            .kept
            .values_mut()
            .filter(|kept| kept.sent < retransmits)
            .collect();
        due.sort_by_key(|kept| kept.sent);
        let mut left = budget_bytes;
        let mut taken = Vec::new();
        for kept in due {
            let Some(rest) = left.checked_sub(kept.summary.bytes()) else {
                continue;
            };
            left = rest;
            kept.sent += 1;
            taken.push(kept.summary.clone());
        }
        taken
    }
}
