//! What zones offer and what is owned.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use jm_types::{DurationMs, ServiceId, Timestamp, ZoneId};

use crate::DemandState;

/// How a target is bought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Tier {
    /// Kept until it is given back.
    Regular,
    /// Cheaper; the platform may reclaim all of a zone at a few seconds' notice.
    Cheap,
}

impl Tier {
    /// Both tiers.
    pub const ALL: [Self; 2] = [Self::Regular, Self::Cheap];
}

/// What a zone offers of one tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Price of one target, in millionths of the currency an hour.
    pub price_micros: u64,
    /// Most targets that may be owned, over all services.
    pub limit: u32,
    /// Whether new targets can be ordered now. Owned ones are kept in any case.
    pub available: bool,
}

/// What a zone offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOffer {
    /// The zone.
    pub zone: ZoneId,
    /// Regular targets.
    pub regular: Offer,
    /// Cheap targets.
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

/// Numbers of targets by service, zone and tier; a missing entry is zero.
pub type Counts = BTreeMap<(ServiceId, ZoneId, Tier), u32>;

/// Settings of the capacity plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanOptions {
    /// Time for which demand must stay low before targets are given back.
    pub scale_down_delay: DurationMs,
    /// A new plan is made for this part of the demand, in thousandths, so that noise does not exceed it at once.
    pub margin_per_thousand: u64,
    /// Demand must fall below this part of the planned demand, in thousandths, before a smaller plan is made.
    pub scale_down_per_thousand: u64,
    /// Time after growth for which nothing is given back or exchanged.
    pub scale_up_cooldown: DurationMs,
    /// Saving, in thousandths, for which owned targets are exchanged for cheaper ones.
    pub min_saving_per_thousand: u64,
    /// Time for which no cheap targets are ordered in a zone after they were unavailable there.
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

/// What the plan remembers between two calls. It may be lost: the next plan is then made from current demand.
#[derive(Debug, Clone, Default)]
pub struct PlanState {
    /// Planned demand by service.
    pub demand: IndexMap<ServiceId, DemandState>,
    /// When cheap targets were last unavailable, by zone.
    pub unavailable: IndexMap<ZoneId, Timestamp>,
    /// When targets were last added.
    pub last_growth: Option<Timestamp>,
}
