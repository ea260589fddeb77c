//! The request scheduler of a dispatch daemon.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use jm_types::{OrganisationId, RequestId, ResultCode, ServiceId, Share, TargetId, Timestamp, TokenCount};

use crate::{
    Assignment, CacheEvent, Class, Expired, LoadReport, Outcome, QueuedRequest, Refusal, SchedulerOptions,
    ServiceSummary, SharingRule, TargetKind, TargetSpec, TargetStatus, health,
    placement::Placement,
    service::Service,
    shares::Shares,
    tracked::{InFlight, Stage, Tracked},
};

/// Owns the queues and in-flight windows of the targets of one dispatch daemon. Requests are queued here and not at
/// the targets, because engines admit every request and have no priorities.
///
/// After each call of `submit`, `progress`, `finish`, `cancel` and `set_targets`, the daemon calls [`Self::next`] until
/// the result is `None`. It also calls `next` and [`Self::expire`] a few times a second, because probes and deadlines
/// become due without any other event.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) services: IndexMap<ServiceId, Service>,
    shares: Shares,
    targets: HashMap<TargetId, (usize, usize)>,
    pub(crate) requests: HashMap<RequestId, Tracked>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    expired: Vec<Expired>,
    next_service: usize,
    pub(crate) now: Timestamp,
}

