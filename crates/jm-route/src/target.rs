//! State of one target: window, in-flight requests, speed and health.

use jm_types::{DurationMs, ServiceId, TargetId, Timestamp, TokenCount, ZoneId};

use crate::{Class, SchedulerOptions, hash::stable_hash, placement::PlacementQuery};

/// Training requests that start within this time form one batch. The time is shorter than one engine step.
const BATCH_DURATION: DurationMs = DurationMs::new(5);

/// The kind of a target, which defines the unit of its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// An inference engine. The window counts tokens: the prompt and the expected output.
    Engine,
    /// An instance of a plain HTTP service. The window counts requests.
    Plain,
}

/// Bounds of an adaptive window, in tokens for an engine and in requests for a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowBounds {
    /// Minimum size of the window.
    pub min: u64,
    /// Size of the window of a new target.
    pub initial: u64,
    /// Maximum size of the window.
    pub max: u64,
    /// Microseconds per generated token (for a plain service, per request) above which the window shrinks.
    pub time_limit_us: u64,
}

/// The specification of a target that this dispatch daemon owns, from the configuration and the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Id of the target, unique over all services.
    pub id: TargetId,
    /// The availability zone in which the target runs.
    pub zone: ZoneId,
    /// The service to which the target belongs.
    pub service: ServiceId,
    /// The kind, which defines the unit of the window.
    pub kind: TargetKind,
    /// Bounds of the window.
    pub window: WindowBounds,
    /// Whether the target is leaving: it receives no new work, and its running requests continue.
    pub leaving: bool,
}

/// The health of a target, which decides how much work it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The target receives work up to its window.
    Normal,
    /// The target is much slower than its peers and receives one request at a time as a probe.
    Slow,
    /// The target failed several times in a row and receives one request at a time as a probe.
    Failing,
}

/// A load report of an engine. Reports lag behind, so they only decide between otherwise equal targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Tokens in flight at the engine, for the requests of all daemons.
    pub in_flight: TokenCount,
    /// Time of the report on the daemon's clock.
    pub at: Timestamp,
}

