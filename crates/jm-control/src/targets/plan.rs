//! Numbers of targets by zone and kind that a service should have.

use std::collections::BTreeMap;

use jm_config::Capacity;
use jm_plan::{
    Counts, Offer, PlanInput, PlanOptions, PlanState, ServiceDemand, Tier, ZoneOffer, plan_capacity,
};
use jm_platform::TargetKind;
use jm_types::{Timestamp, ZoneId};

/// Prices in millionths of the currency an hour. The configuration has no prices; only their order matters, because
/// each target of a kind costs the same in every zone.
const REGULAR_PRICE_MICROS: u64 = 1_000_000;
const CHEAP_PRICE_MICROS: u64 = 300_000;

/// Numbers of targets by zone and kind; a missing entry is zero.
pub(super) type Numbers = BTreeMap<(ZoneId, Tier), u32>;

/// What the plan of one service is made from.
pub(super) struct ServicePlan<'a> {
    pub(super) capacity: &'a Capacity,
    pub(super) demand: ServiceDemand,
    /// All zones of the configuration.
    pub(super) zones: &'a [ZoneId],
    /// Targets of the service that take new work.
    pub(super) current: &'a Numbers,
    /// Those of them that the configuration names, which are not given back.
    pub(super) configured: &'a Numbers,
    /// Whether new targets can be ordered now.
    pub(super) is_open: &'a dyn Fn(&ZoneId, Tier) -> bool,
    pub(super) now: Timestamp,
}

impl ServicePlan<'_> {
    /// The wanted numbers, and how many targets are missing after them.
    pub(super) fn wanted(&self, state: &mut PlanState) -> (Numbers, u32) {
        let limits: Numbers = Tier::ALL.into_iter().flat_map(|tier| self.limits(tier)).collect();
        let plan = plan_capacity(PlanInput {
            services: std::slice::from_ref(&self.demand),
            zones: &self.offers(&limits),
            current: &self.counts(),
            state: std::mem::take(state),
            now: self.now,
            options: PlanOptions::default(),
        });
        *state = plan.state;
        let targets = plan.targets.into_iter();
        let mut wanted: Numbers = targets
            .map(|((_, zone, tier), count)| ((zone, tier), count))
            .collect();
        for tier in Tier::ALL {
            self.raise_to_least(tier, &limits, &mut wanted);
        }
        let missing = plan.shortfalls.iter().map(|shortfall| shortfall.total).sum();
        (wanted, missing)
    }

    fn bounds(&self, tier: Tier) -> (u32, u32) {
        let (least, most) = match tier {
            Tier::Regular => (self.capacity.regular_min, self.capacity.regular_max),
            Tier::Cheap => (self.capacity.cheap_min, self.capacity.cheap_max),
        };
        let number = |bound| u32::try_from(bound).unwrap_or(u32::MAX);
        (number(least), number(most))
    }

    /// Spreads the most targets of a kind over the zones, so that the loss of a zone costs about the same everywhere.
    /// What the configuration names counts in its own zone.
    fn limits(&self, tier: Tier) -> Numbers {
        let mut limits: Vec<u32> = self
            .zones
            .iter()
            .map(|zone| number(self.configured, zone, tier))
            .collect();
        let (_, most) = self.bounds(tier);
        let mut left = most.saturating_sub(limits.iter().sum());
        while left > 0 && !limits.is_empty() {
            let lowest = limits.iter_mut().min_by_key(|limit| **limit);
            *lowest.expect("the list is not empty") += 1;
            left -= 1;
        }
        let pairs = self.zones.iter().zip(limits);
        pairs.map(|(zone, limit)| ((zone.clone(), tier), limit)).collect()
    }

    fn offers(&self, limits: &Numbers) -> Vec<ZoneOffer> {
        let offer = |zone: &ZoneId, tier, price_micros| Offer {
            price_micros,
            limit: number(limits, zone, tier),
            available: (self.is_open)(zone, tier),
        };
        self.zones
            .iter()
            .map(|zone| ZoneOffer {
                zone: zone.clone(),
                regular: offer(zone, Tier::Regular, REGULAR_PRICE_MICROS),
                cheap: offer(zone, Tier::Cheap, CHEAP_PRICE_MICROS),
            })
            .collect()
    }

    fn counts(&self) -> Counts {
        let service = &self.demand.service;
        self.current
            .iter()
            .map(|((zone, tier), count)| ((service.clone(), zone.clone(), *tier), *count))
            .collect()
    }

    /// Adds targets in the zones that have fewest until the configured least number is reached.
    fn raise_to_least(&self, tier: Tier, limits: &Numbers, wanted: &mut Numbers) {
        let (least, _) = self.bounds(tier);
        loop {
            let total: u32 = self.zones.iter().map(|zone| number(wanted, zone, tier)).sum();
            let has_room = |zone: &&ZoneId| {
                let wanted = number(wanted, zone, tier);
                let owned = number(self.current, zone, tier);
                wanted < number(limits, zone, tier) && (wanted < owned || (self.is_open)(zone, tier))
            };
            let lowest = self
                .zones
                .iter()
                .filter(has_room)
                .min_by_key(|zone| number(wanted, zone, tier));
            let Some(zone) = lowest.filter(|_| total < least) else {
                return;
            };
            *wanted.entry((zone.clone(), tier)).or_default() += 1;
        }
    }
}

/// The number for a zone and kind.
pub(super) fn number(numbers: &Numbers, zone: &ZoneId, tier: Tier) -> u32 {
    numbers.get(&(zone.clone(), tier)).copied().unwrap_or(0)
}

/// The kind as the platform names it.
pub(super) const fn platform_kind(tier: Tier) -> TargetKind {
    match tier {
        Tier::Regular => TargetKind::Regular,
        Tier::Cheap => TargetKind::Cheap,
    }
}

/// The kind as the plan names it.
pub(super) const fn tier_of(kind: TargetKind) -> Tier {
    match kind {
        TargetKind::Regular => Tier::Regular,
        TargetKind::Cheap => Tier::Cheap,
    }
}
