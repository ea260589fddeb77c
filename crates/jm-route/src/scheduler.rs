//! The scheduler of one dispatch daemon.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use jm_types::{OrganisationId, RequestId, ResultCode, ServiceId, Share, TargetId, Timestamp, TokenCount};

use crate::{
    Assignment, CacheEvent, Class, Expired, LoadReport, Outcome, QueuedRequest, Refusal, SchedulerOptions,
    ServiceSummary, SharingRule, TargetKind, TargetSpec, TargetStatus,
    flight::{Flight, Stage, Tracked},
    health,
    placement::Placement,
    service::Service,
    shares::Shares,
};

/// Owns the queues and in-flight windows of the targets of one dispatch daemon. Requests wait here, in front of
/// the targets, because engines admit whatever arrives and know no priority.
///
/// The daemon calls [`Self::next`] until it answers `None` after each `submit`, `progress`, `finish`, `cancel` and
/// `set_targets`. It also calls `next` and [`Self::expire`] a few times a second, because probes and deadlines become
/// due without any other event.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) services: IndexMap<ServiceId, Service>,
    shares: Shares,
    targets: HashMap<TargetId, (usize, usize)>,
    pub(crate) requests: HashMap<RequestId, Tracked>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    expired: Vec<Expired>,
    turn: usize,
    pub(crate) now: Timestamp,
}

