//! What a dispatch daemon tells its peers.

use serde::{Deserialize, Serialize};

use jm_types::{Rate, ServiceId, TokenCount, ZoneId};

/// The state of one service in one zone at one dispatch daemon. Its size does not depend on the number of engines
/// or organisations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// The zone of the targets.
    pub zone: ZoneId,
    /// The service.
    pub service: ServiceId,
    /// Targets that take new work.
    pub targets: usize,
    /// Estimated tokens of waiting live requests (requests for a plain service).
    pub queued_live: TokenCount,
    /// Estimated tokens of waiting training requests.
    pub queued_training: TokenCount,
    /// Room for live requests in the windows, in tokens (requests for a plain service).
    pub free_window: TokenCount,
    /// Room for training requests in the windows.
    pub free_training_window: TokenCount,
    /// Sum of the windows.
    pub window: TokenCount,
    /// Tokens served a second.
    pub served_rate: Rate,
    /// Tokens a second that an organisation with waiting live requests receives per unit of share.
    pub live_fair_rate: Rate,
    /// The same for training requests. A new request does best where this is largest; when every request goes
    /// there, the rates become equal, which makes the shares fair over all dispatch daemons.
    pub training_fair_rate: Rate,
}
