//! What hosts ask one another, and what they answer.

use indexmap::IndexMap;
use jm_batch::{BatchState, ItemText, ResultPage};
use jm_platform::{Change, Condition, KeyedObject, Object, Version};
use jm_types::{BatchId, DurationMs, Incarnation, MemberId, OrganisationId};
use jm_usage::WindowId;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{membership::Registration, status::HostStatus};

/// Which objects a relayed call concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObjectSpace {
    /// Objects of the product.
    Product,
    /// Objects of the platform.
    Platform,
}

/// Requests that one run of a host began, by window and organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// The counts of each window so far.
    pub windows: IndexMap<WindowId, IndexMap<OrganisationId, u64>>,
}

/// What one host asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    ReadBatch {
        batch: BatchId,
        after: usize,
        wait_ms: DurationMs,
    },
    ItemBody {
        batch: BatchId,
        item: String,
    },
    Members,
    Configuration,
    LeaseHolder,
    Status,
    Usage {
        host: MemberId,
        incarnation: Incarnation,
        counts: UsageCounts,
    },
    BatchState {
        state: BatchState,
        version: Version,
        texts: Vec<ItemText>,
    },
    ListCopy {
        space: ObjectSpace,
        prefix: String,
        max_age_ms: DurationMs,
    },
    WatchCopy {
        space: ObjectSpace,
        prefix: String,
        after: Version,
        wait_ms: DurationMs,
        max_age_ms: DurationMs,
    },
    GetObject {
        space: ObjectSpace,
        key: String,
    },
    PutObject {
        space: ObjectSpace,
        key: String,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        condition: WireCondition,
    },
    ListObjects {
        space: ObjectSpace,
        prefix: String,
    },
}

/// [`Condition`] on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum WireCondition {
    Any,
    Absent,
    Version(Version),
}

impl From<Condition> for WireCondition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Any => Self::Any,
            Condition::Absent => Self::Absent,
            Condition::Version(version) => Self::Version(version),
        }
    }
}

impl From<WireCondition> for Condition {
    fn from(condition: WireCondition) -> Self {
        match condition {
            WireCondition::Any => Self::Any,
            WireCondition::Absent => Self::Absent,
            WireCondition::Version(version) => Self::Version(version),
        }
    }
}

/// An object with its key on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireObject {
    pub(super) key: String,
    #[serde(with = "serde_bytes")]
    pub(super) value: Vec<u8>,
    pub(super) version: Version,
}

/// A change on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireChange {
    pub(super) key: String,
    pub(super) version: Version,
    #[serde(with = "serde_bytes")]
    pub(super) value: Option<Vec<u8>>,
}

/// What the other host answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Page(Option<ResultPage>),
    ItemBody(Option<ByteBuf>),
    Members(Vec<Registration>),
    Configuration(#[serde(with = "serde_bytes")] Vec<u8>),
    /// None when the host does not know it.
    LeaseHolder(Option<MemberId>),
    Status(HostStatus),
    Taken,
    Object(Option<WireObject>),
    Put(Version),
    Conflict(Option<Version>),
    Objects {
        objects: Vec<WireObject>,
        version: Version,
    },
    Copy {
        objects: Vec<WireObject>,
        version: Version,
        age_ms: DurationMs,
    },
    CopyChanges {
        changes: Vec<WireChange>,
        version: Version,
        age_ms: DurationMs,
    },
    /// The changes after the given version are not kept.
    CopyRelist,
    /// The copy is too old or does not exist.
    CopyStale,
    /// The store did not answer the other host either; nothing was changed.
    StoreUnavailable,
    /// The store's answer to the other host was lost.
    StoreAnswerLost,
}

pub(super) fn wire_change(change: Change) -> WireChange {
    WireChange {
        key: change.key,
        version: change.version,
        value: change.value,
    }
}

pub(super) fn keyed_object(object: WireObject) -> KeyedObject {
    KeyedObject {
        key: object.key,
        object: Object {
            value: object.value,
            version: object.version,
        },
    }
}

pub(super) fn wire_object(object: KeyedObject) -> WireObject {
    WireObject {
        key: object.key,
        value: object.object.value,
        version: object.object.version,
    }
}
