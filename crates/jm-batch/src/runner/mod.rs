//! Runs the batches that this host owns.

mod monitor;
mod save;
mod share;
mod start;
mod write;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
    task,
};
use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, RunKey};
use jm_types::{BatchId, Clock, DurationMs, ModelId, Timestamp, WallClock, WeightVersion};

use crate::{
    BatchEvents, BatchResult, BatchSpec, BatchStore, CheckpointOptions, EngineLoads, GenerationEnd,
    Generator, LoadOptions, PlanOptions, ResultPage, RunEnd, WriteScheduleOptions,
    carry_over::{carry_over, stop_repeated_items},
    checkpoint::longest_texts,
    engine_load::RemoteWork,
    owned::{ItemText, OwnedBatch, Run},
    runner::write::mark_writing,
};

/// What a runner knows of the world around it.
pub trait RoutingSource: Send + Sync {
    /// The configuration in force; none before the first one is known.
    fn routing(&self) -> Option<Arc<RoutingTable>>;

    /// The engines.
    fn catalog(&self) -> Arc<Catalog>;
}

/// Settings of a runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerOptions {
    /// Settings of the order of items.
    pub plan: PlanOptions,
    /// Settings of the choice of engines.
    pub load: LoadOptions,
    /// Time between two looks at runs that may stand still, while something runs.
    pub check_interval_ms: DurationMs,
    /// Pause between two events after which a run is taken to stand still, while another engine has room.
    pub stall_ms: DurationMs,
    /// The same for the first event, before which a run may wait in the engine's queue.
    pub first_event_stall_ms: DurationMs,
    /// Factor on both while no other engine has room.
    pub no_alternative_stall_factor: u64,
    /// When finished results are written.
    pub write_schedule: WriteScheduleOptions,
    /// When unfinished texts are saved.
    pub checkpoint: CheckpointOptions,
    /// Wait before a write that the store did not take is repeated.
    pub write_retry_delay_ms: DurationMs,
    /// Time between two reports on items that wait.
    pub report_interval_ms: DurationMs,
    /// How long a batch whose route is gone from the configuration waits before it is given up.
    pub missing_route_timeout_ms: DurationMs,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            plan: PlanOptions::default(),
            load: LoadOptions::default(),
            check_interval_ms: DurationMs::new(100),
            stall_ms: DurationMs::new(400),
            first_event_stall_ms: DurationMs::new(700),
            no_alternative_stall_factor: 4,
            write_schedule: WriteScheduleOptions::default(),
            checkpoint: CheckpointOptions::default(),
            write_retry_delay_ms: DurationMs::new(150),
            report_interval_ms: DurationMs::new(1_000),
            missing_route_timeout_ms: DurationMs::new(5_000),
        }
    }
}

/// Everything that carries a runner's decisions out.
pub(crate) struct RunnerDependencies {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) wall_clock: Arc<dyn WallClock>,
    pub(crate) store: BatchStore,
    pub(crate) generator: Arc<dyn Generator>,
    pub(crate) routing_source: Arc<dyn RoutingSource>,
    pub(crate) events: Arc<dyn BatchEvents>,
}

#[derive(Default)]
struct RunnerState {
    owned: IndexMap<BatchId, OwnedBatch>,
    loads: EngineLoads,
    next_serial: u64,
    reported_at: Timestamp,
}

/// What a new owner finds of a batch.
pub(crate) struct RecoveredProgress {
    /// Results in the store.
    pub(crate) listed: Vec<BatchResult>,
    /// What earlier owners handed on or saved.
    pub(crate) texts: Vec<ItemText>,
    /// Owners before this one. Failures that an owner saw are lost with it unless it handed them on, so later owners
    /// allow fewer.
    pub(crate) earlier_owners: u32,
    /// The submitter's batch before, if another host ran it.
    pub(crate) previous_batch: Option<PreviousBatch>,
}

/// A batch that another host ran and that its submitter ended.
pub(crate) struct PreviousBatch {
    pub(crate) spec: BatchSpec,
    /// Results in the store.
    pub(crate) listed: Vec<BatchResult>,
    /// Texts in the store.
    pub(crate) texts: Vec<ItemText>,
}

