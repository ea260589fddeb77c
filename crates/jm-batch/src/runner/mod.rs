//! Runs the batches that this host owns.

mod choose;
mod handover;
mod monitor;
mod recover;
mod rewards;
mod save;
mod share;
mod start;
mod write;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
    task,
};
use indexmap::IndexMap;
use jm_forward::{Catalog, ColdGate, RoutingTable, RunKey};
use jm_types::{BatchId, Clock, DurationMs, ModelId, Timestamp, WallClock, WeightVersion};

use crate::{
    BatchEvents, BatchResult, BatchSpec, BatchStore, CheckpointOptions, EngineLoads, GenerationEnd,
    Generator, LoadOptions, PauseDetector, PlanOptions, RemoteWork, ResultPage, RewardClient, RewardKey,
    RewardOptions, RewardQueue, RunEnd, WriteScheduleOptions,
    carry_over::{carry_over, stop_repeated_items},
    item_text::ItemText,
    owned::{OwnedBatch, Run},
    runner::write::mark_writing,
};

pub(crate) use handover::ReportedProgress;
use handover::free_capacity;
pub(crate) use recover::{PreviousBatch, RecoveredProgress};

/// Provides the routing configuration and the target catalog.
pub trait RoutingSource: Send + Sync {
    /// The configuration in force; `None` before the first one was received.
    fn routing(&self) -> Option<Arc<RoutingTable>>;

    /// The listed targets, including the engines.
    fn catalog(&self) -> Arc<Catalog>;

    /// Limits the requests to cold engines; `None` if nothing is limited.
    fn cold_gate(&self) -> Option<Arc<ColdGate>> {
        None
    }
}

/// Intervals and limits of the batch runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerOptions {
    /// Retry parameters of the items.
    pub plan: PlanOptions,
    /// Parameters of the engine selection.
    pub load: LoadOptions,
    /// Parameters of the reward calls.
    pub rewards: RewardOptions,
    /// Interval between checks for stalled runs while any item waits or runs.
    pub check_interval_ms: DurationMs,
    /// Time without an event after which a run counts as stalled, if another engine can accept its item.
    pub stall_ms: DurationMs,
    /// Replaces `stall_ms` before the first event, because a run may wait in the engine's queue.
    pub first_event_stall_ms: DurationMs,
    /// Maximum number of times that stalled runs of an item double its limit.
    pub max_stall_doublings: u32,
    /// Factor on both stall limits while no other engine can accept the item.
    pub no_alternative_stall_factor: u64,
    /// When finished results are written to the store.
    pub write_schedule: WriteScheduleOptions,
    /// When unfinished texts are saved, and which of them.
    pub checkpoint: CheckpointOptions,
    /// Delay before a failed write of results is retried.
    pub write_retry_delay_ms: DurationMs,
    /// Interval between reports on waiting items.
    pub report_interval_ms: DurationMs,
    /// Time without processor time after which the owners of this host's batches have to be confirmed.
    pub pause_threshold_ms: DurationMs,
    /// How long a batch waits after its route disappeared from the configuration, before it is given up.
    pub missing_route_timeout_ms: DurationMs,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            plan: PlanOptions::default(),
            load: LoadOptions::default(),
            rewards: RewardOptions::default(),
            check_interval_ms: DurationMs::new(100),
            stall_ms: DurationMs::new(400),
            first_event_stall_ms: DurationMs::new(700),
            max_stall_doublings: 4,
            no_alternative_stall_factor: 4,
            write_schedule: WriteScheduleOptions::default(),
            checkpoint: CheckpointOptions::default(),
            write_retry_delay_ms: DurationMs::new(150),
            report_interval_ms: DurationMs::new(1_000),
            pause_threshold_ms: DurationMs::new(1_000),
            missing_route_timeout_ms: DurationMs::new(5_000),
        }
    }
}

/// Time between two passes while no item waits or runs.
const IDLE_WAIT_MS: DurationMs = DurationMs::new(3_600_000);

pub(crate) struct RunnerDependencies {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) wall_clock: Arc<dyn WallClock>,
    pub(crate) store: BatchStore,
    pub(crate) generator: Arc<dyn Generator>,
    pub(crate) rewards: Arc<dyn RewardClient>,
    pub(crate) routing_source: Arc<dyn RoutingSource>,
    pub(crate) events: Arc<dyn BatchEvents>,
}

