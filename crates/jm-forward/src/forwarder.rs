//! Forwards requests: selects targets, sends attempts and applies the retry policy.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, Either, select},
    pin_mut,
    stream::FuturesUnordered,
};
use jm_route::RetryBudget;
use jm_types::{Clock, DurationMs, OrganisationId, ResultCode, ServiceId, Timestamp, ZoneId};

use crate::{
    Access, AnswerBody, AttemptOptions, AttemptOutcome, CallerRequest, Catalog, ColdGate, ForwardAnswer,
    ForwardRefusal, ForwardResult, Origin, ResumptionOutcome, RetryDecision, RetryOptions, RetryState, Route,
    RouteKind, RoutingTable, RunKey, SelectionOptions, SendKind, SoftwareFilter, Streams, Target,
    TargetAnswer, TargetClient, TargetLoads,
    event_stream::limit_stalls,
    retry::{access_refusal, evacuated, no_target, refusal},
    stream_attempt::StreamAttempt,
    stream_deadline::limit_duration,
};

/// Settings of a forwarder.
#[derive(Debug, Clone)]
pub struct ForwarderOptions {
    /// Availability zone of this host. Targets in it are preferred.
    pub zone: ZoneId,
    /// Settings of target selection.
    pub selection: SelectionOptions,
    /// Settings for retries and hedged attempts.
    pub retry: RetryOptions,
}

/// Minimum time between two tries to start a hedged attempt.
const MIN_HEDGE_PAUSE_MS: DurationMs = DurationMs::new(20);
/// Hedged attempts permitted per thousand requests.
const HEDGES_PER_THOUSAND: u64 = 300;
/// Hedged attempts that may be started in a burst when none was started for a while.
const HEDGE_BURST: u64 = 30;

/// Minimum time without a whole event after which a stream is cut. Callers have given up long before.
const MIN_STREAM_STALL_MS: DurationMs = DurationMs::new(5_000);
/// Replaces [`MIN_STREAM_STALL_MS`] on routes with a long latency objective, in multiples of it.
const STREAM_STALL_OBJECTIVES: u64 = 8;

/// Time after the deadline of a stream for the last events that the target sent before it.
const STREAM_END_MARGIN_MS: DurationMs = DurationMs::new(250);

/// Time for which a request without an attempt in progress waits for a cold target. A request that is refused afterwards
/// has not run, and its caller can retry it.
const MAX_COLD_WAIT_MS: DurationMs = DurationMs::new(1_000);

/// Receives events of requests for logs, metrics and usage accounting.
pub trait ForwardObserver: Send + Sync {
    /// The request ran or may have run on a target. Called at most once for each request. `organisation` is `None` if
    /// no key was required.
    fn execution_started(&self, organisation: Option<&OrganisationId>);

    /// An attempt ended without a complete response after `took`.
    fn attempt_failed(
        &self,
        request: &CallerRequest,
        target: &Target,
        outcome: &AttemptOutcome,
        took: DurationMs,
    );

    /// A hedged attempt was started after the attempt on `slow` had taken `waited`.
    fn hedged(&self, request: &CallerRequest, slow: &RunKey, waited: DurationMs);

    /// A request that resumes a stream ended. `origin` is set if the version that began the stream is known.
    fn resumption_ended(
        &self,
        _request: &CallerRequest,
        _outcome: ResumptionOutcome,
        _origin: Option<&Origin>,
    ) {
    }
}

/// Forwards admitted requests to targets. Shared by all requests of a host.
pub struct Forwarder {
    options: ForwarderOptions,
    pub(crate) clock: Arc<dyn Clock>,
    client: Arc<dyn TargetClient>,
    pub(crate) observer: Arc<dyn ForwardObserver>,
    loads: Arc<Mutex<TargetLoads>>,
    hedges: Mutex<RetryBudget>,
    cold: Option<Arc<ColdGate>>,
    pub(crate) streams: Option<Streams>,
}

struct EndedAttempt {
    target: Target,
    outcome: AttemptOutcome,
    started_at: Timestamp,
}

impl Forwarder {
    /// Creates a forwarder that sends attempts through `client` and reports events to `observer`.
    pub fn new(
        options: ForwarderOptions,
        clock: Arc<dyn Clock>,
        client: Arc<dyn TargetClient>,
        observer: Arc<dyn ForwardObserver>,
    ) -> Self {
        let loads = Arc::new(Mutex::new(TargetLoads::new(options.selection)));
        Self {
            options,
            clock,
            client,
            observer,
            loads,
            hedges: Mutex::new(RetryBudget::new(HEDGES_PER_THOUSAND, HEDGE_BURST)),
            cold: None,
            streams: None,
        }
    }

