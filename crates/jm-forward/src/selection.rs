//! Which target gets a request.
//!
//! Load pattern: a few targets of different speed, some of which turn slow or stop answering without leaving the
//! list. Counting requests alone sends as many to a slow target as to a fast one; expected waiting time does not.

use indexmap::IndexMap;
use jm_types::{DurationMs, Timestamp, ZoneId};

use crate::{RunKey, Target};

/// Settings of the choice.
#[derive(Debug, Clone, Copy)]
pub struct SelectionOptions {
    /// Answer time that is assumed of a target that has not answered yet.
    pub initial_answer_ms: u64,
    /// How long a target that failed gets no request while another one can take it.
    pub avoid_failed_ms: DurationMs,
    /// How long a target that rejected a request as full is avoided.
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

/// Weight of the newest answer in the running answer time.
const ANSWER_TIME_GAIN: f64 = 0.2;

/// Advantage of a target in the own zone, as a factor on its expected waiting time: enough to decide between equals.
const OWN_ZONE_FACTOR: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct Load {
    in_flight: usize,
    answer_ms: f64,
    avoid_until: Timestamp,
}

/// What this host has seen of targets.
#[derive(Debug, Default)]
pub struct TargetLoads {
    options: SelectionOptions,
    loads: IndexMap<RunKey, Load>,
}

impl TargetLoads {
    /// Nothing seen yet.
    pub fn new(options: SelectionOptions) -> Self {
        Self {
            options,
            loads: IndexMap::new(),
        }
    }

    /// Chooses among `targets` the one with the least expected waiting time, and counts a request at it. Targets in
    /// `tried` are left out; those that failed lately are only taken when there is no other.
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
        let load = self.loads.get(&target.run).copied().unwrap_or(self.unseen());
        let zone_factor = if target.zone == *own_zone {
            OWN_ZONE_FACTOR
        } else {
            1.0
        };
        let waiting_ms = (load.in_flight + 1) as f64 * load.answer_ms * zone_factor;
        (now < load.avoid_until, waiting_ms)
    }

    /// A request ended with an answer after `took`.
    pub fn answered(&mut self, run: &RunKey, took: DurationMs) {
        let load = self.load(run);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.answer_ms += ANSWER_TIME_GAIN * (took.get().max(1) as f64 - load.answer_ms);
    }

    /// The target rejected a request.
    pub fn rejected(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_full_ms);
        self.avoid(run, until);
    }

    /// A request got no whole answer.
    pub fn failed(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_failed_ms);
        self.avoid(run, until);
    }

    /// A request was given up after `waited` because another target answered first. Its answer takes at least that long.
    pub fn cancelled(&mut self, run: &RunKey, waited: DurationMs) {
        let waited_ms = waited.get() as f64;
        let load = self.load(run);
        load.in_flight = load.in_flight.saturating_sub(1);
        if waited_ms > load.answer_ms {
            load.answer_ms += ANSWER_TIME_GAIN * (waited_ms - load.answer_ms);
        }
    }

    /// Requests of this host that run on a target.
    pub fn in_flight(&self, run: &RunKey) -> usize {
        self.loads.get(run).map_or(0, |load| load.in_flight)
    }

    /// Forgets targets that are no longer listed and carry no request.
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
        let unseen = self.unseen();
        self.loads.entry(run.clone()).or_insert(unseen)
    }

    fn unseen(&self) -> Load {
        Load {
            in_flight: 0,
            answer_ms: self.options.initial_answer_ms as f64,
            avoid_until: Timestamp::new(0),
        }
    }
}