impl Scheduler {
    /// Creates a scheduler without targets; it refuses requests until [`Self::set_targets`] is called.
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Replaces the set of owned targets. Targets that remain in the set keep their window and in-flight requests.
    /// Removed targets receive no new work, and their running requests end by `finish` as usual.
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
            let service = self.service_index(&spec.service, now);
            let slot = self.services[service].set_target(spec, now);
            self.targets.insert(id, (service, slot));
        }
        self.drop_unplaceable();
    }

    fn service_index(&mut self, id: &ServiceId, now: Timestamp) -> usize {
        match self.services.get_index_of(id) {
            Some(index) => index,
            None => self.services.insert_full(id.clone(), Service::new(now)).0,
        }
    }

    /// Sets the shares of organisations for all services without a sharing rule. The default share is 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (OrganisationId, Share)>) {
        self.shares.set_general(shares);
    }

    /// Replaces the operators' rules, which override share and queue limit of an organisation in one service.
    pub fn set_sharing_rules(&mut self, rules: impl IntoIterator<Item = SharingRule>, now: Timestamp) {
        self.shares.clear_rules();
        for rule in rules {
            let service = self.service_index(&rule.service, now);
            self.shares.set_rule(service, &rule);
        }
    }

    /// Stops new work for a target immediately; its running requests continue. The mark remains until a call of
    /// [`Self::set_targets`] omits the target, because specifications derived from the host list lag behind.
    pub fn mark_leaving(&mut self, target: &TargetId) {
        if let Some((service, slot)) = self.targets.get(target) {
            self.services[*service].targets[*slot].marked_leaving = true;
            self.drop_unplaceable();
        }
    }

    /// Adds a request to the queue. An error means that the request was not accepted and was not run.
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
                    "no target of service {} accepts new work, apart from {} tried before; \
                     {waiting} {} requests are queued",
                    request.service,
                    request.avoid.len(),
                    request.class
                ),
            );
        }
        if request.deadline <= now {
            return refusal(
                ResultCode::DeadlinePassed,
                format!("the deadline passed before the request was queued; {waiting} requests are queued"),
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

    /// The next request to send to a target, or `None` when no queued request can start now.
    pub fn next(&mut self, now: Timestamp) -> Option<Assignment> {
        self.now = now;
        self.collect_expired(now);
        for step in 0..self.services.len() {
            let index = (self.next_service + step) % self.services.len();
            let service = &mut self.services[index];
            service.control(now, &self.options);
            if now < service.blocked_until {
                continue;
            }
            if let Some((request, slot)) = self.find_assignment(index, now) {
                self.next_service = index + 1;
                return Some(self.start(request, slot, now));
            }
            self.services[index].block();
        }
        None
    }

    fn find_assignment(&self, index: usize, now: Timestamp) -> Option<(RequestId, usize)> {
        let service = &self.services[index];
        for class in Class::ALL {
            for request in service.heads(class) {
                let tracked = &self.requests[&request];
                let query = tracked.placement_query(service.estimate(tracked));
                match service.place(query, now, &self.options) {
                    Placement::Slot(slot) => return Some((request, slot)),
                    // A later request must not overtake a request that waits for a free window. Otherwise a large
                    // request would never start, and training requests would use the window of a live request.
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
        tracked.stage = Stage::Running(InFlight {
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

    /// Records `tokens` additional generated tokens of a running request. Ignores a request that is not running.
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
        // The time to the first token includes prompt processing, so it is not a sample of the time per token.
        let counted = if flight.generated == 0 { 0 } else { tokens.get() };
        let busy = now.since(flight.last_progress);
        let target = &mut service.targets[flight.slot];
        target.observe(if counted == 0 { Default::default() } else { busy }, counted, now);
        let first_token = flight.generated == 0;
        if first_token {
            target.prefill_done(tracked.request.class, tracked.request.prompt_tokens.get());
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

    /// Ends a running request, frees its part of the window and corrects the charge of its organisation. Ignores a
    /// request that is not running.
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
            self.record_final_progress(request, total, now);
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
            queue.record_output(
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
            target.prefill_done(tracked.request.class, tracked.request.prompt_tokens.get());
        }
        match outcome {
            Outcome::Finished(_) => health::record_success(target),
            Outcome::Failed => health::record_failure(target, now, &self.options),
            Outcome::Cancelled => {}
        }
    }

    /// Records the tokens that a finished request generated since its last progress.
    fn record_final_progress(&mut self, request: RequestId, total: TokenCount, now: Timestamp) {
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

    /// Removes a queued request, or ends a running request as cancelled; `false` when the request is unknown.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        match self.requests.get(&request).map(|tracked| tracked.stage) {
            None => return false,
            Some(Stage::Running(_)) => self.finish(request, Outcome::Cancelled, self.now),
            Some(Stage::Waiting(_)) => self.remove_waiting(request),
        }
        true
    }

    fn remove_waiting(&mut self, request: RequestId) {
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

    /// Removes and returns the queued requests whose deadline passed and those without a usable target. None of these
    /// requests was run.
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
            self.reject_waiting(request, ResultCode::DeadlinePassed);
        }
    }

    fn reject_waiting(&mut self, request: RequestId, code: ResultCode) {
        self.remove_waiting(request);
        self.expired.push(Expired { request, code });
    }

    /// Removes queued requests without a usable target, so that their callers can use another daemon immediately.
    fn drop_unplaceable(&mut self) {
        let unplaceable: Vec<RequestId> = self
            .deadlines
            .iter()
            .map(|(_, request)| *request)
            .filter(|request| {
                let tracked = &self.requests[request];
                !self.services[tracked.service].has_target(&tracked.request.avoid)
            })
            .collect();
        for request in unplaceable {
            self.reject_waiting(request, ResultCode::NoTarget);
        }
    }

    /// Applies an engine's cache event to the prefix index. Ignores targets that this daemon does not own.
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

    /// Stores the latest load report of an engine. Ignores targets that this daemon does not own.
    pub fn load_report(&mut self, target: &TargetId, report: LoadReport) {
        if let Some((service, slot)) = self.targets.get(target).copied() {
            self.services[service].targets[slot].report = Some(report);
        }
    }

    /// The state of each service by zone, for peers and entry daemons.
    pub fn summary(&self) -> Vec<ServiceSummary> {
        self.services
            .iter()
            .flat_map(|(id, service)| service.summaries(id, &self.options))
            .collect()
    }

    /// The state of each owned target, for `status` and metrics.
    pub fn targets(&self) -> Vec<TargetStatus> {
        let targets = self.services.values().flat_map(|service| &service.targets);
        targets
            .filter(|target| !target.removed)
            .map(|target| target.status())
            .collect()
    }
}
