//! Ordering and releasing targets.

use std::net::SocketAddr;

use async_trait::async_trait;
use jm_types::{FencingNumber, ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ReadError;

/// How a target is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Stays until it is released.
    Regular,
    /// Costs less and can be reclaimed, a whole availability zone at once, at a few seconds' notice.
    Cheap,
}

/// State of an ordered target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Running.
    Live,
    /// Reclaimed by the platform; it stops within seconds and must get no new work.
    Leaving,
}

/// An order for one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Chosen by the caller. An order that is sent again with the same id yields the same target, so an order whose
    /// answer was lost can be repeated.
    pub order_id: String,
    /// The service that the target will run.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Regular or cheap.
    pub kind: TargetKind,
    /// Fencing number of the lease that the caller holds.
    pub fencing: FencingNumber,
}

/// A target that was ordered and not yet released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedTarget {
    /// The target's id, given by the platform.
    pub id: TargetId,
    /// The order that it came from.
    pub order_id: String,
    /// The service that it runs.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Regular or cheap.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: TargetState,
}

/// Why an order or a release was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
#[snafu(visibility(pub(crate)))]
pub enum OrderError {
    /// The platform has seen a newer fencing number; nothing was changed.
    #[snafu(display("the fencing number is older than {newest}"))]
    StaleFencing {
        /// The newest number that the platform has seen.
        newest: FencingNumber,
    },
    /// The zone has no target of this kind at the moment; nothing was changed.
    #[snafu(display("the zone has no target of this kind at the moment"))]
    NoCapacity,
    /// No such target is ordered; nothing was changed.
    #[snafu(display("the target is not ordered"))]
    UnknownTarget,
    /// The order id was used before for another service, zone or kind; nothing was changed.
    #[snafu(display("the order id was used before for another order"))]
    OrderIdReused,
    /// The platform cannot be reached or refuses to work; nothing was changed.
    #[snafu(display("target orders are not available: {reason}"))]
    OrderUnavailable {
        /// The cause.
        reason: String,
    },
    /// No answer came; whether the order took effect is not known. Repeating it is safe.
    #[snafu(display("the answer to a target order was lost: {reason}"))]
    OrderAnswerLost {
        /// The cause.
        reason: String,
    },
}

impl OrderError {
    /// Whether the order may have taken effect.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::OrderAnswerLost { .. })
    }
}

/// Ordering of targets by availability zone and kind.
#[async_trait]
pub trait TargetOrders: Send + Sync {
    /// Orders one target.
    async fn order(&self, order: &TargetOrder) -> Result<OrderedTarget, OrderError>;

    /// Releases a target; its cost ends.
    async fn release(&self, target: &TargetId, fencing: FencingNumber) -> Result<(), OrderError>;

    /// All targets that are ordered and not yet released or gone, in the order of their ids.
    async fn targets(&self) -> Result<Vec<OrderedTarget>, ReadError>;
}