    /// Sends to cold targets only what `gate` allows.
    pub fn with_cold_gate(self, gate: Arc<ColdGate>) -> Self {
        Self {
            cold: Some(gate),
            ..self
        }
    }

    /// Keeps resumable streams at the software version that began them.
    pub fn with_streams(self, streams: Streams) -> Self {
        Self {
            streams: Some(streams),
            ..self
        }
    }

    /// Finds the route of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no route matches, or if the key is missing or unknown. The request has not run.
    pub fn admit<'a>(
        &self,
        request: &CallerRequest,
        table: &'a RoutingTable,
    ) -> Result<(&'a Route, Access), ForwardRefusal> {
        let path = request.target.path();
        let Some(route) = table.route(&request.host, path) else {
            let message = format!("no route for host {:?} and path {path:?}", request.host);
            return Err(refusal(ResultCode::UnknownEndpoint, message));
        };
        match table.access(route, request.key.as_deref()) {
            Ok(access) => Ok((route, access)),
            Err(reason) => Err(access_refusal(reason)),
        }
    }

    /// Sends an admitted request to targets until one responds, the retry policy refuses it, the deadline passes or the
    /// host shuts down, whose last moment for answers is the end of `shutdown`. Each attempt chooses from the targets that
    /// `catalog` returns at that moment, because a request may wait for longer than a target takes to leave.
    pub async fn forward(
        &self,
        request: &CallerRequest,
        route: &Route,
        access: &Access,
        catalog: &(dyn Fn() -> Arc<Catalog> + Sync),
        shutdown: impl Future<Output = ()> + Send,
    ) -> ForwardResult {
        let deadline = self.clock.now().after(request.time_limit(route));
        lock(&self.hedges).deposit();
        let stream = self
            .begin_stream(request, route, access, catalog, deadline)
            .await?;
        let mut active = ActiveRequest {
            forwarder: self,
            request,
            route,
            access,
            catalog,
            attempts: RetryState::new(route, deadline, self.options.retry),
            deadline,
            tried: Vec::new(),
            open: FuturesUnordered::new(),
            open_runs: Vec::new(),
            no_hedge_before: Timestamp::new(0),
            is_counted: false,
            stream,
        };
        let result = active.run_until(shutdown).await;
        active.release_open();
        if let Some(origin) = active.stream.as_ref().and_then(StreamAttempt::origin) {
            let outcome = ResumptionOutcome::of(&result);
            self.observer.resumption_ended(request, outcome, Some(origin));
        }
        result
    }
}

/// One request that is being forwarded.
struct ActiveRequest<'a> {
    forwarder: &'a Forwarder,
    request: &'a CallerRequest,
    route: &'a Route,
    access: &'a Access,
    catalog: &'a (dyn Fn() -> Arc<Catalog> + Sync),
    attempts: RetryState,
    deadline: Timestamp,
    tried: Vec<RunKey>,
    open: FuturesUnordered<BoxFuture<'a, EndedAttempt>>,
    open_runs: Vec<(RunKey, Timestamp)>,
    /// No hedged attempt is tried before this time, because the last try found no budget or no target.
    no_hedge_before: Timestamp,
    /// Whether the observer was notified that the request runs. A request counts once, however often it runs.
    is_counted: bool,
    /// Set on routes whose streams may be resumed.
    stream: Option<StreamAttempt>,
}

impl<'a> ActiveRequest<'a> {
    async fn run_until(&mut self, shutdown: impl Future<Output = ()> + Send) -> ForwardResult {
        let time_left = self.deadline.since(self.forwarder.clock.now()).as_std();
        let ended = {
            let run = async_std::future::timeout(time_left, self.run()).boxed();
            pin_mut!(shutdown);
            match select(run, shutdown).await {
                Either::Left((ended, _)) => Some(ended),
                Either::Right(((), _)) => None,
            }
        };
        match ended {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(self.attempts.timeout_refusal()),
            None => Err(self.attempts.shutdown_refusal()),
        }
    }

    async fn run(&mut self) -> ForwardResult {
        self.start_when_warm().await?;
        loop {
            let Some(ended) = self.next_ended().await else {
                continue;
            };
            self.open_runs.retain(|(run, _)| *run != ended.target.run);
            match ended.outcome {
                AttemptOutcome::Answered(answer) if !self.keeps_version(&ended.target, &answer) => {
                    let reason = "the target has other software than its entry said".to_owned();
                    let outcome = AttemptOutcome::Lost { reason };
                    self.failed(ended.target, outcome, ended.started_at).await?;
                }
                AttemptOutcome::Answered(mut answer) => {
                    answer.body = self.limit_stream(answer.body, &ended.target.run);
                    self.loads()
                        .answered(&ended.target.run, self.since(ended.started_at));
                    self.count_execution();
                    let attempts = self.tried.len();
                    return Ok(ForwardAnswer { answer, attempts });
                }
                outcome => self.failed(ended.target, outcome, ended.started_at).await?,
            }
        }
    }