/// The state of a target, for `status` and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Id of the target.
    pub id: TargetId,
    /// The health, which decides how much work the target receives.
    pub health: Health,
    /// Whether the target is leaving and receives no new work.
    pub leaving: bool,
    /// Size of the window, in tokens for an engine and in requests for a plain service.
    pub window: u64,
    /// Used part of the window, in the same unit.
    pub in_flight: u64,
    /// Number of running requests.
    pub requests: usize,
    /// Moving average of the microseconds per token (for a plain service, per request); 0 before the first
    /// observation.
    pub time_per_token_us: u64,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) hash: u64,
    pub(crate) window: u64,
    pub(crate) used: u64,
    pub(crate) requests: usize,
    /// Whether the target is missing from the specifications. The entry remains until the last request ends, so that
    /// its slot is not reused before.
    pub(crate) removed: bool,
    /// Set by `Scheduler::mark_leaving`, which is more current than the specifications.
    pub(crate) marked_leaving: bool,
    pub(crate) health: Health,
    /// Whether the target recovered recently: the window doubles in each control interval up to its initial size.
    pub(crate) ramping_up: bool,
    pub(crate) next_probe: Timestamp,
    /// Time until which training requests may join the latest batch.
    pub(crate) batch_until: Timestamp,
    /// Prompt tokens of the requests without a first token, by class.
    pub(crate) pending_prompt: [u64; 2],
    pub(crate) deviating_intervals: u32,
    pub(crate) failures: u32,
    pub(crate) last_progress: Timestamp,
    pub(crate) time_per_token_us: f64,
    pub(crate) interval_busy_us: u64,
    pub(crate) interval_tokens: u64,
    pub(crate) report: Option<LoadReport>,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, now: Timestamp) -> Self {
        Self {
            hash: stable_hash(spec.id.as_str().as_bytes()),
            window: spec.window.initial.clamp(spec.window.min, spec.window.max),
            used: 0,
            requests: 0,
            removed: false,
            marked_leaving: false,
            health: Health::Normal,
            ramping_up: false,
            next_probe: now,
            batch_until: now,
            pending_prompt: [0; 2],
            deviating_intervals: 0,
            failures: 0,
            last_progress: now,
            time_per_token_us: 0.0,
            interval_busy_us: 0,
            interval_tokens: 0,
            report: None,
            spec,
        }
    }

    /// Returns a recovered target to normal health, starting with the minimum window.
    pub(crate) fn resume_from_min_window(&mut self) {
        self.health = Health::Normal;
        self.deviating_intervals = 0;
        self.window = self.spec.window.min.max(1);
        self.ramping_up = true;
    }

    /// Applies a changed specification and keeps the state of in-flight requests.
    pub(crate) fn update(&mut self, spec: TargetSpec) {
        self.window = self
            .window
            .clamp(spec.window.min, spec.window.max.max(spec.window.min));
        self.removed = false;
        self.spec = spec;
    }

    /// Whether the target is owned and not leaving.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.removed && !self.marked_leaving && !self.spec.leaving
    }

    /// The part of the window that a request occupies, in the window's unit.
    pub(crate) fn cost(&self, tokens: u64) -> u64 {
        match self.spec.kind {
            TargetKind::Engine => tokens,
            TargetKind::Plain => 1,
        }
    }

    fn limit(&self, class: Class, options: &SchedulerOptions) -> u64 {
        let headroom = match class {
            Class::Live => (self.window * options.live_headroom_per_thousand).div_ceil(1_000),
            Class::Training => 0,
        };
        self.window + headroom
    }

    /// Free part of the window for a class; 0 for targets that are degraded or accept no work.
    pub(crate) fn free_window(&self, class: Class, options: &SchedulerOptions) -> u64 {
        if self.accepts_work() && self.health == Health::Normal {
            self.limit(class, options).saturating_sub(self.used)
        } else {
            0
        }
    }

    /// Whether a request fits into the window. The check counts at most half of the window for a request, so that a
    /// request larger than the window does not have to wait until the engine is empty.
    pub(crate) fn fits(&self, class: Class, tokens: u64, options: &SchedulerOptions) -> bool {
        let cost = self.cost(tokens).min((self.window / 2).max(1));
        self.requests == 0 || self.used + cost <= self.limit(class, options)
    }

    /// Whether a training request must wait because its prompt would delay the first token of a live request. This
    /// applies to a live request that waits for its first token on this target, and to the next live request while
    /// `half_in_prefill` is set. A training request does not wait while the window is well below full, so that
    /// training loses at most the last part of the window.
    pub(crate) fn must_delay_training(
        &self,
        query: &PlacementQuery<'_>,
        half_in_prefill: bool,
        now: Timestamp,
        batch_tokens: u64,
    ) -> bool {
        if query.class == Class::Live || self.spec.kind == TargetKind::Plain {
            return false;
        }
        let [live, training] = self.pending_prompt;
        if live > 0 && self.used * 2 >= self.window {
            return true;
        }
        if self.used * 20 < self.window * 17 {
            return false;
        }
        if training > 0 {
            return now > self.batch_until || training + query.prompt_tokens > batch_tokens;
        }
        // A batch starts when the free window has space for several requests.
        half_in_prefill || self.used * 25 > self.window * 24
    }

    /// Whether a degraded target may receive a probe. Training requests are preferred: a live request becomes a probe
    /// only after another interval without a training request.
    pub(crate) fn probe_due(&self, class: Class, now: Timestamp, interval: DurationMs) -> bool {
        let due = match class {
            Class::Training => self.next_probe,
            Class::Live => self.next_probe.after(interval),
        };
        self.requests == 0 && now >= due
    }

    /// The used part of the window in thousandths, raised by a recent load report with a higher value.
    pub(crate) fn load(&self, now: Timestamp, options: &SchedulerOptions) -> u64 {
        let reported = match self.report {
            Some(report) if now.since(report.at) <= options.max_report_age => report.in_flight.get(),
            _ => 0,
        };
        // The report lags and may include requests that have ended, so only half of the excess counts.
        let hint = reported.saturating_sub(self.used) / 2;
        (self.used + hint) * 1_000 / self.window.max(1)
    }

    pub(crate) fn start(&mut self, class: Class, cost: u64, now: Timestamp, options: &SchedulerOptions) {
        if class == Class::Training && self.pending_prompt[class as usize] == 0 {
            self.batch_until = now.after(BATCH_DURATION);
        }
        if self.requests == 0 {
            self.last_progress = now;
        }
        self.used += cost;
        self.requests += 1;
        if self.health != Health::Normal {
            self.next_probe = now.after(options.probe_interval);
        }
    }

    pub(crate) fn stop(&mut self, cost: u64) {
        self.used = self.used.saturating_sub(cost);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Records that a request generated its first token, or ended without one.
    pub(crate) fn prefill_done(&mut self, class: Class, tokens: u64) {
        let pending = &mut self.pending_prompt[class as usize];
        *pending = pending.saturating_sub(tokens);
    }

    pub(crate) fn observe(&mut self, busy: DurationMs, tokens: u64, now: Timestamp) {
        self.interval_busy_us += busy.get() * 1_000;
        self.interval_tokens += tokens;
        self.last_progress = now;
    }

    pub(crate) fn status(&self) -> TargetStatus {
        TargetStatus {
            id: self.spec.id.clone(),
            health: self.health,
            leaving: self.marked_leaving || self.spec.leaving,
            window: self.window,
            in_flight: self.used,
            requests: self.requests,
            time_per_token_us: self.time_per_token_us as u64,
        }
    }
}