impl Scheduler {
    /// A scheduler without targets.
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Replaces the set of owned targets. Targets that are kept keep their window and in-flight work; removed
    /// ones get no new work, and their running requests are finished by `finish` as usual.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>, now: Timestamp) {
        self.now = now;
        for service in self.services.values_mut() {
            service
                .targets
                .iter_mut()
                .for_each(|target| target.removed = true);
        }
        self.targets.clear();
        for spec in specs {
            let id = spec.id.clone();
            let place = self.service_index(&spec.service, now);
            let slot = self.services[place].set_target(spec, now);
            self.targets.insert(id, (place, slot));
        }
        self.drop_unplaceable();
    }

    fn service_index(&mut self, id: &ServiceId, now: Timestamp) -> usize {
        match self.services.get_index_of(id) {
            Some(index) => index,
            None => self.services.insert_full(id.clone(), Service::new(now)).0,
        }
    }

    /// Sets the organisations' shares for every service without a rule. An organisation that is not named has share 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (OrganisationId, Share)>) {
        self.shares.set_general(shares);
    }

    /// Replaces the rules that operators set for organisations in single services.
    pub fn set_sharing_rules(&mut self, rules: impl IntoIterator<Item = SharingRule>, now: Timestamp) {
        self.shares.clear_rules();
        for rule in rules {
            let service = self.service_index(&rule.service, now);
            self.shares.set_rule(service, &rule);
        }
    }

    /// Stops new work for a target at once; requests that run there are finished. This holds until the target is
    /// missing from one [`Self::set_targets`], because specifications made from the host list lag.
    pub fn mark_leaving(&mut self, target: &TargetId) {
        if let Some((service, slot)) = self.targets.get(target) {
            self.services[*service].targets[*slot].left = true;
            self.drop_unplaceable();
        }
    }

    /// Takes a request into the queue, or says why not; a refused request was not run.
    pub fn submit(&mut self, request: QueuedRequest, now: Timestamp) -> Result<(), Refusal> {
        self.now = now;
        let service = self.admissible(&request, now)?;
        let organisation = self.shares.index(&request.organisation);
        self.check_queue(service, organisation, &request)?;
        let queue = self.services[service].queue_mut(request.class);
        let tokens = queue.estimate(
            organisation,
            request.prompt_tokens.get(),
            request.max_tokens.get(),
        );
        let sequence = queue.push(organisation, request.id, tokens);
        self.services[service].blocked_until = now;
        self.deadlines.insert((request.deadline, request.id));
        let tracked = Tracked {
            service,
            organisation,
            tokens,
            stage: Stage::Waiting(sequence),
            request,
        };
        self.requests.insert(tracked.request.id, tracked);
        Ok(())
    }

    fn admissible(&self, request: &QueuedRequest, now: Timestamp) -> Result<usize, Refusal> {
        let refusal = |code, message| Err(Refusal { code, message });
        if self.requests.contains_key(&request.id) {
            return refusal(
                ResultCode::Internal,
                format!("request {} is already queued or running", request.id),
            );
        }
        let Some(index) = self.services.get_index_of(&request.service) else {
            return refusal(
                ResultCode::NoTarget,
                format!("this daemon owns no target of service {}", request.service),
            );
        };
        let waiting = self.services[index].queue(request.class).len();
        if !self.services[index].has_target(&request.avoid) {
            return refusal(
                ResultCode::NoTarget,
                format!(
                    "no target of service {} takes new work, apart from {} tried before; {waiting} {} requests wait",
                    request.service,
                    request.avoid.len(),
                    request.class
                ),
            );
        }
        if request.deadline <= now {
            return refusal(
                ResultCode::DeadlinePassed,
                format!("the deadline passed before the request was queued; {waiting} requests wait"),
            );
        }
        Ok(index)
    }

    fn check_queue(
        &self,
        service: usize,
        organisation: usize,
        request: &QueuedRequest,
    ) -> Result<(), Refusal> {
        let queue = self.services[service].queue(request.class);
        let own = queue.len_of(organisation);
        let all = queue.len();
        let default_limit = self.options.organisation_queue_limit;
        let own_limit = self.shares.queue_limit(service, organisation, default_limit);
        let all_limit = self.options.service_queue_limit;
        let equal_part = all_limit / (queue.active_flows() + 1);
        if own < own_limit && (all < all_limit || own < equal_part) {
            return Ok(());
        }
        Err(Refusal {
            code: ResultCode::QueueFull,
            message: format!(
                "the {} queue of service {} is full: {own} requests of organisation {} wait (limit {own_limit}), \
                 {all} in all (limit {all_limit})",
                request.class, request.service, request.organisation
            ),
        })
    }

    /// The next request to send to a target, or `None` when nothing can be sent now.
    pub fn next(&mut self, now: Timestamp) -> Option<Assignment> {
        self.now = now;
        self.collect_expired(now);
        for step in 0..self.services.len() {
            let index = (self.turn + step) % self.services.len();
            let service = &mut self.services[index];
            service.control(now, &self.options);
            if now < service.blocked_until {
                continue;
            }
            if let Some((request, slot)) = self.find(index, now) {
                self.turn = index + 1;
                return Some(self.start(request, slot, now));
            }
            self.services[index].block();
        }
        None
    }

    fn find(&self, index: usize, now: Timestamp) -> Option<(RequestId, usize)> {
        let service = &self.services[index];
        for class in Class::ALL {
            for request in service.heads(class) {
                let tracked = &self.requests[&request];
                let need = tracked.need(service.estimate(tracked));
                match service.place(need, now, &self.options) {
                    Placement::Slot(slot) => return Some((request, slot)),
                    // A request behind must not overtake one that waits for a free window: a large request would
                    // never start, and training would take the place of a live call.
                    Placement::Full => return None,
                    Placement::Degraded | Placement::NoTarget => {}
                }
            }
        }
        None
    }

    fn start(&mut self, id: RequestId, slot: usize, now: Timestamp) -> Assignment {
        let tracked = self
            .requests
            .get_mut(&id)
            .expect("a request in a queue is tracked");
        let service = &mut self.services[tracked.service];
        let share = self.shares.share(tracked.service, tracked.organisation);
        let tokens = service.estimate(tracked);
        if let Stage::Waiting(sequence) = tracked.stage {
            let queue = service.queue_mut(tracked.request.class);
            queue.serve(tracked.organisation, sequence, tracked.tokens);
            queue.charge(tracked.organisation, tokens as i64, share);
        }
        service
            .prefixes
            .store(slot, &tracked.request.prefix_hashes, self.options.prefix_limit);
        let target = &mut service.targets[slot];
        let cost = target.cost(tokens);
        target.start(tracked.request.class, cost, now, &self.options);
        target.pending_prompt[tracked.request.class as usize] += tracked.request.prompt_tokens.get();
        tracked.stage = Stage::Running(Flight {
            slot,
            cost,
            charged: tokens,
            generated: 0,
            last_progress: now,
        });
        self.deadlines.remove(&(tracked.request.deadline, id));
        Assignment {
            request: id,
            target: target.spec.id.clone(),
        }
    }

    /// Records that a running request generated `tokens` more tokens.
    pub fn progress(&mut self, request: RequestId, tokens: TokenCount, now: Timestamp) {
        self.now = now;
        if tokens.get() == 0 {
            return;
        }
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        let Stage::Running(mut flight) = tracked.stage else {
            return;
        };
        let service = &mut self.services[tracked.service];
        // The time to the first token holds the prompt, so it says nothing about the time per token.
        let counted = if flight.generated == 0 { 0 } else { tokens.get() };
        let busy = now.since(flight.last_progress);
        let target = &mut service.targets[flight.slot];
        target.observe(if counted == 0 { Default::default() } else { busy }, counted, now);
        let first_token = flight.generated == 0;
        if first_token {
            target.prompt_done(tracked.request.class, tracked.request.prompt_tokens.get());
            service.blocked_until = now;
        }
        flight.last_progress = now;
        flight.generated += tokens.get();
        service.record_served(tokens.get());
        let used = tracked.used_tokens(flight.generated);
        if used > flight.charged {
            let share = self.shares.share(tracked.service, tracked.organisation);
            let excess = (used - flight.charged) as i64;
            service
                .queue_mut(tracked.request.class)
                .charge(tracked.organisation, excess, share);
            flight.charged = used;
        }
        tracked.stage = Stage::Running(flight);
    }

    /// Ends a running request, frees its part of the window and corrects what its organisation was charged.
    pub fn finish(&mut self, request: RequestId, outcome: Outcome, now: Timestamp) {
        self.now = now;
        let running = self
            .requests
            .get(&request)
            .is_some_and(|t| matches!(t.stage, Stage::Running(_)));
        if !running {
            return;
        }
        if let Outcome::Finished(total) = outcome {
            self.record_end(request, total, now);
        }
        let Some(tracked) = self.requests.remove(&request) else {
            return;
        };
        let Stage::Running(flight) = tracked.stage else {
            return;
        };
        let service = &mut self.services[tracked.service];
        service.blocked_until = now;
        let queue = service.queue_mut(tracked.class());
        if matches!(outcome, Outcome::Finished(_)) {
            queue.learn(
                tracked.organisation,
                flight.generated,
                tracked.request.max_tokens.get(),
            );
        }
        let nothing_served = outcome == Outcome::Failed && flight.generated == 0;
        let used = if nothing_served {
            0
        } else {
            tracked.used_tokens(flight.generated)
        };
        let correction = used as i64 - flight.charged as i64;
        queue.charge(
            tracked.organisation,
            correction,
            self.shares.share(tracked.service, tracked.organisation),
        );
        let target = &mut service.targets[flight.slot];
        target.stop(flight.cost);
        if flight.generated == 0 {
            target.prompt_done(tracked.request.class, tracked.request.prompt_tokens.get());
        }
        match outcome {
            Outcome::Finished(_) => health::succeeded(target),
            Outcome::Failed => health::failed(target, now, &self.options),
            Outcome::Cancelled => {}
        }
    }

    /// Counts what a finished request did since its last progress.
    fn record_end(&mut self, request: RequestId, total: TokenCount, now: Timestamp) {
        let Some(tracked) = self.requests.get(&request) else {
            return;
        };
        let Stage::Running(flight) = tracked.stage else {
            return;
        };
        let service = &mut self.services[tracked.service];
        if service.targets[flight.slot].spec.kind == TargetKind::Plain {
            service.targets[flight.slot].observe(now.since(flight.last_progress), 1, now);
            service.record_served(1);
        }
        let rest = total.saturating_sub(TokenCount::new(flight.generated));
        if rest.get() > 0 {
            self.progress(request, rest, now);
        }
    }

    /// Removes a waiting request, or frees the window of a running one; `false` when it is not known.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        match self.requests.get(&request).map(|tracked| tracked.stage) {
            None => return false,
            Some(Stage::Running(_)) => self.finish(request, Outcome::Cancelled, self.now),
            Some(Stage::Waiting(_)) => self.forget_waiting(request),
        }
        true
    }

    fn forget_waiting(&mut self, request: RequestId) {
        let Some(tracked) = self.requests.remove(&request) else {
            return;
        };
        self.deadlines.remove(&(tracked.request.deadline, request));
        if let Stage::Waiting(sequence) = tracked.stage {
            let service = &mut self.services[tracked.service];
            service.blocked_until = self.now;
            service
                .queue_mut(tracked.class())
                .remove(tracked.organisation, sequence, tracked.tokens);
        }
    }

    /// Removes and returns the requests whose deadline passed while they waited, and those for which no target is
    /// left. None of them was run.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Expired> {
        self.now = now;
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    fn collect_expired(&mut self, now: Timestamp) {
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.give_up(request, ResultCode::DeadlinePassed);
        }
    }

    fn give_up(&mut self, request: RequestId, code: ResultCode) {
        self.forget_waiting(request);
        self.expired.push(Expired { request, code });
    }

    /// Gives up waiting requests for which no target is left, so that their callers can go elsewhere at once.
    fn drop_unplaceable(&mut self) {
        let lost: Vec<RequestId> = self
            .deadlines
            .iter()
            .map(|(_, request)| *request)
            .filter(|request| {
                let tracked = &self.requests[request];
                !self.services[tracked.service].has_target(&tracked.request.avoid)
            })
            .collect();
        for request in lost {
            self.give_up(request, ResultCode::NoTarget);
        }
    }

    /// Takes an engine's report about its prefix cache.
    pub fn cache_event(&mut self, target: &TargetId, event: &CacheEvent) {
        let Some((service, slot)) = self.targets.get(target).copied() else {
            return;
        };
        let prefixes = &mut self.services[service].prefixes;
        match event {
            CacheEvent::Stored(hashes) => prefixes.store(slot, hashes, self.options.prefix_limit),
            CacheEvent::Evicted(hashes) => prefixes.evict(slot, hashes),
            CacheEvent::Cleared => prefixes.clear(slot),
        }
    }

    /// Takes an engine's load report.
    pub fn load_report(&mut self, target: &TargetId, report: LoadReport) {
        if let Some((service, slot)) = self.targets.get(target).copied() {
            self.services[service].targets[slot].report = Some(report);
        }
    }

    /// The state of each service, per zone, for peers and entry daemons.
    pub fn summary(&self) -> Vec<ServiceSummary> {
        self.services
            .iter()
            .flat_map(|(id, service)| service.summaries(id, &self.options))
            .collect()
    }

    /// The state of each owned target.
    pub fn targets(&self) -> Vec<TargetStatus> {
        let targets = self.services.values().flat_map(|service| &service.targets);
        targets
            .filter(|target| !target.removed)
            .map(|target| target.status())
            .collect()
    }
}
