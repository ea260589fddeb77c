//! One target: its window, its in-flight work and what is known about its speed.

use jm_types::{DurationMs, ServiceId, TargetId, Timestamp, TokenCount, ZoneId};

use crate::{Class, SchedulerOptions, hash::stable_hash, placement::Need};

/// Training requests started within this time are one batch; it is shorter than a step of an engine.
const BATCH_TIME: DurationMs = DurationMs::new(5);

/// What a window counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// An inference engine; its window counts tokens (prompt and expected answer).
    Engine,
    /// A plain HTTP service; its window counts requests.
    Plain,
}

/// Bounds within which a window adapts, in tokens for an engine and in requests for a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowBounds {
    /// The window never shrinks below this.
    pub min: u64,
    /// The window of a new target.
    pub initial: u64,
    /// The window never grows beyond this.
    pub max: u64,
    /// Microseconds per generated token (per request of a plain service) above which the window shrinks.
    pub time_limit_us: u64,
}

/// A target owned by this dispatch daemon, as the configuration and the host list show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The service that it serves.
    pub service: ServiceId,
    /// What its window counts.
    pub kind: TargetKind,
    /// Bounds of its window.
    pub window: WindowBounds,
    /// Gets no new work; requests that run are finished.
    pub leaving: bool,
}

/// Whether a target gets its full part of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The target gets work up to its window.
    Normal,
    /// The target is much slower than its peers and gets one request at a time as a probe.
    Slow,
    /// The target failed several times in a row and gets one request at a time as a probe.
    Failing,
}

/// A load report by an engine. It lags, so it only decides between targets that are equal otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Tokens in flight at the engine, from all senders.
    pub in_flight: TokenCount,
    /// When the report was made, on the daemon's clock.
    pub at: Timestamp,
}

/// The state of a target, for `status` and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The target.
    pub id: TargetId,
    /// Whether it gets its full part of the work.
    pub health: Health,
    /// Whether it gets no new work because it is leaving.
    pub leaving: bool,
    /// Its window, in tokens or requests.
    pub window: u64,
    /// Its window's used part.
    pub in_flight: u64,
    /// Requests that run on it.
    pub requests: usize,
    /// Microseconds per token over the last intervals; 0 when nothing is known.
    pub time_per_token_us: u64,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) hash: u64,
    pub(crate) window: u64,
    pub(crate) used: u64,
    pub(crate) requests: usize,
    /// No longer in the specifications; kept until its last request ends so that its slot is not reused before.
    pub(crate) removed: bool,
    /// Set by `Scheduler::mark_leaving`, which knows more than the specifications.
    pub(crate) left: bool,
    pub(crate) health: Health,
    /// The window doubles per control interval, up to its initial size, after the target recovered.
    pub(crate) restarting: bool,
    pub(crate) next_probe: Timestamp,
    /// Training requests join the batch that began last until this time.
    pub(crate) batch_until: Timestamp,
    /// Prompt tokens of the requests that have not generated their first token, by class.
    pub(crate) pending_prompt: [u64; 2],
    pub(crate) strikes: u32,
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
            left: false,
            health: Health::Normal,
            restarting: false,
            next_probe: now,
            batch_until: now,
            pending_prompt: [0; 2],
            strikes: 0,
            failures: 0,
            last_progress: now,
            time_per_token_us: 0.0,
            interval_busy_us: 0,
            interval_tokens: 0,
            report: None,
            spec,
        }
    }

    /// Gives a recovered target work again, from the smallest window on.
    pub(crate) fn restart(&mut self) {
        self.health = Health::Normal;
        self.strikes = 0;
        self.window = self.spec.window.min.max(1);
        self.restarting = true;
    }

    /// Takes over a changed specification without forgetting what is in flight.
    pub(crate) fn update(&mut self, spec: TargetSpec) {
        self.window = self
            .window
            .clamp(spec.window.min, spec.window.max.max(spec.window.min));
        self.removed = false;
        self.spec = spec;
    }

    /// Whether the target may get new work at all.
    pub(crate) fn takes_work(&self) -> bool {
        !self.removed && !self.left && !self.spec.leaving
    }

    /// What a request takes of the window.
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

    /// Free part of the window for a class.
    pub(crate) fn room(&self, class: Class, options: &SchedulerOptions) -> u64 {
        if self.takes_work() && self.health == Health::Normal {
            self.limit(class, options).saturating_sub(self.used)
        } else {
            0
        }
    }

    /// Whether a request fits into the window. A request counts for at most half of the window here, so that one
    /// that is larger than the window need not wait for an empty engine.
    pub(crate) fn fits(&self, class: Class, tokens: u64, options: &SchedulerOptions) -> bool {
        let cost = self.cost(tokens).min((self.window / 2).max(1));
        self.requests == 0 || self.used + cost <= self.limit(class, options)
    }

    /// Whether a training request must wait because its prompt would delay a live call: one that waits for its
    /// first token here, or one that comes next while `busy` tells that many engines process prompts. Well below a
    /// full window it need not wait, so that training cannot lose more than the rest.
    pub(crate) fn holds_back(&self, need: &Need<'_>, busy: bool, now: Timestamp, batch_tokens: u64) -> bool {
        if need.class == Class::Live || self.spec.kind == TargetKind::Plain {
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
            return now > self.batch_until || training + need.prompt_tokens > batch_tokens;
        }
        // A batch begins once there is room for several requests.
        busy || self.used * 25 > self.window * 24
    }

    /// Whether a degraded target may get a probe. Training requests are used first; a live request only when no
    /// training request came for another interval.
    pub(crate) fn probe_due(&self, class: Class, now: Timestamp, interval: DurationMs) -> bool {
        let due = match class {
            Class::Training => self.next_probe,
            Class::Live => self.next_probe.after(interval),
        };
        self.requests == 0 && now >= due
    }

    /// The used part of the window in thousandths, at least what a fresh load report shows.
    pub(crate) fn load(&self, now: Timestamp, options: &SchedulerOptions) -> u64 {
        let reported = match self.report {
            Some(report) if now.since(report.at) <= options.max_report_age => report.in_flight.get(),
            _ => 0,
        };
        // A lagging report may still contain requests that have ended, so only half of the excess counts.
        let hint = reported.saturating_sub(self.used) / 2;
        (self.used + hint) * 1_000 / self.window.max(1)
    }

    pub(crate) fn start(&mut self, class: Class, cost: u64, now: Timestamp, options: &SchedulerOptions) {
        if class == Class::Training && self.pending_prompt[class as usize] == 0 {
            self.batch_until = now.after(BATCH_TIME);
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

    /// A request generated its first token or ended before.
    pub(crate) fn prompt_done(&mut self, class: Class, tokens: u64) {
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
            leaving: self.left || self.spec.leaving,
            window: self.window,
            in_flight: self.used,
            requests: self.requests,
            time_per_token_us: self.time_per_token_us as u64,
        }
    }
}
