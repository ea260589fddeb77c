//! The load summary that a dispatch daemon sends to other daemons.

use serde::{Deserialize, Serialize};

use jm_types::{Rate, ServiceId, TokenCount, ZoneId};

/// The state of one service in one zone at one dispatch daemon. The size of the summary does not depend on the number
/// of engines or organisations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// The availability zone of the summarised targets.
    pub zone: ZoneId,
    /// The service of the summarised targets.
    pub service: ServiceId,
    /// Number of targets that accept new work.
    pub targets: usize,
    /// Estimated tokens of queued live requests; number of requests for a plain service.
    pub queued_live: TokenCount,
    /// Estimated tokens of queued training requests; number of requests for a plain service.
    pub queued_training: TokenCount,
    /// Free window for live requests, in tokens; in requests for a plain service.
    pub free_window: TokenCount,
    /// Free window for training requests, in the same unit.
    pub free_training_window: TokenCount,
    /// Sum of the windows of targets with normal health, in the same unit.
    pub window: TokenCount,
    /// Served tokens per second.
    pub served_rate: Rate,
    /// Tokens per second and unit of share that an organisation with queued live requests receives.
    pub live_fair_rate: Rate,
    /// Tokens per second and unit of share that an organisation with queued training requests receives. New requests
    /// prefer the daemon with the largest rate. The rates of all daemons become equal in this way, so that the shares
    /// are fair across all dispatch daemons.
    pub training_fair_rate: Rate,
}
