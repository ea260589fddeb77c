//! Demand, offers and plan input for the tests of the capacity plan.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use jm_plan::{Counts, Offer, PlanInput, PlanOptions, PlanState, ServiceDemand, Tier, ZoneOffer};
use jm_types::{Rate, ServiceId, Timestamp, ZoneId};

pub(crate) fn service(number: usize) -> ServiceId {
    ServiceId::new(format!("service-{number}")).unwrap()
}

pub(crate) fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).unwrap()
}

pub(crate) fn demand(number: usize, live: f64, training: f64) -> ServiceDemand {
    ServiceDemand {
        service: service(number),
        live: Rate::new(live),
        training: Rate::new(training),
        per_target: Rate::new(1.0),
    }
}

pub(crate) fn offer(number: usize, regular: (u64, u32), cheap: (u64, u32)) -> ZoneOffer {
    let tier = |(price_micros, limit)| Offer {
        price_micros,
        limit,
        available: true,
    };
    ZoneOffer {
        zone: zone(number),
        regular: tier(regular),
        cheap: tier(cheap),
    }
}

/// Options without a margin, so that exactly the given demand is planned.
pub(crate) fn exact() -> PlanOptions {
    PlanOptions {
        margin_per_thousand: 1_000,
        ..PlanOptions::default()
    }
}

pub(crate) fn input<'a>(
    services: &'a [ServiceDemand],
    zones: &'a [ZoneOffer],
    current: &'a Counts,
) -> PlanInput<'a> {
    PlanInput {
        services,
        zones,
        current,
        state: PlanState::default(),
        now: Timestamp::new(0),
        options: exact(),
    }
}

/// Number of a service's targets that remain after the loss of the cheap targets of the zone that has most of them.
pub(crate) fn survivors(counts: &Counts, service: &ServiceId) -> u32 {
    let own = || counts.iter().filter(|((id, _, _), _)| id == service);
    let total: u32 = own().map(|(_, count)| count).sum();
    let cheap = own().filter(|((_, _, tier), _)| *tier == Tier::Cheap);
    total - cheap.map(|(_, count)| *count).max().unwrap_or(0)
}

pub(crate) fn total(counts: &Counts, service: &ServiceId) -> u32 {
    counts
        .iter()
        .filter(|((id, _, _), _)| id == service)
        .map(|(_, count)| count)
        .sum()
}
