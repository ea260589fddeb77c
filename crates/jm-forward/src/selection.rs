//! Target selection by least expected waiting time.
//!
//! Load pattern: a few targets of different speed, some of which become slow or stop responding while they are still
//! listed. Balancing by request count alone sends as many requests to a slow target as to a fast one. Balancing by
//! expected waiting time does not.

use indexmap::IndexMap;
use jm_types::{DurationMs, Timestamp, ZoneId};

use crate::{RunKey, Target};

/// Settings of target selection.
#[derive(Debug, Clone, Copy)]
pub struct SelectionOptions {
    /// Response time in milliseconds that is assumed for a target without a measured one.
    pub initial_answer_ms: u64,
    /// Time after a failed request during which a target is selected only if no other one is available.
    pub avoid_failed_ms: DurationMs,
    /// Time after a rejected request during which a target is selected only if no other one is available.
    pub avoid_full_ms: DurationMs,
}

impl Default for SelectionOptions {
    fn default() -> Self {
        Self {
            initial_answer_ms: 25,
            avoid_failed_ms: DurationMs::new(1_000),
            avoid_full_ms: DurationMs::new(50),
        }
    }
}

/// Weight of the newest sample in the moving average of the response time.
const ANSWER_TIME_GAIN: f64 = 0.2;

/// Factor on the expected waiting time of a target in the local zone. It is just low enough to decide between otherwise
/// equal targets.
const LOCAL_ZONE_FACTOR: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct Load {
    in_flight: usize,
    answer_ms: f64,
    avoid_until: Timestamp,
}

/// Requests in flight and response times of targets, as observed by this host.
#[derive(Debug, Default)]
pub struct TargetLoads {
    options: SelectionOptions,
    loads: IndexMap<RunKey, Load>,
}

impl TargetLoads {
    /// Creates an empty record: every target starts with the initial response time.
    pub fn new(options: SelectionOptions) -> Self {
        Self {
            options,
            loads: IndexMap::new(),
        }
    }

    /// Selects the target with the least expected waiting time and counts a request in flight on it. Targets in `tried`
    /// are excluded. Targets that failed or rejected a request recently are selected only if there is no other one.
    /// `None` if no target is left.
    pub fn choose<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Target>,
        tried: &[RunKey],
        own_zone: &ZoneId,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let candidates = targets.filter(|target| !tried.contains(&target.run));
        let chosen = candidates.min_by(|a, b| {
            let (a, b) = (self.cost(a, own_zone, now), self.cost(b, own_zone, now));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        self.load(&chosen.run).in_flight += 1;
        Some(chosen)
    }

    fn cost(&self, target: &Target, own_zone: &ZoneId, now: Timestamp) -> (bool, f64) {
        let load = self
            .loads
            .get(&target.run)
            .copied()
            .unwrap_or(self.initial_load());
        let zone_factor = if target.zone == *own_zone {
            LOCAL_ZONE_FACTOR
        } else {
            1.0
        };
        let waiting_ms = (load.in_flight + 1) as f64 * load.answer_ms * zone_factor;
        (now < load.avoid_until, waiting_ms)
    }

    /// Records that a request was answered after `took`.
    pub fn answered(&mut self, run: &RunKey, took: DurationMs) {
        let load = self.load(run);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.answer_ms += ANSWER_TIME_GAIN * (took.get().max(1) as f64 - load.answer_ms);
    }

    /// Records that the target rejected a request as full.
    pub fn rejected(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_full_ms);
        self.avoid(run, until);
    }

    /// Records that a request failed or that its response was incomplete.
    pub fn failed(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_failed_ms);
        self.avoid(run, until);
    }

    /// Records that a target failed to end a stream, whose request no longer counts as in flight.
    pub fn stream_failed(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_failed_ms);
        let load = self.load(run);
        load.avoid_until = load.avoid_until.max(until);
    }

    /// Records that a request was cancelled after `waited`, for example because another target responded first.
    /// `waited` is a lower bound of the target's response time.
    pub fn cancelled(&mut self, run: &RunKey, waited: DurationMs) {
        let waited_ms = waited.get() as f64;
        let load = self.load(run);
        load.in_flight = load.in_flight.saturating_sub(1);
        if waited_ms > load.answer_ms {
            load.answer_ms += ANSWER_TIME_GAIN * (waited_ms - load.answer_ms);
        }
    }

    /// Number of requests that this host has in flight on a target.
    pub fn in_flight(&self, run: &RunKey) -> usize {
        self.loads.get(run).map_or(0, |load| load.in_flight)
    }

    /// Removes targets that are no longer listed and have no request in flight.
    pub fn retain(&mut self, is_listed: impl Fn(&RunKey) -> bool) {
        self.loads
            .retain(|run, load| load.in_flight > 0 || is_listed(run));
    }

    fn avoid(&mut self, run: &RunKey, until: Timestamp) {
        let load = self.load(run);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.avoid_until = load.avoid_until.max(until);
    }

    fn load(&mut self, run: &RunKey) -> &mut Load {
        let initial = self.initial_load();
        self.loads.entry(run.clone()).or_insert(initial)
    }

    fn initial_load(&self) -> Load {
        Load {
            in_flight: 0,
            answer_ms: self.options.initial_answer_ms as f64,
            avoid_until: Timestamp::new(0),
        }
    }
}
