//! Load summaries that are piggybacked on datagrams.

use indexmap::IndexMap;
use jm_types::{DurationMs, MemberId, ModelId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Load of a model in a zone. This crate does not interpret the content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Zone that the load belongs to.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Model that the load belongs to.
    #[serde(rename = "m")]
    pub model: ModelId,
    /// Member that published the summary.
    #[serde(rename = "o")]
    pub origin: MemberId,
    /// Version, larger for a newer summary. Of two summaries with equal versions, the one with the larger origin is
    /// stored.
    #[serde(rename = "v")]
    pub version: u64,
    /// Encoded load.
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
struct StoredSummary {
    summary: LoadSummary,
    received_at: Timestamp,
    sent: u32,
}

/// Newest summary for each zone and model.
#[derive(Debug, Clone, Default)]
pub struct LoadSummaryTable {
    stored: IndexMap<(ZoneId, ModelId), StoredSummary>,
}

impl LoadSummaryTable {
    /// Stores a summary unless the stored one is at least as new. Returns whether it was stored.
    pub fn merge(&mut self, summary: LoadSummary, now: Timestamp) -> bool {
        let key = summary.key();
        let known = self.stored.get(&key);
        if known.is_some_and(|known| !summary.is_newer_than(&known.summary)) {
            return false;
        }
        let stored = StoredSummary {
            summary,
            received_at: now,
            sent: 0,
        };
        self.stored.insert(key, stored);
        true
    }

    /// Iterates over the summaries and the times at which they were received.
    pub fn iter(&self) -> impl Iterator<Item = (&LoadSummary, Timestamp)> {
        self.stored
            .values()
            .map(|stored| (&stored.summary, stored.received_at))
    }

    pub(crate) fn expire(&mut self, now: Timestamp, retention: DurationMs) {
        self.stored
            .retain(|_, stored| now.since(stored.received_at) <= retention);
    }

    /// Returns the summaries that were sent least often, up to `budget_bytes`, and counts them as sent. Each summary
    /// is sent `retransmits` times.
    pub(crate) fn take(&mut self, budget_bytes: usize, retransmits: u32) -> Vec<LoadSummary> {
        let mut due: Vec<_> = self
            .stored
            .values_mut()
            .filter(|stored| stored.sent < retransmits)
            .collect();
        due.sort_by_key(|stored| stored.sent);
        let mut left = budget_bytes;
        let mut taken = Vec::new();
        for stored in due {
            let Some(rest) = left.checked_sub(stored.summary.bytes()) else {
                continue;
            };
            left = rest;
            stored.sent += 1;
            taken.push(stored.summary.clone());
        }
        taken
    }
}
