//! In-memory engines, hosts and store for the batch tests.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

mod clock;
mod events;
mod peers;
mod scorers;
mod store;
pub(crate) mod virtual_engines;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{channel::Sender, task};
use async_trait::async_trait;
use indexmap::IndexMap;
use jm_batch::{
    BatchItem, BatchService, BatchServiceDependencies, BatchServiceOptions, BatchSpec, BatchStore,
    CheckpointOptions, EventSink, GenerationEnd, GenerationEvent, GenerationRequest, Generator,
    MembershipView, ResultPage, RewardOptions, RoutingSource, RunnerOptions, SpecMemory,
    WriteScheduleOptions,
};
use jm_forward::{
    BatchPolicy, CallerLimits, Catalog, ColdGate, EngineConfig, Route, RouteKind, RoutingTable, RunKey,
    Service, ServiceWeight, Target, TargetState,
};
use jm_platform::ObjectStore;
use jm_types::{
    BatchId, ByteSize, DurationMs, Incarnation, MemberId, ModelId, Revision, SystemClock, WallClock,
    WeightVersion,
};

pub(crate) use clock::JumpingClock;
pub(crate) use events::RecordedEvents;
pub(crate) use peers::SilentPeers;
#[allow(unused_imports, reason = "each test file uses a part of these helpers")]
pub(crate) use scorers::{ScoringScript, ScriptedScorers, scored, scorer, spec_with_rewards};
#[allow(unused_imports, reason = "each test file uses a part of these helpers")]
pub(crate) use store::{CallKind, FaultyStore, Hold};

/// Fails a test that would otherwise hang. No assertion depends on its length.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}

/// Time for which closed batches are kept.
pub(crate) const RETENTION_MS: DurationMs = DurationMs::new(600_000);

/// A batch of items of model `m` with the given expected tokens. Each item forms its own group.
pub(crate) fn spec(id: &str, expected_tokens: &[u64]) -> BatchSpec {
    let item = |(index, tokens): (usize, &u64)| BatchItem {
        id: format!("{id}-{index}"),
        path: "/draft/x".to_owned(),
        headers: IndexMap::new(),
        body: format!("body {index}").into_bytes(),
        tokens: 10_000,
        prompt_tokens: 10,
        expected_tokens: Some(*tokens),
        group: Some(format!("g{index}")),
        reward: None,
        prompt_parts: Vec::new(),
    };
    BatchSpec {
        id: id.parse().unwrap(),
        organisation: Some("parish".parse().unwrap()),
        host: "drafts.example".to_owned(),
        model: Some(model("m")),
        min_version: WeightVersion::new(1),
        is_single_version: false,
        wanted_groups: expected_tokens.len(),
        due_ms: DurationMs::new(7_500),
        give_up_ms: DurationMs::new(60_000),
        max_attempts: 2,
        priority: 1,
        submitted_unix_ms: SystemClock.unix_ms(),
        items: expected_tokens.iter().enumerate().map(item).collect(),
        memory: SpecMemory::default(),
    }
}

pub(crate) fn engine(id: &str, slots: usize, version: u64) -> Target {
    Target {
        run: RunKey {
            id: id.parse().unwrap(),
            started_unix_ms: 1,
        },
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots,
        state: TargetState::Serving,
        models: IndexMap::from([(model("m"), WeightVersion::new(version))]),
        software: None,
        cold_left_ms: DurationMs::new(0),
    }
}

