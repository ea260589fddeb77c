//! Status of a host for operators: its view of members, targets, batches and the lease.

use jm_types::{
    BatchId, Incarnation, MemberId, ModelId, Revision, ServiceId, TargetId, WeightVersion, ZoneId,
};
use serde::{Deserialize, Serialize};

/// State of a member in the reporting host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identifier of the member.
    pub host: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `alive`, `leaving`, `suspected` or `failed`.
    pub state: String,
}

/// State of a target in the reporting host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Identifier of the target.
    pub target: TargetId,
    /// Service that the target is an instance of.
    pub service: ServiceId,
    /// Whether new work is sent to the target.
    pub is_serving: bool,
    /// Weight version of each model, as listed by the platform.
    pub weights: Vec<(ModelId, WeightVersion)>,
}

/// An evacuated availability zone in the reporting host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone, whose targets get no new work.
    pub zone: ZoneId,
    /// When the reporting host applied the evacuation, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// A batch that has not finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenBatch {
    /// Identifier of the batch.
    pub batch: BatchId,
    /// Host that runs the batch.
    pub owner: MemberId,
    /// Number of items in the batch.
    pub items: usize,
}

/// Status of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Identifier of the host.
    pub host: MemberId,
    /// Incarnation, which is new with each start.
    pub incarnation: Incarnation,
    /// Whether the host is about to stop.
    pub is_leaving: bool,
    /// Revision of the active configuration; zero before the first one.
    pub config_revision: Revision,
    /// Holder of the lease of the shared duties, or `None` when unknown.
    pub lease_holder: Option<MemberId>,
    /// Other hosts with their states in the failure detector.
    pub members: Vec<MemberStatus>,
    /// Listed targets, including those that no longer get work.
    pub targets: Vec<TargetStatus>,
    /// Batches that have not finished.
    pub open_batches: Vec<OpenBatch>,
    /// Evacuated availability zones. Hosts of earlier releases report none.
    #[serde(default)]
    pub evacuated_zones: Vec<EvacuatedZone>,
}
