//! Desired numbers of targets of a service by zone and kind.

use std::collections::BTreeMap;

use jm_config::Capacity;
use jm_plan::{
    Counts, Offer, PlanInput, PlanOptions, PlanState, ServiceDemand, Tier, ZoneOffer, plan_capacity,
};
use jm_platform::TargetKind;
use jm_types::{Timestamp, ZoneId};

/// Prices per hour in millionths of the currency. The configuration contains no prices. Only the order of these two
/// matters, because targets of one kind cost the same in every zone.
const REGULAR_PRICE_MICROS: u64 = 1_000_000;
const CHEAP_PRICE_MICROS: u64 = 300_000;

/// Numbers of targets by zone and kind. A missing entry means 0.
pub(super) type TargetCounts = BTreeMap<(ZoneId, Tier), u32>;

/// Inputs of the capacity plan of a service.
pub(super) struct ServicePlan<'a> {
    pub(super) capacity: &'a Capacity,
    pub(super) demand: ServiceDemand,
    /// All zones of the configuration.
    pub(super) zones: &'a [ZoneId],
    /// Targets of the service that get new work.
    pub(super) current: &'a TargetCounts,
    /// The subset of `current` that is named in the configuration and never released.
    pub(super) configured: &'a TargetCounts,
    /// Returns whether new targets of a kind can be ordered in a zone now.
    pub(super) can_order: &'a dyn Fn(&ZoneId, Tier) -> bool,
    pub(super) now: Timestamp,
}

impl ServicePlan<'_> {
    /// Returns the desired numbers, and the number of targets that are still missing with them.
    pub(super) fn desired(&self, state: &mut PlanState) -> (TargetCounts, u32) {
        let limits: TargetCounts = Tier::ALL.into_iter().flat_map(|tier| self.limits(tier)).collect();
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
        let mut desired: TargetCounts = targets
            .map(|((_, zone, tier), count)| ((zone, tier), count))
            .collect();
        for tier in Tier::ALL {
            self.raise_to_min(tier, &limits, &mut desired);
        }
        let missing = plan.shortfalls.iter().map(|shortfall| shortfall.total).sum();
        (desired, missing)
    }

    fn configured_range(&self, tier: Tier) -> (u32, u32) {
        let (min, max) = match tier {
            Tier::Regular => (self.capacity.regular_min, self.capacity.regular_max),
            Tier::Cheap => (self.capacity.cheap_min, self.capacity.cheap_max),
        };
        let saturating = |bound| u32::try_from(bound).unwrap_or(u32::MAX);
        (saturating(min), saturating(max))
    }

    /// Spreads the maximum number of targets of a kind over the zones, so that the loss of any zone removes about the
    /// same number. Targets named in the configuration count in their own zone.
    fn limits(&self, tier: Tier) -> TargetCounts {
        let mut limits: Vec<u32> = self
            .zones
            .iter()
            .map(|zone| target_count(self.configured, zone, tier))
            .collect();
        let (_, max) = self.configured_range(tier);
        let mut left = max.saturating_sub(limits.iter().sum());
        while left > 0 && !limits.is_empty() {
            let lowest = limits.iter_mut().min_by_key(|limit| **limit);
            *lowest.expect("the list is not empty") += 1;
            left -= 1;
        }
        let pairs = self.zones.iter().zip(limits);
        pairs.map(|(zone, limit)| ((zone.clone(), tier), limit)).collect()
    }

    fn offers(&self, limits: &TargetCounts) -> Vec<ZoneOffer> {
        let offer = |zone: &ZoneId, tier, price_micros| Offer {
            price_micros,
            limit: target_count(limits, zone, tier),
            available: (self.can_order)(zone, tier),
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

    /// Adds targets in the zones that have the fewest until the configured minimum is reached.
    fn raise_to_min(&self, tier: Tier, limits: &TargetCounts, desired: &mut TargetCounts) {
        let (min, _) = self.configured_range(tier);
        loop {
            let total: u32 = self
                .zones
                .iter()
                .map(|zone| target_count(desired, zone, tier))
                .sum();
            let has_capacity = |zone: &&ZoneId| {
                let desired = target_count(desired, zone, tier);
                let current = target_count(self.current, zone, tier);
                desired < target_count(limits, zone, tier)
                    && (desired < current || (self.can_order)(zone, tier))
            };
            let lowest = self
                .zones
                .iter()
                .filter(has_capacity)
                .min_by_key(|zone| target_count(desired, zone, tier));
            let Some(zone) = lowest.filter(|_| total < min) else {
                return;
            };
            *desired.entry((zone.clone(), tier)).or_default() += 1;
        }
    }
}

/// Returns the number for a zone and kind, 0 if it is missing.
pub(super) fn target_count(numbers: &TargetCounts, zone: &ZoneId, tier: Tier) -> u32 {
    numbers.get(&(zone.clone(), tier)).copied().unwrap_or(0)
}

/// Converts a tier of the plan to the kind of the platform API.
pub(super) const fn platform_kind(tier: Tier) -> TargetKind {
    match tier {
        Tier::Regular => TargetKind::Regular,
        Tier::Cheap => TargetKind::Cheap,
    }
}

/// Converts a kind of the platform API to the tier of the plan.
pub(super) const fn tier_of(kind: TargetKind) -> Tier {
    match kind {
        TargetKind::Regular => Tier::Regular,
        TargetKind::Cheap => Tier::Cheap,
    }
}
