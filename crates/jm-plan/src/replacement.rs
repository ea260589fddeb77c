//! How many targets of a service are kept: lost ones are ordered again, and more are ordered while steps are late.
//!
//! Load patterns:
//!
//! * Targets crash for good or are taken away, one or a whole availability zone, and nothing brings others. Each loss makes
//!   every later step slower. Targets that crash and return, and lists with gaps after an outage, look the same for some
//!   seconds, and each order costs a target's price until it is given back; so only what stays missing is ordered.
//! * Steps come close to the time at which they are due, again and again, because their items share too few engines. Each
//!   engine generates more slowly the more text it holds, so the longest texts of a step end sooner on more engines.

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
    /// Part of the usual number that is added while steps are late, in percent.
    pub growth_percent: usize,
    /// Largest number, as a part of the usual one in percent.
    pub most_percent: usize,
    /// Time after a growth before the next one. The steps that showed the need run on for some seconds.
    pub growth_pause_ms: DurationMs,
    /// Time without a late step after which what was added is given back.
    pub give_back_ms: DurationMs,
}

impl Default for ReplacementOptions {
    fn default() -> Self {
        Self {
            missing_ms: DurationMs::new(4_000),
            settle_ms: DurationMs::new(10_000),
            repeat_ms: DurationMs::new(4_000),
            growth_percent: 50,
            most_percent: 200,
            growth_pause_ms: DurationMs::new(20_000),
            give_back_ms: DurationMs::new(600_000),
        }
    }
}

/// A service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Place {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// Targets of one place that are to be kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedTargets {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// Their number.
    pub count: usize,
    /// The usual number, without what was added for late steps.
    pub usual: usize,
}

/// What is seen of one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Targets that are listed as serving.
    pub serving: usize,
    /// Whether a step that needs the service is late or nearly so.
    pub is_pressed: bool,
    /// Largest number that may be ordered.
    pub max: usize,
    /// Time that a new target takes until it serves.
    pub start_ms: DurationMs,
}

#[derive(Debug, Clone, Copy, Default)]
struct PlaceState {
    usual: usize,
    wanted: usize,
    missing_since: Option<Timestamp>,
    more_since: Option<Timestamp>,
    /// When a late step was last seen, or what was added first.
    pressed_at: Timestamp,
    /// No growth before.
    grows_after: Timestamp,
    /// No repeated order before.
    rests_until: Timestamp,
    /// The wanted number changed and was not ordered yet.
    is_changed: bool,
}

/// The places of all services that may be ordered.
#[derive(Debug)]
pub struct Replacement {
    options: ReplacementOptions,
    places: IndexMap<Place, PlaceState>,
}

impl Replacement {
    /// Keeps the numbers that an earlier holder of the duty saved.
    pub fn new(options: ReplacementOptions, saved: Vec<WantedTargets>) -> Self {
        let places = saved.into_iter().map(|saved| {
            let place = Place {
                service: saved.service,
                zone: saved.zone,
            };
            let state = PlaceState {
                usual: saved.usual,
                wanted: saved.count,
                ..PlaceState::default()
            };
            (place, state)
        });
        Self {
            options,
            places: places.collect(),
        }
    }

    /// The numbers to keep, to be saved whenever they changed.
    pub fn wanted(&self) -> Vec<WantedTargets> {
        let wanted = self.places.iter().filter(|(_, state)| state.wanted > 0);
        wanted
            .map(|(place, state)| WantedTargets {
                service: place.service.clone(),
                zone: place.zone.clone(),
                count: state.wanted,
                usual: state.usual,
            })
            .collect()
    }

    /// The orders to give now. Places that `seen` leaves out have no targets or may not be ordered.
    pub fn next(&mut self, seen: &IndexMap<Place, Seen>, now: Timestamp) -> Vec<WantedTargets> {
        let mut orders = Vec::new();
        for (place, seen) in seen {
            let state = self.places.entry(place.clone()).or_default();
            state.look(seen, &self.options, now);
            if state.is_due(seen, &self.options, now) {
                state.rests_until = now.after(seen.start_ms).after(self.options.repeat_ms);
                state.is_changed = false;
                orders.push(WantedTargets {
                    service: place.service.clone(),
                    zone: place.zone.clone(),
                    count: state.wanted.min(seen.max),
                    usual: state.usual,
                });
            }
        }
        orders
    }
}

impl PlaceState {
    fn look(&mut self, seen: &Seen, options: &ReplacementOptions, now: Timestamp) {
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
            self.usual = self.wanted;
            self.more_since = None;
        }
        if seen.is_pressed {
            self.pressed_at = now;
            self.grow(seen, options, now);
        } else if self.wanted > self.usual && now.since(self.pressed_at) >= options.give_back_ms {
            self.wanted = self.usual;
            self.is_changed = true;
        }
    }

    fn grow(&mut self, seen: &Seen, options: &ReplacementOptions, now: Timestamp) {
        let part = |percent: usize| (self.usual * percent).div_ceil(100);
        let most = part(options.most_percent).min(seen.max);
        if now < self.grows_after || self.wanted >= most {
            return;
        }
        self.wanted = most.min(self.wanted + part(options.growth_percent));
        self.grows_after = now.after(options.growth_pause_ms);
        self.is_changed = true;
    }

    fn is_due(&self, seen: &Seen, options: &ReplacementOptions, now: Timestamp) -> bool {
        let is_missing = self
            .missing_since
            .is_some_and(|since| now.since(since) >= options.missing_ms);
        let is_short = is_missing && seen.serving < seen.max && now >= self.rests_until;
        self.is_changed || is_short
    }
}
