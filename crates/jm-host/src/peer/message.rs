//! Requests and replies between hosts.

use indexmap::IndexMap;
use jm_batch::{BatchState, Handover, ItemText, OwnerNotice, ProgressReport, ResultPage};
use jm_forward::Origin;
use jm_platform::{Change, Condition, KeyedObject, Object, Version};
use jm_types::{BatchId, DurationMs, Incarnation, MemberId, OrganisationId};
use jm_usage::WindowId;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{membership::Registration, status::HostStatus};

/// Selects one of the two stores that a host uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObjectSpace {
    /// Store for the product's own objects.
    Product,
    /// Store that contains the platform's objects.
    Platform,
}

/// Requests that one incarnation of a host started, by usage window and organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Cumulative counts of each window.
    pub windows: IndexMap<WindowId, IndexMap<OrganisationId, u64>>,
}

/// Request of one host to another.
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
    /// Hosts of the previous release refuse this request with status 400.
    Handover(Box<Handover>),
    /// Like [`Self::Handover`].
    Progress(ProgressReport),
    /// Like [`Self::Handover`].
    OwnerNotice(OwnerNotice),
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
    /// Asks for the recorded origin of a stream, by its key. Hosts of the previous release refuse it with status 400.
    StreamOrigin {
        key: String,
    },
}

/// Wire format of [`Condition`].
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

/// Wire format of [`KeyedObject`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireObject {
    pub(super) key: String,
    #[serde(with = "serde_bytes")]
    pub(super) value: Vec<u8>,
    pub(super) version: Version,
}

/// Wire format of [`Change`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireChange {
    pub(super) key: String,
    pub(super) version: Version,
    #[serde(with = "serde_bytes")]
    pub(super) value: Option<Vec<u8>>,
}

/// Reply to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Page(Option<ResultPage>),
    ItemBody(Option<ByteBuf>),
    Members(Vec<Registration>),
    Configuration(#[serde(with = "serde_bytes")] Vec<u8>),
    /// `None` when the host does not know the holder.
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
    /// The cache no longer contains all changes after the given version.
    CopyRelist,
    /// The cached data is too old or behind the reader's version, or the prefix is not cached.
    CopyStale,
    /// `origin` is `None` for a known stream whose origin is ambiguous.
    StreamOrigin {
        is_known: bool,
        origin: Option<Origin>,
    },
    /// Whether the host runs the batch of a handover or of a report.
    RunsBatch(bool),
    /// The store did not answer the other host either. Nothing was changed.
    StoreUnavailable,
    /// The store's answer to the other host was lost; a write may have taken effect.
    StoreAnswerLost,
}

pub(crate) fn wire_change(change: Change) -> WireChange {
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

pub(crate) fn wire_object(object: KeyedObject) -> WireObject {
    WireObject {
        key: object.key,
        value: object.object.value,
        version: object.object.version,
    }
}