pub(crate) fn routing() -> RoutingTable {
    let limits = CallerLimits {
        head_bytes: ByteSize::new(8_000),
        body_bytes: ByteSize::new(1_000_000),
        head_timeout_ms: DurationMs::new(1_000),
        idle_timeout_ms: DurationMs::new(1_000),
    };
    let mut table = RoutingTable::new(Revision::new(1), limits);
    table.add_service(Service {
        id: "engines".parse().unwrap(),
        engine: Some(EngineConfig {
            slots: 4,
            memory_tokens: None,
            models: vec![model("m")],
        }),
        capacity: None,
        cold_start: None,
    });
    table.add_route(Route {
        name: "drafts".to_owned(),
        host: "drafts.example".to_owned(),
        path_prefix: "/draft/".to_owned(),
        kind: RouteKind::Batch(BatchPolicy {
            due_ms: DurationMs::new(7_500),
            give_up_ms: DurationMs::new(60_000),
            is_single_version: false,
        }),
        timeout_ms: DurationMs::new(1_000),
        objective_ms: DurationMs::new(100),
        priority: 1,
        services: vec![ServiceWeight {
            service: "engines".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    });
    scorers::add_scoring_route(&mut table);
    table
}

/// The steps that an engine executes for one run.
pub(crate) type Script = Box<dyn Fn(&Target, &GenerationRequest) -> Vec<Step> + Send + Sync>;

/// One step of an engine.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Send(GenerationEvent),
    Wait(Duration),
    End(GenerationEnd),
    /// Tells the test that all steps before it are done.
    Signal(Sender<()>),
    /// Sends nothing more and never ends.
    Stall,
}

/// Sends events 1 to `count`, except those that the run already has, then completes.
pub(crate) fn text(request: &GenerationRequest, count: u64, version: u64) -> Vec<Step> {
    let first = request.resume_after.unwrap_or(0) + 1;
    let mut steps = vec![text_version(version)];
    steps.extend((first..=count).map(data));
    steps.push(Step::End(GenerationEnd::Complete));
    steps
}

pub(crate) fn text_version(version: u64) -> Step {
    Step::Send(GenerationEvent::Version(WeightVersion::new(version)))
}

pub(crate) fn data(index: u64) -> Step {
    Step::Send(GenerationEvent::Data {
        index,
        data: format!("e{index}"),
    })
}

pub(crate) struct ScriptedEngines {
    script: Script,
    /// Engine and item of each run, in start order.
    pub(crate) runs: Mutex<Vec<(String, String)>>,
    /// Batch, item and resume position of each run, in start order.
    pub(crate) starts: Mutex<Vec<(String, String, Option<u64>)>>,
    /// Number of runs that have not ended.
    pub(crate) open: AtomicU64,
}

#[async_trait]
impl Generator for ScriptedEngines {
    async fn generate(
        &self,
        target: &Target,
        request: &GenerationRequest,
        sink: EventSink<'_>,
    ) -> GenerationEnd {
        let item = request.spec.items[request.item].id.clone();
        let start = (request.spec.id.to_string(), item.clone(), request.resume_after);
        self.starts.lock().unwrap().push(start);
        self.runs.lock().unwrap().push((target.run.id.to_string(), item));
        let _open = OpenRun::new(&self.open);
        for step in (self.script)(target, request) {
            match step {
                Step::Send(event) => {
                    if sink(event).is_break() {
                        return GenerationEnd::Stopped;
                    }
                }
                Step::Wait(time) => task::sleep(time).await,
                Step::End(end) => return end,
                Step::Signal(done) => done.send(()).await.unwrap(),
                Step::Stall => std::future::pending().await,
            }
        }
        GenerationEnd::Complete
    }
}

/// Counts a run as open until it is dropped, also when the run is aborted.
struct OpenRun<'a>(&'a AtomicU64);

impl<'a> OpenRun<'a> {
    fn new(open: &'a AtomicU64) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(open)
    }
}

impl Drop for OpenRun<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) struct TestRouting {
    /// Limits nothing until a test sets limits.
    pub(crate) cold: Arc<ColdGate>,
    pub(crate) catalog: Mutex<Arc<Catalog>>,
}

impl RoutingSource for TestRouting {
    fn routing(&self) -> Option<Arc<RoutingTable>> {
        Some(Arc::new(routing()))
    }

    fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog.lock().unwrap())
    }

    fn cold_gate(&self) -> Option<Arc<ColdGate>> {
        Some(Arc::clone(&self.cold))
    }
}

/// Live hosts, in a membership view that all hosts of a test share.
#[derive(Default)]
pub(crate) struct Hosts {
    live: Mutex<Vec<(MemberId, Incarnation)>>,
}

impl Hosts {
    pub(crate) fn start(&self, member: &str) {
        let member: MemberId = member.parse().unwrap();
        self.live.lock().unwrap().push((member, Incarnation::new(1)));
    }

    pub(crate) fn kill(&self, member: &str) {
        self.live
            .lock()
            .unwrap()
            .retain(|(live, _)| live.as_str() != member);
    }
}

impl MembershipView for Hosts {
    fn is_isolated(&self) -> bool {
        false
    }

    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        self.live.lock().unwrap().contains(&(member.clone(), incarnation))
    }

    fn live(&self) -> Vec<(MemberId, Incarnation)> {
        self.live.lock().unwrap().clone()
    }
}

/// One host with its engines.
pub(crate) struct TestHost {
    pub(crate) service: Arc<BatchService>,
    pub(crate) engines: Arc<ScriptedEngines>,
    pub(crate) scorers: Arc<ScriptedScorers>,
    pub(crate) events: Arc<RecordedEvents>,
    pub(crate) routing: Arc<TestRouting>,
    pub(crate) peers: Arc<SilentPeers>,
    pub(crate) clock: Arc<JumpingClock>,
}

impl TestHost {
    pub(crate) fn start(
        name: &str,
        hosts: &Arc<Hosts>,
        store: &Arc<FaultyStore>,
        targets: Vec<Target>,
        script: Script,
    ) -> Self {
        Self::start_scored(name, hosts, store, targets, script, Box::new(|_, _| scored()))
    }

    /// Starts a host whose reward calls are answered by `scoring`.
    pub(crate) fn start_scored(
        name: &str,
        hosts: &Arc<Hosts>,
        store: &Arc<FaultyStore>,
        targets: Vec<Target>,
        script: Script,
        scoring: ScoringScript,
    ) -> Self {
        Self::start_patient(name, hosts, store, targets, script, scoring, 60)
    }

