//! API for ordering and releasing targets.

use std::net::SocketAddr;

use async_trait::async_trait;
use jm_types::{FencingNumber, ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ReadError;

/// Pricing and availability class of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Stays available until it is released.
    Regular,
    /// Costs less. The platform can reclaim it with a few seconds' notice, together with all others of its availability
    /// zone.
    Cheap,
}

/// State of an ordered target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// In service.
    Live,
    /// Reclaimed by the platform. It stops within seconds and must not receive new work.
    Leaving,
}

/// An order for one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Idempotency id, chosen by the caller. Repeating an order with the same id returns the same target, so the caller
    /// can retry an order whose response was lost.
    pub order_id: String,
    /// The service that the target will run.
    pub service: ServiceId,
    /// The availability zone in which the target is needed.
    pub zone: ZoneId,
    /// Requested class of the target.
    pub kind: TargetKind,
    /// Fencing number of the caller's lease.
    pub fencing: FencingNumber,
}

/// A target that is ordered and not yet released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedTarget {
    /// Id assigned by the platform.
    pub id: TargetId,
    /// Id of the order that was fulfilled with this target.
    pub order_id: String,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// Class of the target.
    pub kind: TargetKind,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Whether the target stays in service.
    pub state: TargetState,
}

/// Reason why an order or a release was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
#[snafu(visibility(pub(crate)))]
pub enum OrderError {
    /// The platform has received a newer fencing number. Nothing was changed.
    #[snafu(display("the fencing number is older than the newest number {newest}"))]
    StaleFencing {
        /// The newest fencing number that the platform has received.
        newest: FencingNumber,
    },
    /// The zone currently has no free target of this kind. Nothing was changed.
    #[snafu(display("the zone currently has no free target of this kind"))]
    NoCapacity,
    /// No target with this id is ordered. Nothing was changed.
    #[snafu(display("the target is not ordered"))]
    UnknownTarget,
    /// The order id was already used for another service, zone or kind. Nothing was changed.
    #[snafu(display("the order id was already used for another order"))]
    OrderIdReused,
    /// The platform cannot be reached or refuses the request. Nothing was changed.
    #[snafu(display("target orders are unavailable: {reason}"))]
    OrderUnavailable {
        /// Why orders are unavailable, as text.
        reason: String,
    },
    /// No response was received. It is unknown whether the order was applied. Retrying it is safe.
    #[snafu(display("no response to a target order: {reason}"))]
    OrderAnswerLost {
        /// Why no response was received, as text.
        reason: String,
    },
}

impl OrderError {
    /// Whether the order or release may have been applied.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::OrderAnswerLost { .. })
    }
}

/// API for ordering targets by availability zone and kind.
#[async_trait]
pub trait TargetOrders: Send + Sync {
    /// Orders one target. Repeating the same order is idempotent.
    async fn order(&self, order: &TargetOrder) -> Result<OrderedTarget, OrderError>;

    /// Releases a target. It causes no further cost.
    async fn release(&self, target: &TargetId, fencing: FencingNumber) -> Result<(), OrderError>;

    /// Returns all targets that are ordered and neither released nor removed by the platform, sorted by id.
    async fn targets(&self) -> Result<Vec<OrderedTarget>, ReadError>;
}
