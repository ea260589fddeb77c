//! Which lost targets are ordered again.
//!
//! Load pattern: targets crash for good or are taken away, one or a whole availability zone, and nothing brings others.
//! Each loss makes every later step slower. Targets that crash and return, and lists with gaps after an outage, look the
//! same for some seconds, and each order costs a target's price until it is given back; so only what stays missing is
//! ordered, and no more than there was before.

use indexmap::IndexMap;
use jm_types::{DurationMs, ServiceId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Settings of the replacement.
#[derive(Debug, Clone, Copy)]
pub struct ReplacementOptions {
    /// Time for which targets are missing before they are ordered.
    pub missing_ms: DurationMs,
    /// Time for which more targets than before are listed until they count as wanted. Longer than a rolling replacement,
    /// which starts each new target before the old one leaves.
    pub settle_ms: DurationMs,
    /// Time after an order before the next one for the same place, beside the time that a target takes to start.
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
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// Targets of one place that are to be kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredTargets {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Their number.
    pub count: usize,
}

/// What is seen of one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedTargets {
    /// Targets that are listed as serving.
    pub serving: usize,
    /// Largest number that may be ordered.
    pub max: usize,
    /// Time that a new target takes until it serves.
    pub start_ms: DurationMs,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceZoneState {
    wanted: usize,
    missing_since: Option<Timestamp>,
    more_since: Option<Timestamp>,
    /// No order before.
    rests_until: Timestamp,
}

/// The places of all services that may be ordered.
#[derive(Debug)]
pub struct Replacement {
    options: ReplacementOptions,
    places: IndexMap<ServiceZone, ServiceZoneState>,
}

impl Replacement {
    /// Keeps the numbers that an earlier holder of the duty saved.
    pub fn new(options: ReplacementOptions, saved: Vec<DesiredTargets>) -> Self {
        let places = saved.into_iter().map(|saved| {
            let place = ServiceZone {
                service: saved.service,
                zone: saved.zone,
            };
            let state = ServiceZoneState {
                wanted: saved.count,
                ..ServiceZoneState::default()
            };
            (place, state)
        });
        Self {
            options,
            places: places.collect(),
        }
    }

    /// The numbers to keep, to be saved whenever they changed.
    pub fn desired(&self) -> Vec<DesiredTargets> {
        let wanted = self.places.iter().filter(|(_, state)| state.wanted > 0);
        wanted
            .map(|(place, state)| DesiredTargets {
                service: place.service.clone(),
                zone: place.zone.clone(),
                count: state.wanted,
            })
            .collect()
    }

    /// The orders to give now. Places that `seen` leaves out have no targets or may not be ordered.
    pub fn next_orders(
        &mut self,
        seen: &IndexMap<ServiceZone, ObservedTargets>,
        now: Timestamp,
    ) -> Vec<DesiredTargets> {
        let mut orders = Vec::new();
        for (place, seen) in seen {
            let state = self.places.entry(place.clone()).or_default();
            state.look(seen, &self.options, now);
            if state.is_due(seen, &self.options, now) {
                state.rests_until = now.after(seen.start_ms).after(self.options.repeat_ms);
                orders.push(DesiredTargets {
                    service: place.service.clone(),
                    zone: place.zone.clone(),
                    count: state.wanted.min(seen.max),
                });
            }
        }
        orders
    }
}

impl ServiceZoneState {
    fn look(&mut self, seen: &ObservedTargets, options: &ReplacementOptions, now: Timestamp) {
        self.missing_since = match seen.serving < self.wanted {
            true => self.missing_since.or(Some(now)),
            false => None,
        };
        self.more_since = match seen.serving > self.wanted {
            true => self.more_since.or(Some(now)),
            false => None,
        };
        let has_settled = |since: Timestamp| now.since(since) >= options.settle_ms;
        if self.more_since.is_some_and(has_settled) {
            self.wanted = seen.serving.min(seen.max);
            self.more_since = None;
        }
    }

    fn is_due(&self, seen: &ObservedTargets, options: &ReplacementOptions, now: Timestamp) -> bool {
        let is_missing = self
            .missing_since
            .is_some_and(|since| now.since(since) >= options.missing_ms);
        is_missing && seen.serving < seen.max && now >= self.rests_until
    }
}