    /// Records the origin of a stream that `target` answers. Returns whether the answer may be passed on.
    fn keeps_version(&self, target: &Target, answer: &TargetAnswer) -> bool {
        let Some(stream) = &self.stream else {
            return true;
        };
        let catalog = (self.catalog)();
        stream.answered(target, catalog.get(&target.run.id), answer.status)
    }

    fn service(&self) -> Option<&ServiceId> {
        let origin = self.stream.as_ref().and_then(StreamAttempt::origin);
        match origin {
            Some(origin) => Some(&origin.service),
            None => self.route.service_for(&self.request.id),
        }
    }

    fn software_filter(&self, service: &ServiceId, catalog: &Catalog) -> SoftwareFilter {
        let stream = self.stream.as_ref();
        stream.map_or(SoftwareFilter::Any, |stream| stream.filter(service, catalog))
    }

    /// Limits the pauses and the whole time of a streamed body. A target that exceeds the time counts as failed.
    fn limit_stream(&self, body: AnswerBody, run: &RunKey) -> AnswerBody {
        let AnswerBody::Stream(body) = body else {
            return body;
        };
        let stall_ms = DurationMs::new(self.route.objective_ms.get() * STREAM_STALL_OBJECTIVES);
        let body = limit_stalls(body, stall_ms.max(MIN_STREAM_STALL_MS));
        let clock = Arc::clone(&self.forwarder.clock);
        let time_left = self.deadline.since(clock.now());
        let (loads, run) = (Arc::clone(&self.forwarder.loads), run.clone());
        let on_expiry = move || lock(&loads).stream_failed(&run, clock.now());
        let limit = time_left.saturating_add(STREAM_END_MARGIN_MS);
        AnswerBody::Stream(limit_duration(body, limit, on_expiry))
    }

    /// Waits for an attempt to end. Returns `None` after the hedge delay, when it has tried to start a hedged attempt.
    async fn next_ended(&mut self) -> Option<EndedAttempt> {
        let Some(started_at) = self.open_runs.last().map(|(_, started_at)| *started_at) else {
            return self.open.next().await;
        };
        let Some(hedge_at) = self.attempts.hedge_at(started_at) else {
            return self.open.next().await;
        };
        let hedge_at = hedge_at.max(self.no_hedge_before);
        let wait = hedge_at.since(self.forwarder.clock.now()).as_std();
        let either = select(self.open.next(), task::sleep(wait).boxed()).await;
        if let Either::Left((ended, _)) = either {
            return ended;
        }
        drop(either);
        self.hedge(started_at);
        None
    }

    fn hedge(&mut self, started_at: Timestamp) {
        let is_allowed = lock(&self.forwarder.hedges).withdraw();
        let slow = self.open_runs.last().map(|(run, _)| run.clone());
        if is_allowed && self.start().is_ok() {
            if let Some(slow) = slow {
                self.forwarder
                    .observer
                    .hedged(self.request, &slow, self.since(started_at));
            }
            return;
        }
        self.no_hedge_before = self
            .forwarder
            .clock
            .now()
            .after(self.since(started_at).max(MIN_HEDGE_PAUSE_MS));
    }

