//! Replacement of lost targets.
//!
//! Load pattern: targets crash permanently or are withdrawn, one or a whole availability zone at a time, and are not
//! replaced by the platform. Each loss slows down all later steps. For some seconds, a permanent loss cannot be
//! distinguished from a target that restarts or from an incomplete list after an outage. Each order costs the price of
//! a target until the target is released. Therefore only targets that stay missing are ordered, and never more than
//! there were before.

use indexmap::IndexMap;
use jm_types::{DurationMs, ServiceId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Settings of the replacement.
#[derive(Debug, Clone, Copy)]
pub struct ReplacementOptions {
    /// Time for which targets must be missing before they are ordered.
    pub missing_ms: DurationMs,
    /// Time for which additional targets must be listed before the desired number is raised to include them. Must be
    /// longer than the overlap in a rolling replacement, which starts each new target before the old one exits.
    pub settle_ms: DurationMs,
    /// Time between two orders for the same service and zone, in addition to the start time of a target.
    pub repeat_ms: DurationMs,
}

impl Default for ReplacementOptions {
    fn default() -> Self {
        Self {
            missing_ms: DurationMs::new(4_000),
            settle_ms: DurationMs::new(10_000),
            repeat_ms: DurationMs::new(4_000),
        }
    }
}

/// A service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServiceZone {
    /// Service that the targets belong to.
    pub service: ServiceId,
    /// Availability zone of the targets.
    pub zone: ZoneId,
}

/// Desired number of targets of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredTargets {
    /// Service that the targets belong to.
    pub service: ServiceId,
    /// Availability zone of the targets.
    pub zone: ZoneId,
    /// Desired number of targets.
    pub count: usize,
}

/// Observed targets of a service in an availability zone, with the limits for orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedTargets {
    /// Number of targets that are listed as serving.
    pub serving: usize,
    /// Maximum number of targets that may be ordered in the zone.
    pub max: usize,
    /// Time from the order of a target until it serves.
    pub start_ms: DurationMs,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceZoneState {
    desired: usize,
    missing_since: Option<Timestamp>,
    surplus_since: Option<Timestamp>,
    /// Earliest time of the next order.
    next_order_at: Timestamp,
}

/// Tracks desired and missing targets of all services that may be ordered, by availability zone.
#[derive(Debug)]
pub struct Replacement {
    options: ReplacementOptions,
    service_zones: IndexMap<ServiceZone, ServiceZoneState>,
}

impl Replacement {
    /// Starts with the desired numbers that an earlier holder of the duty saved. `saved` is empty if there are none.
    pub fn new(options: ReplacementOptions, saved: Vec<DesiredTargets>) -> Self {
        let service_zones = saved.into_iter().map(|saved| {
            let service_zone = ServiceZone {
                service: saved.service,
                zone: saved.zone,
            };
            let state = ServiceZoneState {
                desired: saved.count,
                ..ServiceZoneState::default()
            };
            (service_zone, state)
        });
        Self {
            options,
            service_zones: service_zones.collect(),
        }
    }

    /// Desired numbers of targets, to be saved whenever they change. Zones without desired targets are left out.
    pub fn desired(&self) -> Vec<DesiredTargets> {
        let desired = self.service_zones.iter().filter(|(_, state)| state.desired > 0);
        desired
            .map(|(service_zone, state)| DesiredTargets {
                service: service_zone.service.clone(),
                zone: service_zone.zone.clone(),
                count: state.desired,
            })
            .collect()
    }

    /// Returns the orders to send now; each states the total number of targets to run. Services and zones missing in
    /// `observed` are skipped: they have no targets or may not be ordered.
    pub fn next_orders(
        &mut self,
        observed: &IndexMap<ServiceZone, ObservedTargets>,
        now: Timestamp,
    ) -> Vec<DesiredTargets> {
        let mut orders = Vec::new();
        for (service_zone, observed) in observed {
            let state = self.service_zones.entry(service_zone.clone()).or_default();
            state.observe(observed, &self.options, now);
            if state.is_due(observed, &self.options, now) {
                state.next_order_at = now.after(observed.start_ms).after(self.options.repeat_ms);
                orders.push(DesiredTargets {
                    service: service_zone.service.clone(),
                    zone: service_zone.zone.clone(),
                    count: state.desired.min(observed.max),
                });
            }
        }
        orders
    }
}

impl ServiceZoneState {
    fn observe(&mut self, observed: &ObservedTargets, options: &ReplacementOptions, now: Timestamp) {
        self.missing_since = match observed.serving < self.desired {
            true => self.missing_since.or(Some(now)),
            false => None,
        };
        self.surplus_since = match observed.serving > self.desired {
            true => self.surplus_since.or(Some(now)),
            false => None,
        };
        let has_settled = |since: Timestamp| now.since(since) >= options.settle_ms;
        if self.surplus_since.is_some_and(has_settled) {
            self.desired = observed.serving.min(observed.max);
            self.surplus_since = None;
        }
    }

    fn is_due(&self, observed: &ObservedTargets, options: &ReplacementOptions, now: Timestamp) -> bool {
        let is_missing = self
            .missing_since
            .is_some_and(|since| now.since(since) >= options.missing_ms);
        is_missing && observed.serving < observed.max && now >= self.next_order_at
    }
}
