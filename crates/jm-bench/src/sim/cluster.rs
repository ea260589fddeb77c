//! Dispatch daemons, engines and sources that share one virtual clock.

use std::collections::{HashMap, VecDeque};

use jm_route::{
    CacheEvent, Class, DispatcherQuery, DispatcherTable, LoadReport, Outcome, QueuedRequest, TargetKind,
    TargetSpec, WindowBounds, choose_dispatcher,
};
use jm_types::{RequestId, Timestamp, TokenCount};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    EngineModel, FakeEngine, Router, Sequence, Source, StepEvent,
    ids::{member, organisation, service, target, zone},
};

/// Whether and with which delay engines report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Engines send no load reports.
    None,
    /// Engines report once a second, and each report arrives after this many milliseconds.
    Delayed(u64),
}

/// Size of a simulated cluster and parameters of its inputs.
#[derive(Debug, Clone, Copy)]
pub struct ClusterOptions {
    /// Number of dispatch daemons.
    pub daemons: usize,
    /// Engines owned by each daemon.
    pub engines_per_daemon: usize,
    /// Step durations and cache size of the engines.
    pub model: EngineModel,
    /// Bounds of the window of each engine, in tokens.
    pub window: WindowBounds,
    /// Interval at which daemons send summaries to the entry daemon.
    pub summary_ms: u64,
    /// Delay of cache events on the way to the daemon.
    pub event_delay_ms: u64,
    /// Cache events that are lost, per thousand.
    pub event_loss_per_thousand: u64,
    /// Whether and with which delay engines report their load.
    pub reports: LoadReports,
    /// Generated tokens per progress report to the daemon.
    pub progress_tokens: u64,
    /// Time in the queue after which a request expires.
    pub queue_timeout_ms: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            daemons: 1,
            engines_per_daemon: 4,
            model: EngineModel::default(),
            window: WindowBounds {
                min: 3_200,
                initial: 25_600,
                max: 25_600,
                time_limit_us: 60_000,
            },
            summary_ms: 1_000,
            event_delay_ms: 200,
            event_loss_per_thousand: 0,
            reports: LoadReports::None,
            progress_tokens: 4,
            queue_timeout_ms: 600_000,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct OpenRequest {
    source: usize,
    daemon: usize,
    engine: usize,
    submitted_ms: u64,
    sequence: Option<Sequence>,
    answer_tokens: u64,
    unreported: u64,
    wait_us: Option<u64>,
    queue_ms: u64,
}

/// A request whose answer is complete.
#[derive(Debug, Clone, Copy)]
pub struct Completed {
    /// Index of the request's source in [`Cluster::sources`].
    pub source: usize,
    /// Time of arrival.
    pub submitted_ms: u64,
    /// Time from arrival until a target was chosen.
    pub queue_ms: u64,
    /// Time from arrival until the first token.
    pub wait_us: u64,
    /// Time of the last token.
    pub finished_ms: u64,
}

/// A simulated cluster of dispatch daemons, engines and request sources.
pub struct Cluster {
    /// The options that the cluster was created with.
    pub options: ClusterOptions,
    /// One router per dispatch daemon.
    pub routers: Vec<Box<dyn Router>>,
    /// The engines. Daemon d owns `engines_per_daemon` engines, starting with engine d * `engines_per_daemon`.
    pub engines: Vec<FakeEngine>,
    /// The sources of requests, in the order in which they submit.
    pub sources: Vec<Source>,
    /// The requests whose answers are complete.
    pub completed: Vec<Completed>,
    /// Number of requests that were refused or expired in the queue.
    pub refused: u64,
    /// Number of requests sent to each engine.
    pub sent: Vec<u64>,
    /// Prefix hashes of all requests sent to engines, in the order of sending.
    pub prefixes_sent: Vec<Vec<u64>>,
    /// Batch size of each engine, summed over all milliseconds.
    pub load: Vec<u64>,
    served: HashMap<(usize, usize), u64>,
    offered: HashMap<(usize, usize), u64>,
    table: DispatcherTable,
    events: Vec<(u64, usize, CacheEvent)>,
    delayed_reports: VecDeque<(u64, usize, LoadReport)>,
    open: HashMap<RequestId, OpenRequest>,
    next_request: u64,
    random: StdRng,
    now_ms: u64,
}

impl Cluster {
    /// Creates a cluster of idle engines, with one router per daemon from `router`.
    pub fn new(options: ClusterOptions, sources: Vec<Source>, router: impl Fn() -> Box<dyn Router>) -> Self {
        let count = options.daemons * options.engines_per_daemon;
        let mut cluster = Self {
            routers: (0..options.daemons).map(|_| router()).collect(),
            engines: (0..count).map(|_| FakeEngine::new(options.model)).collect(),
            sources,
            completed: Vec::new(),
            refused: 0,
            sent: vec![0; count],
            load: vec![0; count],
            prefixes_sent: Vec::new(),
            delayed_reports: VecDeque::new(),
            served: HashMap::new(),
            offered: HashMap::new(),
            table: DispatcherTable::default(),
            events: Vec::new(),
            open: HashMap::new(),
            next_request: 0,
            random: StdRng::seed_from_u64(options.seed),
            now_ms: 0,
            options,
        };
        for daemon in 0..options.daemons {
            let specs = cluster.specs(daemon);
            cluster.routers[daemon].set_targets(specs, Timestamp::new(0));
        }
        cluster
    }