    /// Starts an attempt on the best target that was not tried yet.
    fn start(&mut self) -> Result<(), ForwardRefusal> {
        let forwarder = self.forwarder;
        let Some(service) = self.service().cloned() else {
            return Err(no_target(format!("route {} has no service", self.route.name)));
        };
        let now = forwarder.clock.now();
        let catalog = (self.catalog)();
        let software = self.software_filter(&service, &catalog);
        let serving = catalog.serving(&service).filter(|target| software.admits(target));
        let cold = forwarder.cold.as_ref().filter(|gate| gate.has_cold());
        let target = {
            // The lock spans the decision and its record, so that no two requests use the same part of a quota.
            let mut loads = self.loads();
            // Targets that were tried are not chosen again, and must not count as held back.
            let allowed = serving.filter(|target| {
                cold.is_none_or(|gate| {
                    self.tried.contains(&target.run) || gate.may_send(target, SendKind::Live, now)
                })
            });
            let chosen = loads.choose(allowed, &self.tried, &forwarder.options.zone, now);
            if let (Some(gate), Some(target)) = (cold, chosen) {
                gate.record_send(target, SendKind::Live, now);
            }
            chosen.cloned()
        };
        let Some(target) = target else {
            if catalog.serving(&service).next().is_none() && catalog.has_evacuated(&service) {
                let message = format!("all targets of service {service} are in evacuated zones");
                return Err(evacuated(message, rand::random()));
            }
            let message = match self.stream.as_ref().and_then(StreamAttempt::origin) {
                Some(origin) => format!("no target of {origin} is available"),
                None => format!("no target of service {service} is available"),
            };
            return Err(no_target(message));
        };
        self.tried.push(target.run.clone());
        self.open_runs.push((target.run.clone(), now));
        self.attempts.started();
        let options = AttemptOptions {
            time_left_ms: self.deadline.since(now),
            organisation: self.access.organisation().cloned(),
            is_idempotent: self.attempts.is_idempotent(),
            streams: matches!(self.route.kind, RouteKind::Streaming { .. }),
        };
        let request = self.request;
        self.open.push(
            async move {
                let outcome = forwarder.client.send(&target, request, &options).await;
                let started_at = now;
                EndedAttempt {
                    target,
                    outcome,
                    started_at,
                }
            }
            .boxed(),
        );
        Ok(())
    }

    async fn failed(
        &mut self,
        target: Target,
        outcome: AttemptOutcome,
        started_at: Timestamp,
    ) -> Result<(), ForwardRefusal> {
        let now = self.forwarder.clock.now();
        match &outcome {
            AttemptOutcome::NotRun { .. } => self.loads().rejected(&target.run, now),
            _ => self.loads().failed(&target.run, now),
        }
        let took = self.since(started_at);
        self.forwarder
            .observer
            .attempt_failed(self.request, &target, &outcome, took);
        if matches!(outcome, AttemptOutcome::Lost { .. }) {
            self.count_execution();
        }
        match self.attempts.after_failure(&outcome, now, self.open_runs.len()) {
            RetryDecision::Wait => Ok(()),
            RetryDecision::Refuse(refusal) => Err(refusal),
            RetryDecision::Retry { after_ms } => {
                if after_ms.get() > 0 {
                    task::sleep(after_ms.as_std()).await;
                }
                self.start_again().await
            }
        }
    }

    /// Notifies the observer, once for each request, that it ran or may have run.
    fn count_execution(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            self.forwarder
                .observer
                .execution_started(self.access.organisation());
        }
    }

    /// Like [`Self::start`], but starts over with all targets when each one was tried.
    async fn start_again(&mut self) -> Result<(), ForwardRefusal> {
        if self.start().is_ok() {
            return Ok(());
        }
        self.tried.clear();
        let started = self.start_when_warm().await;
        started.map_err(|refused| self.attempts.no_target_left(refused))
    }

    /// Like [`Self::start`], but waits for a limited time while all targets are cold and have received their requests.
    async fn start_when_warm(&mut self) -> Result<(), ForwardRefusal> {
        let clock = &self.forwarder.clock;
        let give_up_at = clock.now().after(MAX_COLD_WAIT_MS).min(self.deadline);
        loop {
            let Err(refusal) = self.start() else {
                return Ok(());
            };
            let now = clock.now();
            let gate = self.forwarder.cold.as_ref();
            let catalog = (self.catalog)();
            let next_at = gate.zip(self.service()).and_then(|(gate, service)| {
                let software = self.software_filter(service, &catalog);
                let serving = catalog.serving(service);
                let serving = serving.filter(|target| software.admits(target));
                gate.next_send_at(serving, SendKind::Live, now)
            });
            let Some(next_at) = next_at.filter(|at| *at < give_up_at) else {
                return Err(refusal);
            };
            task::sleep(next_at.since(now).as_std()).await;
        }
    }

    /// Records attempts that are dropped as cancelled.
    fn release_open(&mut self) {
        let now = self.forwarder.clock.now();
        for (run, started_at) in std::mem::take(&mut self.open_runs) {
            lock(&self.forwarder.loads).cancelled(&run, now.since(started_at));
        }
    }

    fn since(&self, started_at: Timestamp) -> DurationMs {
        self.forwarder.clock.now().since(started_at)
    }

    fn loads(&self) -> MutexGuard<'a, TargetLoads> {
        lock(&self.forwarder.loads)
    }
}

impl Drop for ActiveRequest<'_> {
    /// The future is dropped when the caller disconnects. Its attempts no longer count as load of their targets.
    fn drop(&mut self) {
        self.release_open();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The counters are consistent even if another thread panicked while it held the lock.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
