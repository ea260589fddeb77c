//! Offers of zones, current targets, and settings and state of the capacity plan.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use jm_types::{DurationMs, ServiceId, Timestamp, ZoneId};

use crate::DemandState;

/// Pricing tier of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Tier {
    /// Runs until it is released.
    Regular,
    /// Cheaper, but the platform may reclaim all such targets of a zone at a few seconds' notice.
    Cheap,
}

impl Tier {
    /// Both tiers, in the order of their discriminants.
    pub const ALL: [Self; 2] = [Self::Regular, Self::Cheap];
}

/// Offer of one tier in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Price of one target per hour, in millionths of the currency.
    pub price_micros: u64,
    /// Maximum number of targets, over all services.
    pub limit: u32,
    /// Whether new targets can be ordered now. Current targets keep running in any case.
    pub available: bool,
}

/// Offers of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOffer {
    /// Zone that makes the offers.
    pub zone: ZoneId,
    /// Offer of the regular tier.
    pub regular: Offer,
    /// Offer of the cheap tier.
    pub cheap: Offer,
}

impl ZoneOffer {
    pub(crate) const fn tier(&self, tier: Tier) -> &Offer {
        match tier {
            Tier::Regular => &self.regular,
            Tier::Cheap => &self.cheap,
        }
    }
}

/// Number of targets by service, zone and tier. A missing entry counts as zero.
pub type Counts = BTreeMap<(ServiceId, ZoneId, Tier), u32>;

/// Settings of the capacity plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanOptions {
    /// Time for which demand must stay low before targets are released.
    pub scale_down_delay: DurationMs,
    /// Capacity of a new plan relative to the demand, in thousandths. The margin keeps noise from exceeding the plan at
    /// once.
    pub margin_per_thousand: u64,
    /// Share of the planned demand, in thousandths, below which demand must fall before a smaller plan is made.
    pub scale_down_per_thousand: u64,
    /// Time after targets were added during which none is released or exchanged.
    pub scale_up_cooldown: DurationMs,
    /// Minimum saving, in thousandths, for which current targets are exchanged for cheaper ones.
    pub min_saving_per_thousand: u64,
    /// Time after cheap targets were unavailable in a zone during which none is ordered there.
    pub unavailable_cooldown: DurationMs,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self {
            scale_down_delay: DurationMs::new(600_000),
            margin_per_thousand: 1_100,
            scale_down_per_thousand: 700,
            scale_up_cooldown: DurationMs::new(1_800_000),
            min_saving_per_thousand: 50,
            unavailable_cooldown: DurationMs::new(600_000),
        }
    }
}

/// State of the capacity plan between two calls. If it is lost, the next plan is made from current demand only.
#[derive(Debug, Clone, Default)]
pub struct PlanState {
    /// Demand history and planned demand of each service.
    pub demand: IndexMap<ServiceId, DemandState>,
    /// Last time at which cheap targets were unavailable, by zone.
    pub unavailable: IndexMap<ZoneId, Timestamp>,
    /// Last time at which targets were added. `None` before the first order.
    pub last_growth: Option<Timestamp>,
}