/// Properties of the copy of a batch that this host holds.
pub(crate) struct HeldBatch {
    /// Number of owners before this host.
    pub(crate) earlier_owners: u32,
    /// Whether another host accepted the batch, or is being asked to, and this host only ends its running items.
    pub(crate) is_handed_over: bool,
}

struct RunnerState {
    owned: IndexMap<BatchId, OwnedBatch>,
    loads: EngineLoads,
    rewards: RewardQueue,
    next_serial: u64,
    reported_at: Timestamp,
    /// Whether the owners of the batches are unknown after a pause. Nothing is started until they are confirmed.
    is_unconfirmed: bool,
}

impl RunnerState {
    /// Removes a batch, stops its runs and releases their capacity. All removals go through here, because an engine whose
    /// capacity is not released never receives another item.
    fn remove(&mut self, batch: &BatchId) -> Option<OwnedBatch> {
        let mut owned = self.owned.swap_remove(batch)?;
        let runs = owned.stop_all();
        owned.notify();
        end_runs(&mut self.loads, &runs);
        free_capacity(&mut self.loads, &owned.release_held(&[], Timestamp::default()));
        self.rewards.retain(|key| key.batch != *batch);
        Some(owned)
    }
}

pub(crate) struct Runner {
    options: RunnerOptions,
    deps: RunnerDependencies,
    state: Mutex<RunnerState>,
    wake: (Sender<()>, Receiver<()>),
    /// Holds a message after a pause until the owners are confirmed.
    pauses: (Sender<()>, Receiver<()>),
    /// Batches of other hosts, which share the engines.
    remote_work: Mutex<Arc<Vec<RemoteWork>>>,
}

impl Runner {
    pub(crate) fn new(options: RunnerOptions, deps: RunnerDependencies) -> Arc<Self> {
        let cold = || deps.routing_source.cold_gate();
        let state = RunnerState {
            owned: IndexMap::new(),
            loads: EngineLoads::new(options.load).with_cold_gate(cold()),
            rewards: RewardQueue::new(options.rewards).with_cold_gate(cold()),
            next_serial: 0,
            reported_at: Timestamp::default(),
            is_unconfirmed: false,
        };
        Arc::new(Self {
            options,
            deps,
            state: Mutex::new(state),
            wake: bounded(1),
            pauses: bounded(1),
            remote_work: Mutex::default(),
        })
    }