/// Runs the batches that this host owns.
pub(crate) struct Runner {
    options: RunnerOptions,
    deps: RunnerDependencies,
    state: Mutex<RunnerState>,
    wake: (Sender<()>, Receiver<()>),
    /// Batches that other hosts run; they share the engines.
    remote_work: Mutex<Arc<Vec<RemoteWork>>>,
}

impl Runner {
    pub(crate) fn new(options: RunnerOptions, deps: RunnerDependencies) -> Arc<Self> {
        let state = RunnerState {
            loads: EngineLoads::new(options.load),
            ..RunnerState::default()
        };
        Arc::new(Self {
            options,
            deps,
            state: Mutex::new(state),
            wake: bounded(1),
            remote_work: Mutex::default(),
        })
    }

    /// Starts runs whenever something changes, and looks after those that stand still.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let wait = match self.is_idle() {
                true => Duration::from_secs(3600),
                false => self.options.check_interval_ms.as_std(),
            };
            // Both a message and the end of the wait lead to the same context.
            let _ = timeout(wait, self.wake.1.recv()).await;
            self.stop_stalled();
            self.expire_overdue();
            self.start_ready();
            self.save_texts();
            self.report_progress();
        }
    }

    /// Something changed that may let items start.
    pub(crate) fn wake(&self) {
        // A full channel means that a look is due anyway.
        let _ = self.wake.0.try_send(());
    }

    pub(crate) fn record_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        self.state().loads.record_version(run, model, version);
        self.wake();
    }

    pub(crate) fn set_remote_work(&self, work: Vec<RemoteWork>) {
        *self.remote_work.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(work);
    }

    fn remote_work(&self) -> Arc<Vec<RemoteWork>> {
        Arc::clone(&self.remote_work.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Begins to run a batch that no host ran before.
    pub(crate) fn start_new(self: &Arc<Self>, spec: Arc<BatchSpec>) {
        let owned = OwnedBatch::new(spec, Vec::new(), self.options.plan, self.now());
        self.insert(owned, None);
    }

    /// Begins to run a batch that the store names this host the owner of.
    pub(crate) fn start_recovered(self: &Arc<Self>, spec: Arc<BatchSpec>, recovered: RecoveredProgress) {
        let is_taken_over = recovered.earlier_owners > 0;
        let mut plan = self.options.plan;
        if is_taken_over {
            plan.failure_factor = 1;
        }
        let mut owned = OwnedBatch::new(spec, recovered.listed, plan, self.now());
        owned.continue_texts(recovered.texts);
        owned.earlier_owners = recovered.earlier_owners;
        let earlier = recovered
            .previous_batch
            .map(|earlier| self.restore_previous(earlier));
        self.insert(owned, earlier);
    }

    fn restore_previous(&self, earlier: PreviousBatch) -> OwnedBatch {
        let spec = Arc::new(earlier.spec);
        let mut owned = OwnedBatch::new(spec, earlier.listed, self.options.plan, self.now());
        owned.continue_texts(longest_texts(earlier.texts));
        owned
    }

    /// Runs a batch from now on. `previous` is the submitter's batch before, if this host did not run it.
    fn insert(self: &Arc<Self>, mut owned: OwnedBatch, previous: Option<OwnedBatch>) {
        let batch = owned.spec.id.clone();
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        for other in state.owned.values_mut() {
            let stopped = stop_repeated_items(other, &owned.spec, now);
            end_runs(&mut state.loads, &stopped);
        }
        let earlier = state.owned.values().chain(&previous);
        let carried = carry_over(&mut owned, earlier);
        let must_write = mark_writing(&mut owned);
        state.owned.insert(batch.clone(), owned);
        drop(guard);
        if carried.items > 0 {
            self.deps.events.carried_over(&batch, &carried);
        }
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch));
        }
        self.wake();
    }

    pub(crate) fn owns(&self, batch: &BatchId) -> bool {
        self.state().owned.contains_key(batch)
    }

    /// Batches whose results are all listed.
    pub(crate) fn finished_batches(&self) -> Vec<BatchId> {
        let state = self.state();
        let finished = state.owned.iter().filter(|(_, owned)| owned.is_finished());
        finished.map(|(batch, _)| batch.clone()).collect()
    }

    /// The oldest weights that running batches accept, by model; engines with older ones are of no use to them.
    pub(crate) fn lowest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        let state = self.state();
        let mut needed = IndexMap::new();
        for owned in state
            .owned
            .values()
            .filter(|owned| !owned.is_ended && owned.plan.waiting() > 0)
        {
            if let Some(model) = &owned.spec.model {
                let least = needed.entry(model.clone()).or_insert(owned.spec.min_version);
                *least = owned.spec.min_version.min(*least);
            }
        }
        needed
    }

    /// Batches that still have work to do.
    pub(crate) fn open_batches(&self) -> Vec<BatchId> {
        let state = self.state();
        let open = state
            .owned
            .iter()
            .filter(|(_, owned)| !owned.is_ended && !owned.is_finished());
        open.map(|(batch, _)| batch.clone()).collect()
    }

    /// Stops the runs of a batch whose submitter ended it. Its results stay readable.
    pub(crate) fn end(&self, batch: &BatchId) {
        let mut state = self.state();
        let Some(owned) = state.owned.get_mut(batch).filter(|owned| !owned.is_ended) else {
            return;
        };
        owned.is_ended = true;
        let listed = owned.listed.len();
        let runs = owned.stop_all();
        owned.notify();
        end_runs(&mut state.loads, &runs);
        drop(state);
        self.deps.events.ended(batch, listed);
        self.wake();
    }

    /// Stops running a batch, because another host does or this one leaves. Returns its results.
    pub(crate) fn release(&self, batch: &BatchId) -> Option<Vec<BatchResult>> {
        let mut state = self.state();
        let mut owned = state.owned.swap_remove(batch)?;
        let runs = owned.stop_all();
        owned.notify();
        end_runs(&mut state.loads, &runs);
        Some(owned.listed)
    }

    /// From which position on the store may hold results that this host has not seen; none when it has seen all, or does
    /// not run the batch.
    pub(crate) fn first_unread_position(&self, batch: &BatchId, after: usize) -> Option<usize> {
        let state = self.state();
        let owned = state.owned.get(batch).filter(|owned| !owned.is_finished())?;
        let listed = owned.listed.len();
        (owned.earlier_owners > 0 || after > listed).then_some(listed)
    }

    /// The texts of open items of a batch, for its next owner.
    pub(crate) fn open_texts(&self, batch: &BatchId) -> Vec<ItemText> {
        let state = self.state();
        state.owned.get(batch).map_or(Vec::new(), OwnedBatch::open_texts)
    }

    /// The specification of a batch that this host runs or ran.
    pub(crate) fn spec(&self, batch: &BatchId) -> Option<Arc<BatchSpec>> {
        let state = self.state();
        state.owned.get(batch).map(|owned| Arc::clone(&owned.spec))
    }

    /// Results from a position on; waits for the first one. None when this host does not run the batch.
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

    /// A page, and what to wait for when it is empty and more can come.
    fn page(&self, batch: &BatchId, after: usize) -> Option<(ResultPage, Option<Receiver<()>>)> {
        let mut state = self.state();
        let owned = state.owned.get_mut(batch)?;
        let page = ResultPage::cut(&owned.listed, after, owned.spec.items.len());
        let is_open = !owned.is_ended && !owned.is_finished();
        let changed = (page.results.is_empty() && is_open).then(|| owned.wait());
        Some((page, changed))
    }

    /// Forgets finished batches that were submitted before a time of day.
    pub(crate) fn evict(&self, submitted_before_unix_ms: u64) {
        let mut state = self.state();
        state
            .owned
            .retain(|_, owned| owned.spec.submitted_unix_ms >= submitted_before_unix_ms);
    }

    /// Whether no item waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.state();
        state
            .owned
            .values()
            .all(|owned| owned.is_ended || (owned.plan.waiting() == 0 && owned.runs.is_empty()))
    }

    fn log_run(
        &self,
        batch: &BatchId,
        item: &str,
        target: &RunKey,
        end: &GenerationEnd,
        took: DurationMs,
        events: u64,
    ) {
        self.deps.events.run_failed(&RunEnd {
            batch,
            item,
            target,
            end,
            took,
            events,
        });
    }

    fn now(&self) -> Timestamp {
        self.deps.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, RunnerState> {
        // Each change of the state is complete before anything that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn end_runs(loads: &mut EngineLoads, runs: &[Run]) {
    for run in runs {
        loads.run_ended(&run.target, run.tokens);
    }
}
