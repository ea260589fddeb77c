//! The targets and queues of a single service.

use indexmap::IndexMap;
use jm_types::{Rate, RequestId, ServiceId, TargetId, Timestamp, TokenCount, ZoneId};

use crate::{
    Class, SchedulerOptions, ServiceSummary,
    cache::PrefixIndex,
    fair::FairQueue,
    health,
    placement::{self, Placement, PlacementQuery},
    target::{Health, Target, TargetSpec},
    tracked::Tracked,
};

/// Weight of the last control interval in the moving averages of the rates.
const RATE_GAIN: f64 = 0.3;

/// Number of organisations whose first request is considered for placement. Later organisations matter when the
/// requests of earlier ones must avoid the remaining targets.
pub(crate) const LOOK_AHEAD: usize = 8;

const NEVER: Timestamp = Timestamp::new(u64::MAX);

#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) targets: Vec<Target>,
    pub(crate) prefixes: PrefixIndex,
    queues: [FairQueue; 2],
    /// No request can be placed before this time. Every change that may free a window resets it.
    pub(crate) blocked_until: Timestamp,
    /// Whether requests waited for a free window in the current control interval.
    demand: bool,
    last_control: Timestamp,
    served_tokens: u64,
    served_rate: f64,
    fair_tokens: [f64; 2],
    fair_rates: [f64; 2],
}

impl Service {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            last_control: now,
            ..Self::default()
        }
    }

    pub(crate) fn queue(&self, class: Class) -> &FairQueue {
        &self.queues[class as usize]
    }

    pub(crate) fn queue_mut(&mut self, class: Class) -> &mut FairQueue {
        &mut self.queues[class as usize]
    }

    /// Adds or updates a target and returns its slot. A slot is reused only after its last request has ended.
    pub(crate) fn set_target(&mut self, spec: TargetSpec, now: Timestamp) -> usize {
        self.blocked_until = now;
        if let Some(slot) = self.targets.iter().position(|target| target.spec.id == spec.id) {
            self.targets[slot].update(spec);
            return slot;
        }
        let free = self
            .targets
            .iter()
            .position(|target| target.removed && target.requests == 0);
        match free {
            Some(slot) => {
                self.prefixes.clear(slot);
                self.targets[slot] = Target::new(spec, now);
                slot
            }
            None => {
                self.targets.push(Target::new(spec, now));
                self.targets.len() - 1
            }
        }
    }

    /// Whether a target outside `avoid` accepts new work.
    pub(crate) fn has_target(&self, avoid: &[TargetId]) -> bool {
        self.targets
            .iter()
            .any(|target| placement::allowed(target, avoid))
    }

    /// The expected tokens of a request, from the current output ratios.
    pub(crate) fn estimate(&self, tracked: &Tracked) -> u64 {
        let request = &tracked.request;
        let (prompt_tokens, max_tokens) = (request.prompt_tokens.get(), request.max_tokens.get());
        self.queue(request.class)
            .estimate(tracked.organisation, prompt_tokens, max_tokens)
    }

    pub(crate) fn place(
        &self,
        query: PlacementQuery<'_>,
        now: Timestamp,
        options: &SchedulerOptions,
    ) -> Placement {
        placement::place(&self.targets, &self.prefixes, query, now, options)
    }

    /// The requests to consider for placement, in the order of service.
    pub(crate) fn heads(&self, class: Class) -> impl Iterator<Item = RequestId> + '_ {
        self.queue(class).heads().take(LOOK_AHEAD)
    }

    /// Suspends placement until the next change.
    pub(crate) fn block(&mut self) {
        self.blocked_until = NEVER;
        self.demand |= self.queues.iter().any(|queue| queue.len() > 0);
    }

    pub(crate) fn record_served(&mut self, tokens: u64) {
        self.served_tokens += tokens;
    }

    /// Updates windows, target health and rates once per control interval.
    pub(crate) fn control(&mut self, now: Timestamp, options: &SchedulerOptions) {
        let elapsed = now.since(self.last_control);
        if elapsed < options.control_interval || elapsed.get() == 0 {
            return;
        }
        self.last_control = now;
        self.blocked_until = now;
        let demand = std::mem::take(&mut self.demand);
        health::control(&mut self.targets, demand, now, options);
        let seconds = elapsed.get() as f64 / 1_000.0;
        self.served_rate += RATE_GAIN * (self.served_tokens as f64 / seconds - self.served_rate);
        self.served_tokens = 0;
        for class in Class::ALL {
            let index = class as usize;
            let fair_tokens = self.queues[index].fair_tokens();
            let rate = (fair_tokens - self.fair_tokens[index]) / seconds;
            self.fair_rates[index] += RATE_GAIN * (rate - self.fair_rates[index]);
            self.fair_tokens[index] = fair_tokens;
        }
    }

    /// One summary per zone. All zones share one queue, so each summary reports a part in proportion to its window.
    pub(crate) fn summaries(&self, service: &ServiceId, options: &SchedulerOptions) -> Vec<ServiceSummary> {
        let mut zones: IndexMap<&ZoneId, ZoneTotals> = IndexMap::new();
        for target in self.targets.iter().filter(|target| target.accepts_work()) {
            zones.entry(&target.spec.zone).or_default().add(target, options);
        }
        let window: u64 = zones.values().map(|totals| totals.window).sum();
        zones
            .into_iter()
            .map(|(zone, totals)| self.summary(service, zone, &totals, window))
            .collect()
    }

    fn summary(
        &self,
        service: &ServiceId,
        zone: &ZoneId,
        totals: &ZoneTotals,
        all_windows: u64,
    ) -> ServiceSummary {
        let part = totals.window as f64 / all_windows.max(1) as f64;
        let queued = |class| TokenCount::new((self.queue(class).tokens() as f64 * part) as u64);
        ServiceSummary {
            zone: zone.clone(),
            service: service.clone(),
            targets: totals.targets,
            queued_live: queued(Class::Live),
            queued_training: queued(Class::Training),
            free_window: TokenCount::new(totals.free_live),
            free_training_window: TokenCount::new(totals.free_training),
            window: TokenCount::new(totals.window),
            served_rate: Rate::new(self.served_rate * part),
            live_fair_rate: Rate::new(self.fair_rates[Class::Live as usize]),
            training_fair_rate: Rate::new(self.fair_rates[Class::Training as usize]),
        }
    }
}

#[derive(Debug, Default)]
struct ZoneTotals {
    targets: usize,
    window: u64,
    free_live: u64,
    free_training: u64,
}

impl ZoneTotals {
    fn add(&mut self, target: &Target, options: &SchedulerOptions) {
        if target.health == Health::Normal {
            self.window += target.window;
        }
        self.targets += 1;
        self.free_live += target.free_window(Class::Live, options);
        self.free_training += target.free_window(Class::Training, options);
    }
}