    /// Starts items on each change, and checks runs and batches periodically.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut next_check_at = self.now();
        let mut pauses = PauseDetector::new(self.options.pause_threshold_ms, self.now());
        loop {
            let wait = self.time_to_next_pass();
            // A wake-up and the timeout are handled alike.
            let _ = timeout(wait.as_std(), self.wake.1.recv()).await;
            if let Some(pause) = pauses.observe(wait, self.now()) {
                self.hold(pause);
            }
            if self.now() >= next_check_at {
                self.check_batches();
                next_check_at = self.now().after(self.options.check_interval_ms);
            }
            self.start_ready();
            self.start_rewards();
        }
    }

    /// Starts nothing until [`Self::resume`], because other hosts may own the batches now.
    fn hold(&self, pause: DurationMs) {
        let now = self.now();
        let mut state = self.state();
        state.is_unconfirmed = true;
        for owned in state.owned.values_mut() {
            owned.restart_time_limits(now);
        }
        drop(state);
        self.deps.events.paused(pause);
        // A full channel means that the owners are being confirmed already.
        let _ = self.pauses.0.try_send(());
    }

    /// Waits for the next pause.
    pub(crate) async fn next_pause(&self) {
        // The runner keeps a sender, so receiving cannot fail.
        let _ = self.pauses.1.recv().await;
    }

    /// Starts items again after the owners of the batches are confirmed.
    pub(crate) fn resume(&self) {
        self.state().is_unconfirmed = false;
        self.wake();
    }

    /// Handles stalled and slow runs, overdue batches, checkpoints and reports.
    fn check_batches(self: &Arc<Self>) {
        self.stop_changed();
        self.stop_stalled();
        self.expire_overdue();
        self.move_to_faster();
        self.save_texts();
        self.report_progress();
    }

    /// Triggers scheduling after a change that may let items start.
    pub(crate) fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.0.try_send(());
    }

    pub(crate) fn record_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        let now = self.now();
        self.state().loads.record_version(run, model, version, now);
        self.wake();
    }

    pub(crate) fn set_remote_work(&self, work: Vec<RemoteWork>) {
        *self.remote_work.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(work);
    }

    fn remote_work(&self) -> Arc<Vec<RemoteWork>> {
        Arc::clone(&self.remote_work.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Starts a batch that no host ran before. Returns whether it was started, see [`Self::insert`].
    pub(crate) fn start_new(self: &Arc<Self>, spec: Arc<BatchSpec>) -> bool {
        let owned = OwnedBatch::new(spec, Vec::new(), self.options.plan, self.now());
        self.insert(owned, None)
    }

    /// Starts to run a batch, unless this host runs it already. Returns whether it was started. `previous` is the
    /// submitter's previous batch, if this host did not run it.
    ///
    /// A batch may be started twice, because the store's event and the answer to the write that caused the event arrive
    /// in any order. The first start wins, because the runs of a replaced batch would keep their capacity for ever.
    fn insert(self: &Arc<Self>, mut owned: OwnedBatch, previous: Option<OwnedBatch>) -> bool {
        let batch = owned.spec.id.clone();
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        if state.owned.contains_key(&batch) {
            drop(guard);
            self.deps.events.start_repeated(&batch);
            return false;
        }
        for other in state.owned.values_mut() {
            let stopped = stop_repeated_items(other, &owned.spec, now);
            end_runs(&mut state.loads, &stopped);
        }
        let earlier = state.owned.values().chain(&previous);
        let carried = carry_over(&mut owned, earlier);
        let must_write = mark_writing(&mut owned);
        for item in owned.scoring_items() {
            let batch = batch.clone();
            state.rewards.push(RewardKey { batch, item }, now);
        }
        state.owned.insert(batch.clone(), owned);
        drop(guard);
        if carried.items > 0 {
            self.deps.events.carried_over(&batch, &carried);
        }
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch));
        }
        self.wake();
        true
    }

    pub(crate) fn owns(&self, batch: &BatchId) -> bool {
        self.state().owned.contains_key(batch)
    }

    /// What the decisions on the ownership of a batch need of this host's copy; `None` if it has none.
    pub(crate) fn held(&self, batch: &BatchId) -> Option<HeldBatch> {
        let state = self.state();
        state.owned.get(batch).map(|owned| HeldBatch {
            earlier_owners: owned.earlier_owners,
            is_handed_over: owned.is_handed_over,
        })
    }

    /// Batches whose results are all stored.
    pub(crate) fn finished_batches(&self) -> Vec<BatchId> {
        let state = self.state();
        let finished = state.owned.iter().filter(|(_, owned)| owned.is_finished());
        finished.map(|(batch, _)| batch.clone()).collect()
    }

    /// The lowest minimum version of each model over the batches with waiting items. No such batch can use an engine
    /// with an older version.
    pub(crate) fn lowest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        let state = self.state();
        let mut needed = IndexMap::new();
        for owned in state
            .owned
            .values()
            .filter(|owned| !owned.is_ended && owned.plan.waiting() > 0)
        {
            if let Some(model) = &owned.spec.model {
                let lowest = needed.entry(model.clone()).or_insert(owned.spec.min_version);
                *lowest = owned.spec.min_version.min(*lowest);
            }
        }
        needed
    }

    /// Batches that are neither ended nor finished.
    pub(crate) fn open_batches(&self) -> Vec<BatchId> {
        let state = self.state();
        let open = state
            .owned
            .iter()
            .filter(|(_, owned)| !owned.is_ended && !owned.is_finished());
        open.map(|(batch, _)| batch.clone()).collect()
    }

    /// Stops the runs of a batch that its submitter ended. Its results stay readable.
    pub(crate) fn end(&self, batch: &BatchId) {
        let mut state = self.state();
        let Some(owned) = state.owned.get_mut(batch).filter(|owned| !owned.is_ended) else {
            return;
        };
        owned.is_ended = true;
        let listed = owned.listed.len();
        let runs = owned.stop_all();
        let free = owned.release_held(&[], Timestamp::default());
        owned.notify();
        end_runs(&mut state.loads, &runs);
        free_capacity(&mut state.loads, &free);
        state.rewards.retain(|key| key.batch != *batch);
        drop(state);
        self.deps.events.ended(batch, listed);
        self.wake();
    }

    /// Stops running a batch, because another host runs it or this host shuts down. Returns its results; `None` if this
    /// host does not run it.
    pub(crate) fn release(&self, batch: &BatchId) -> Option<Vec<BatchResult>> {
        self.state().remove(batch).map(|owned| owned.listed)
    }

    /// The position from which the store may hold results that this host has not read. `None` when it has read all of
    /// them or does not run the batch.
    pub(crate) fn first_unread_position(&self, batch: &BatchId, after: usize) -> Option<usize> {
        let state = self.state();
        let owned = state
            .owned
            .get(batch)
            .filter(|owned| !owned.is_finished() && !owned.is_handed_over)?;
        let listed = owned.listed.len();
        // The writer of a running batch finds out itself.
        let has_lost_answer = owned.is_ended && owned.may_have_unread_piece;
        (owned.earlier_owners > 0 || has_lost_answer || after > listed).then_some(listed)
    }

    /// The partial texts of a batch's open items, for its next owner.
    pub(crate) fn open_texts(&self, batch: &BatchId) -> Vec<ItemText> {
        let state = self.state();
        state.owned.get(batch).map_or(Vec::new(), OwnedBatch::open_texts)
    }

    /// The specification of a batch that this host runs or has run; `None` for other batches.
    pub(crate) fn spec(&self, batch: &BatchId) -> Option<Arc<BatchSpec>> {
        let state = self.state();
        state.owned.get(batch).map(|owned| Arc::clone(&owned.spec))
    }

    /// Results from position `after` on. Waits until there is one; returns `None` when this host does not run the
    /// batch.
    pub(crate) async fn read(&self, batch: &BatchId, after: usize, wait: DurationMs) -> Option<ResultPage> {
        let deadline = self.now().after(wait);
        loop {
            let (page, changed) = self.page(batch, after)?;
            let left = deadline.since(self.now());
            let Some(changed) = changed.filter(|_| left.get() > 0) else {
                return Some(page);
            };
            if timeout(left.as_std(), changed.recv()).await.is_err() {
                return Some(page);
            }
        }
    }

    /// A page of results. If it is empty and results may follow, also a receiver for the next change.
    fn page(&self, batch: &BatchId, after: usize) -> Option<(ResultPage, Option<Receiver<()>>)> {
        let mut state = self.state();
        let owned = state.owned.get_mut(batch).filter(|owned| !owned.is_handed_over)?;
        let page = ResultPage::slice(&owned.listed, after, owned.spec.items.len());
        let is_open = !owned.is_ended && !owned.is_finished();
        let changed = (page.results.is_empty() && is_open).then(|| owned.wait());
        Some((page, changed))
    }

    /// Whether no item waits, runs or is scored.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.state();
        let mut owned = state.owned.values();
        state.rewards.is_empty()
            && owned.all(|owned| owned.is_ended || (owned.plan.waiting() == 0 && owned.runs.is_empty()))
    }

    fn report_failed_run(
        &self,
        batch: &BatchId,
        item: &str,
        run: &Run,
        end: &GenerationEnd,
        took: DurationMs,
        events: u64,
    ) {
        self.deps.events.run_failed(&RunEnd {
            batch,
            item,
            target: &run.target,
            software: run.origin.as_ref().map(|origin| &origin.software),
            end,
            took,
            events,
        });
    }

    fn now(&self) -> Timestamp {
        self.deps.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, RunnerState> {
        // A panic cannot leave the state inconsistent, because each change completes before any code that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn end_runs(loads: &mut EngineLoads, runs: &[Run]) {
    for run in runs {
        loads.run_ended(&run.target, run.tokens);
    }
}
