//! Handover of a batch from a host that stops to the next owner.
//!
//! Load pattern: all hosts are stopped and started in turn, 2 s apart, while the store does not respond or is many times
//! slower than usual. A batch must make progress on each next owner before the store names that owner, and may have
//! passed through several hosts by the time the store responds again. The next owner therefore receives everything
//! with the handover, and this module decides what a stored state means for a handover that is not stored yet.

use std::sync::Arc;

use jm_forward::RunKey;
use jm_platform::Version;
use jm_types::{BatchId, Incarnation, MemberId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{BatchResult, BatchSpec, BatchState, ItemText, ObservedSpeed};

/// Maximum size of a handover. Half of the 8 MB that a host accepts from its peers, because a host with 110 MB of memory
/// may encode several handovers at the same time.
pub(crate) const MAX_HANDOVER_BYTES: usize = 4_000_000;

/// Maximum number of earlier owners that a handover names. More hosts do not stop during one step.
const MAX_GIVERS: usize = 32;

/// One incarnation of a host that ran a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Giver {
    /// Id of the host.
    pub member: MemberId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

/// An item that the former owner of a batch still runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningItem {
    /// Index of the item in the batch.
    pub item: usize,
    /// The engine that runs it. Its capacity is in use until the run ends.
    pub target: TargetId,
    /// Start time of the engine's process in milliseconds since the Unix epoch; zero if unknown.
    pub target_started_unix_ms: u64,
}

impl RunningItem {
    pub(crate) fn new(item: usize, run: &RunKey) -> Self {
        Self {
            item,
            target: run.id.clone(),
            target_started_unix_ms: run.started_unix_ms,
        }
    }

    pub(crate) fn run(&self) -> RunKey {
        RunKey {
            id: self.target.clone(),
            started_unix_ms: self.target_started_unix_ms,
        }
    }
}

/// Everything that the next owner needs to run a batch without reading the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The state that names the receiver. It is not stored yet.
    pub state: BatchState,
    /// The newest stored state that the sender knows.
    pub stored: BatchState,
    /// Version of `stored`.
    pub version: Version,
    /// Hosts that gave the batch up since `stored`, the sender last. The store may name one of them when its answer was
    /// delayed.
    pub givers: Vec<Giver>,
    /// Specification of the batch.
    #[serde(with = "shared")]
    pub spec: Arc<BatchSpec>,
    /// Results that are in the store.
    pub listed: Vec<BatchResult>,
    /// Results that are not in the store yet. They are only listed after the receiver has stored them.
    pub unlisted: Vec<BatchResult>,
    /// Texts and failure counts of the open items.
    pub texts: Vec<ItemText>,
    /// Items that the sender continues to run. It reports their texts later.
    #[serde(default)]
    pub running: Vec<RunningItem>,
    /// Whether the failure counts in `texts` include those of all earlier owners.
    #[serde(default)]
    pub has_all_failures: bool,
    /// Speeds of engines that the sender observed.
    #[serde(default)]
    pub speeds: Vec<ObservedSpeed>,
}

impl Handover {
    /// Approximate size of the encoded message.
    pub(crate) fn size_bytes(&self) -> usize {
        let items = self.spec.items.iter().map(|item| {
            let headers = item.headers.iter().map(|(name, value)| name.len() + value.len());
            let reward = item.reward.as_ref().map_or(0, |call| call.body.len() * 4 / 3);
            // The bodies are encoded in Base64.
            item.body.len() * 4 / 3 + headers.sum::<usize>() + reward + ENTRY_OVERHEAD_BYTES
        });
        let results = self.listed.iter().chain(&self.unlisted);
        let results = results.map(BatchResult::size_bytes);
        items.sum::<usize>() + results.sum::<usize>() + texts_size_bytes(&self.texts)
    }
}

/// Field names and short fields of an encoded item or text.
const ENTRY_OVERHEAD_BYTES: usize = 400;

fn texts_size_bytes(texts: &[ItemText]) -> usize {
    texts
        .iter()
        .map(|text| text.text.len() + ENTRY_OVERHEAD_BYTES)
        .sum()
}

/// Progress that a former owner reports to the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReport {
    /// Id of the batch.
    pub batch: BatchId,
    /// Texts and failure counts of open items.
    pub texts: Vec<ItemText>,
    /// Results that may not be in the store.
    pub results: Vec<BatchResult>,
    /// Items that the sender still runs.
    #[serde(default)]
    pub running: Vec<usize>,
}

/// Tells the other hosts that a host runs a batch although the store does not name it yet. They then neither claim the batch
/// nor read its results elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNotice {
    /// The state that names the sender.
    pub state: BatchState,
    /// Version of the stored state that it replaces. The notice has no meaning for any other version.
    pub version: Version,
}

/// Answer of the next owner to a [`Handover`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReply {
    /// The receiver runs the batch and stores its state.
    Accepted,
    /// The receiver does not run the batch, because it stops itself or knows a newer state.
    Refused,
    /// The call failed, or the receiver does not know this message. It may run the batch nevertheless.
    NoAnswer,
}

/// A handover that this host accepted and that the store does not confirm yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingHandover {
    /// The state that has to be stored. It names this host.
    pub state: BatchState,
    /// Version of the stored state that it replaces.
    pub version: Version,
    /// Hosts that gave the batch up since that version.
    pub givers: Vec<Giver>,
}

/// What a stored state means for a pending handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverStatus {
    /// It is the state that the handover replaces, or an older one.
    Pending,
    /// It names one of the hosts that gave the batch up, after a late write. The handover replaces this state instead.
    Delayed,
    /// It names this host.
    Confirmed,
    /// It names another owner, or the batch is not running any more. It takes precedence over the handover.
    Overruled,
}

impl PendingHandover {
    /// Decides what a stored state means for this handover.
    pub fn status(&self, stored: &BatchState, version: Version) -> HandoverStatus {
        if stored.phase != self.state.phase {
            return HandoverStatus::Overruled;
        }
        if version <= self.version {
            return HandoverStatus::Pending;
        }
        if stored.is_owned_by(&self.state.owner, self.state.owner_incarnation) {
            return HandoverStatus::Confirmed;
        }
        let is_giver = |giver: &Giver| stored.is_owned_by(&giver.member, giver.incarnation);
        match self.givers.iter().any(is_giver) {
            true => HandoverStatus::Delayed,
            false => HandoverStatus::Overruled,
        }
    }

    /// The givers for the next handover, after the owner of this one gives the batch up as well.
    pub(crate) fn with_giver(mut givers: Vec<Giver>, giver: Giver) -> Vec<Giver> {
        givers.retain(|known| *known != giver);
        givers.push(giver);
        let excess = givers.len().saturating_sub(MAX_GIVERS);
        givers.drain(..excess);
        givers
    }
}

/// Encodes a shared value like the value itself.
mod shared {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<T: Serialize, S: Serializer>(
        value: &Arc<T>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        T::serialize(value, serializer)
    }

    pub(super) fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<T>, D::Error> {
        T::deserialize(deserializer).map(Arc::new)
    }
}