    /// Starts a host that stops runs without events only after `stall_ms`.
    pub(crate) fn start_patient(
        name: &str,
        hosts: &Arc<Hosts>,
        store: &Arc<FaultyStore>,
        targets: Vec<Target>,
        script: Script,
        scoring: ScoringScript,
        stall_ms: u64,
    ) -> Self {
        hosts.start(name);
        let scorers = Arc::new(ScriptedScorers::new(scoring));
        let engines = Arc::new(ScriptedEngines {
            script,
            runs: Mutex::default(),
            starts: Mutex::default(),
            open: AtomicU64::new(0),
        });
        let events = Arc::new(RecordedEvents::default());
        let routing = Arc::new(TestRouting {
            cold: Arc::new(ColdGate::new(name.parse().unwrap())),
            catalog: Mutex::new(Arc::new(targets.into_iter().collect())),
        });
        let peers = Arc::new(SilentPeers::default());
        let clock = Arc::new(JumpingClock::default());
        let options = BatchServiceOptions {
            local_member: name.parse().unwrap(),
            incarnation: Incarnation::new(1),
            runner: RunnerOptions {
                checkpoint: CheckpointOptions {
                    interval_ms: DurationMs::new(5),
                    min_unscored_ms: DurationMs::new(5),
                    ..CheckpointOptions::default()
                },
                write_schedule: WriteScheduleOptions {
                    interval_ms: DurationMs::new(1),
                    ..WriteScheduleOptions::default()
                },
                rewards: RewardOptions {
                    min_hedge_ms: DurationMs::new(20),
                    retry_delay_ms: DurationMs::new(5),
                    ..RewardOptions::default()
                },
                write_retry_delay_ms: DurationMs::new(5),
                check_interval_ms: DurationMs::new(10),
                stall_ms: DurationMs::new(stall_ms),
                first_event_stall_ms: DurationMs::new(stall_ms),
                ..RunnerOptions::default()
            },
            retention_ms: RETENTION_MS,
        };
        let parts = BatchServiceDependencies {
            clock: Arc::clone(&clock) as _,
            wall_clock: Arc::clone(&clock) as _,
            store: BatchStore::new(Arc::clone(store) as _),
            generator: Arc::clone(&engines) as _,
            rewards: Arc::clone(&scorers) as _,
            routing_source: Arc::clone(&routing) as _,
            members: Arc::clone(hosts) as _,
            peers: Arc::clone(&peers) as _,
            events: Arc::clone(&events) as _,
        };
        let service = BatchService::new(options, parts);
        let running = Arc::clone(&service);
        task::spawn(async move { running.run().await });
        Self {
            service,
            engines,
            scorers,
            events,
            routing,
            peers,
            clock,
        }
    }

    /// Lets this host hand batches over to `next` and report to it.
    pub(crate) fn connect(&self, name: &str, next: &Self) {
        let next = Arc::clone(&next.service);
        self.peers
            .hosts
            .lock()
            .unwrap()
            .insert(name.parse().unwrap(), next);
    }

    /// Replaces the listed targets, as a change of the platform's list would.
    pub(crate) fn set_targets(&self, targets: Vec<Target>) {
        *self.routing.catalog.lock().unwrap() = Arc::new(targets.into_iter().collect());
    }

    /// Waits until runs of `count` items have started.
    pub(crate) async fn started(&self, count: usize) {
        with_timeout(async {
            while self.engines.runs.lock().unwrap().len() < count {
                task::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    /// Waits until the store names this host as the owner of a batch that was handed over to it.
    pub(crate) async fn confirmed(&self) {
        with_timeout(async {
            while self.events.confirmed.load(Ordering::SeqCst) == 0 {
                task::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    /// Delivers all states in the store to the host, as its watch would.
    pub(crate) async fn sync_states(&self, store: &FaultyStore) {
        let listing = store.inner.list(jm_batch::BATCH_STATE_PREFIX).await.unwrap();
        for object in listing.objects {
            let state = serde_json::from_slice(&object.object.value).unwrap();
            self.service.apply_state(state, object.object.version);
        }
        self.service.reconcile();
    }

    /// Waits until at least `count` results are stored.
    pub(crate) async fn listed(&self, batch: &str, count: usize) -> ResultPage {
        let batch: BatchId = batch.parse().unwrap();
        let organisation = "parish".parse().unwrap();
        with_timeout(async {
            loop {
                let wait = DurationMs::new(50);
                let page = self.service.read(&batch, Some(&organisation), 0, wait).await;
                if let Ok(page) = page
                    && page.results.len() >= count
                {
                    return page;
                }
                task::sleep(Duration::from_millis(5)).await;
            }
        })
        .await
    }
}

pub(crate) async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    async_std::future::timeout(HANG_TIMEOUT, work)
        .await
        .expect("the operation ends before the timeout")
}

/// The complete text of an item with `count` events.
pub(crate) fn whole_text(count: u64) -> String {
    let events: Vec<String> = (1..=count).map(|index| format!("e{index}")).collect();
    events.join("\n")
}