    /// Specifications of the engines that a daemon owns.
    pub fn specs(&self, daemon: usize) -> Vec<TargetSpec> {
        let first = daemon * self.options.engines_per_daemon;
        (first..first + self.options.engines_per_daemon)
            .map(|number| TargetSpec {
                id: target(number),
                zone: zone(0),
                service: service(),
                kind: TargetKind::Engine,
                window: self.options.window,
                leaving: false,
            })
            .collect()
    }

    /// Virtual time in milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    fn now(&self) -> Timestamp {
        Timestamp::new(self.now_ms)
    }

    /// Simulates the next `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.tick();
        }
    }

    fn tick(&mut self) {
        if self.now_ms.is_multiple_of(self.options.summary_ms) {
            self.exchange_summaries();
        }
        self.deliver_events();
        self.deliver_reports();
        self.submit_due();
        self.dispatch();
        self.step_engines();
        if self.now_ms.is_multiple_of(100) {
            self.expire();
        }
        self.now_ms += 1;
    }

    fn exchange_summaries(&mut self) {
        for (number, router) in self.routers.iter().enumerate() {
            for summary in router.summary() {
                self.table
                    .update(&member(number), summary, Timestamp::new(self.now_ms));
            }
        }
    }

    fn deliver_events(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.events = later;
        let due: Vec<(u64, usize, CacheEvent)> = due;
        for (_, engine, event) in due {
            self.routers[engine / self.options.engines_per_daemon].cache_event(&target(engine), &event);
        }
    }

    fn deliver_reports(&mut self) {
        let LoadReports::Delayed(delay_ms) = self.options.reports else {
            return;
        };
        if self.now_ms.is_multiple_of(1_000) {
            for (number, engine) in self.engines.iter().enumerate() {
                let in_flight = TokenCount::new(engine.tokens());
                let report = LoadReport {
                    in_flight,
                    at: Timestamp::new(self.now_ms),
                };
                self.delayed_reports
                    .push_back((self.now_ms + delay_ms, number, report));
            }
        }
        while let Some((_, engine, report)) = self.delayed_reports.pop_front_if(|(at, ..)| *at <= self.now_ms)
        {
            self.routers[engine / self.options.engines_per_daemon].load_report(&target(engine), report);
        }
    }

    fn submit_due(&mut self) {
        for source in 0..self.sources.len() {
            let due = self.sources[source].due(self.now_ms, &mut self.random);
            // After a refusal, a backlog source submits again in the next millisecond, one request per millisecond
            // while refusals continue.
            for _ in 0..due {
                if !self.submit(source) {
                    break;
                }
            }
        }
    }

    fn submit(&mut self, number: usize) -> bool {
        self.next_request += 1;
        let id = RequestId::new(self.next_request);
        let now = self.now();
        let source = &mut self.sources[number];
        let answer_tokens = source.draw_answer_tokens(&mut self.random);
        let prefix_hashes = source.draw_prefix_hashes(&mut self.random);
        let request = QueuedRequest {
            id,
            organisation: organisation(source.organisation),
            service: service(),
            class: source.class,
            prompt_tokens: TokenCount::new(source.prompt_tokens),
            max_tokens: TokenCount::new(source.answer_tokens * 2),
            prefix_hashes: prefix_hashes.clone(),
            deadline: Timestamp::new(self.now_ms + self.options.queue_timeout_ms),
            avoid: Vec::new(),
        };
        let sequence = Sequence {
            request: id,
            prompt_tokens: source.prompt_tokens,
            answer_tokens,
            prefix_hashes,
        };
        let tokens = source.prompt_tokens + answer_tokens;
        let second = (self.now_ms / 1_000) as usize;
        *self.offered.entry((number, second)).or_default() += tokens;
        let spread_index = self.sources[number].count;
        let daemon = self.choose(request.class, tokens, spread_index);
        if self.routers[daemon].submit(request, now).is_err() {
            self.refused += 1;
            return false;
        }
        self.sources[number].open += 1;
        let open = OpenRequest {
            source: number,
            daemon,
            engine: usize::MAX,
            submitted_ms: self.now_ms,
            sequence: Some(sequence),
            answer_tokens,
            unreported: 0,
            wait_us: None,
            queue_ms: 0,
        };
        self.open.insert(id, open);
        true
    }

    fn choose(&mut self, class: Class, tokens: u64, spread_index: u64) -> usize {
        if self.options.daemons == 1 {
            return 0;
        }
        let (service, own_zone) = (service(), zone(0));
        let query = DispatcherQuery {
            service: &service,
            class,
            prefix_hash: None,
            own_zone: &own_zone,
            spread_index,
            avoid: &[],
        };
        let now = self.now();
        let Some(chosen) = choose_dispatcher(query, &self.table, now, &mut self.random) else {
            return self.random.random_range(0..self.options.daemons);
        };
        self.table.record_sent(&chosen, &service, tokens);
        (0..self.options.daemons)
            .find(|number| member(*number) == chosen)
            .unwrap_or(0)
    }

    fn dispatch(&mut self) {
        let now = self.now();
        for daemon in 0..self.routers.len() {
            while let Some(assignment) = self.routers[daemon].next(now) {
                let first = daemon * self.options.engines_per_daemon;
                let own = first..first + self.options.engines_per_daemon;
                let engine = own
                    .into_iter()
                    .find(|number| target(*number) == assignment.target);
                let engine = engine.expect("a daemon assigns its own engines");
                self.admit(assignment.request, engine);
            }
        }
    }

    fn admit(&mut self, request: RequestId, engine: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.engine = engine;
        open.queue_ms = self.now_ms - open.submitted_ms;
        let Some(sequence) = open.sequence.take() else {
            return;
        };
        self.sent[engine] += 1;
        let stored = sequence.prefix_hashes.clone();
        self.prefixes_sent.push(stored.clone());
        self.engines[engine].admit(sequence, self.now_ms * 1_000);
        if !stored.is_empty() {
            let evicted = self.engines[engine].take_evicted();
            self.publish(engine, CacheEvent::Stored(stored));
            if !evicted.is_empty() {
                self.publish(engine, CacheEvent::Evicted(evicted));
            }
        }
    }

    fn publish(&mut self, engine: usize, event: CacheEvent) {
        if self.random.random_range(0..1_000) >= self.options.event_loss_per_thousand {
            self.events
                .push((self.now_ms + self.options.event_delay_ms, engine, event));
        }
    }

    fn step_engines(&mut self) {
        let end_us = (self.now_ms + 1) * 1_000;
        let mut events = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            self.load[number] += engine.batch() as u64;
            engine.advance(end_us, |event, at_us| events.push((event, at_us)));
        }
        for (event, at_us) in events {
            match event {
                StepEvent::Token(request) => self.token(request, at_us),
                StepEvent::End(request) => self.end(request, at_us),
            }
        }
    }

    fn token(&mut self, request: RequestId, at_us: u64) {
        let now = self.now();
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let second = (self.now_ms / 1_000) as usize;
        let served = self.served.entry((open.source, second)).or_default();
        let first = open.wait_us.is_none();
        if first {
            open.wait_us = Some(at_us - open.submitted_ms * 1_000);
            *served += self.sources[open.source].prompt_tokens;
        }
        *served += 1;
        open.unreported += 1;
        if first || open.unreported >= self.options.progress_tokens {
            let tokens = TokenCount::new(std::mem::take(&mut open.unreported));
            self.routers[open.daemon].progress(request, tokens, now);
        }
    }

    fn end(&mut self, request: RequestId, at_us: u64) {
        self.token(request, at_us);
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let total = TokenCount::new(open.answer_tokens);
        let now = self.now();
        self.routers[open.daemon].finish(request, Outcome::Finished(total), now);
        self.sources[open.source].open -= 1;
        self.completed.push(Completed {
            source: open.source,
            submitted_ms: open.submitted_ms,
            queue_ms: open.queue_ms,
            wait_us: open.wait_us.unwrap_or(0),
            finished_ms: self.now_ms,
        });
    }

    fn expire(&mut self) {
        let now = self.now();
        for daemon in 0..self.routers.len() {
            for request in self.routers[daemon].expire(now) {
                self.refused += 1;
                if let Some(open) = self.open.remove(&request) {
                    self.sources[open.source].open -= 1;
                }
            }
        }
    }

    /// Tokens served to a source in the seconds `from..to`. Prompt tokens count with the first token.
    pub fn served(&self, source: usize, from: usize, to: usize) -> u64 {
        let seconds = from..to;
        seconds
            .map(|second| self.served.get(&(source, second)).copied().unwrap_or(0))
            .sum()
    }

    /// Prompt and answer tokens of the requests that arrived in the seconds `from..to`, including refused requests.
    pub fn offered(&self, source: usize, from: usize, to: usize) -> u64 {
        let seconds = from..to;
        seconds
            .map(|second| self.offered.get(&(source, second)).copied().unwrap_or(0))
            .sum()
    }

    /// Times to the first token, in ascending order, of a source's requests that arrived at `from_ms` or later.
    pub fn waits_us(&self, source: usize, from_ms: u64) -> Vec<u64> {
        let own = self
            .completed
            .iter()
            .filter(|request| request.source == source && request.submitted_ms >= from_ms);
        let mut waits: Vec<u64> = own.map(|request| request.wait_us).collect();
        waits.sort_unstable();
        waits
    }
}
