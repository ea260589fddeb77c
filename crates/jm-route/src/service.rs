//! The targets and queues of one service.

use indexmap::IndexMap;
use jm_types::{Rate, RequestId, ServiceId, TargetId, Timestamp, TokenCount, ZoneId};

use crate::{
    Class, SchedulerOptions, ServiceSummary,
    cache::PrefixIndex,
    fair::FairQueue,
    flight::Tracked,
    health,
    placement::{self, Need, Placement},
    target::{Health, Target, TargetSpec},
};

/// Weight of the last control interval in served rates.
const RATE_GAIN: f64 = 0.3;

/// Organisations whose first request is looked at when those before are held back by targets tried before.
pub(crate) const LOOK_AHEAD: usize = 8;

const NEVER: Timestamp = Timestamp::new(u64::MAX);

#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) targets: Vec<Target>,
    pub(crate) prefixes: PrefixIndex,
    queues: [FairQueue; 2],
    /// Nothing can be placed until this time, unless something changes before.
    pub(crate) blocked_until: Timestamp,
    /// Requests waited for room in the current control interval.
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

    /// Adds or updates a target and returns its slot. A slot is used again only after its last request ended.
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

    /// Whether some target takes work and was not tried before.
    pub(crate) fn has_target(&self, avoid: &[TargetId]) -> bool {
        self.targets
            .iter()
            .any(|target| placement::allowed(target, avoid))
    }

    /// The tokens that a request is expected to use, from what is known now.
    pub(crate) fn estimate(&self, tracked: &Tracked) -> u64 {
        let request = &tracked.request;
        let (prompt, most) = (request.prompt_tokens.get(), request.max_tokens.get());
        self.queue(request.class)
            .estimate(tracked.organisation, prompt, most)
    }

    pub(crate) fn place(&self, need: Need<'_>, now: Timestamp, options: &SchedulerOptions) -> Placement {
        placement::place(&self.targets, &self.prefixes, need, now, options)
    }

    /// The requests to try to place, in order.
    pub(crate) fn heads(&self, class: Class) -> impl Iterator<Item = RequestId> + '_ {
        self.queue(class).heads().take(LOOK_AHEAD)
    }

    /// Notes that nothing can be placed until something changes.
    pub(crate) fn block(&mut self) {
        self.blocked_until = NEVER;
        self.demand |= self.queues.iter().any(|queue| queue.len() > 0);
    }

    pub(crate) fn record_served(&mut self, tokens: u64) {
        self.served_tokens += tokens;
    }

    /// Adapts windows, judges targets and updates rates once per control interval.
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

    /// One summary per zone. The queue is one for all zones, so each zone states its part by window.
    pub(crate) fn summaries(&self, service: &ServiceId, options: &SchedulerOptions) -> Vec<ServiceSummary> {
        let mut zones: IndexMap<&ZoneId, ZoneSums> = IndexMap::new();
        for target in self.targets.iter().filter(|target| target.takes_work()) {
            zones.entry(&target.spec.zone).or_default().add(target, options);
        }
        let window: u64 = zones.values().map(|sums| sums.window).sum();
        zones
            .into_iter()
            .map(|(zone, sums)| self.summary(service, zone, &sums, window))
            .collect()
    }

    fn summary(
        &self,
        service: &ServiceId,
        zone: &ZoneId,
        sums: &ZoneSums,
        all_windows: u64,
    ) -> ServiceSummary {
        let part = sums.window as f64 / all_windows.max(1) as f64;
        let queued = |class| TokenCount::new((self.queue(class).tokens() as f64 * part) as u64);
        ServiceSummary {
            zone: zone.clone(),
            service: service.clone(),
            targets: sums.targets,
            queued_live: queued(Class::Live),
            queued_training: queued(Class::Training),
            free_window: TokenCount::new(sums.free_live),
            free_training_window: TokenCount::new(sums.free_training),
            window: TokenCount::new(sums.window),
            served_rate: Rate::new(self.served_rate * part),
            live_fair_rate: Rate::new(self.fair_rates[Class::Live as usize]),
            training_fair_rate: Rate::new(self.fair_rates[Class::Training as usize]),
        }
    }
}

#[derive(Debug, Default)]
struct ZoneSums {
    targets: usize,
    window: u64,
    free_live: u64,
    free_training: u64,
}

impl ZoneSums {
    fn add(&mut self, target: &Target, options: &SchedulerOptions) {
        if target.health == Health::Normal {
            self.window += target.window;
        }
        self.targets += 1;
        self.free_live += target.room(Class::Live, options);
        self.free_training += target.room(Class::Training, options);
    }
}
