//! What callers ask of batches, on any host.

mod previous;
mod read;
mod reconcile;
mod submit;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::task;
use async_trait::async_trait;
use indexmap::IndexMap;
use jm_forward::RunKey;
use jm_platform::Version;
use jm_types::{
    BatchId, Clock, DurationMs, Incarnation, MemberId, ModelId, OrganisationId, Timestamp, WallClock,
    WeightVersion,
};
use snafu::Snafu;

use crate::{
    BatchEvents, BatchPhase, BatchResult, BatchSpec, BatchState, BatchStore, Generator, ItemText,
    MembershipView, ResultPage, RoutingSource, RunnerOptions, StoreError,
    runner::{Runner, RunnerDependencies},
    store::WriteOutcome,
};

/// Reaches the hosts that run batches.
#[async_trait]
pub trait BatchPeers: Send + Sync {
    /// Results of a batch that `owner` runs; none when it does not answer or does not run the batch.
    async fn read(
        &self,
        owner: &MemberId,
        batch: &BatchId,
        after: usize,
        wait: DurationMs,
    ) -> Option<ResultPage>;

    /// The body of an item of a batch that `owner` runs; none when it does not answer or does not run the batch.
    async fn body(&self, owner: &MemberId, batch: &BatchId, item: &str) -> Option<Vec<u8>>;

    /// Tells the owner that a state names that it owns the batch now, and hands on the texts so far. It hears of the
    /// batch from the store as well.
    async fn announce(&self, state: &BatchState, version: Version, texts: Vec<ItemText>);
}

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct BatchServiceOptions {
    /// This host.
    pub local_member: MemberId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Settings of the runner.
    pub runner: RunnerOptions,
    /// How long a batch can be read after its submission.
    pub retention_ms: DurationMs,
}

/// Parts that the service works with.
pub struct BatchServiceDependencies {
    /// The boot clock.
    pub clock: Arc<dyn Clock>,
    /// The time of day.
    pub wall_clock: Arc<dyn WallClock>,
    /// The store.
    pub store: BatchStore,
    /// Runs items.
    pub generator: Arc<dyn Generator>,
    /// Configuration and engines.
    pub routing_source: Arc<dyn RoutingSource>,
    /// The hosts.
    pub members: Arc<dyn MembershipView>,
    /// Reaches the hosts.
    pub peers: Arc<dyn BatchPeers>,
    /// Is told of decisions.
    pub events: Arc<dyn BatchEvents>,
}

/// Why a batch was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SubmitError {
    /// Nothing of it is kept and nothing will run.
    #[snafu(display("the batch could not be stored: {reason}"))]
    NotStored {
        /// The cause.
        reason: String,
    },
    /// It may be kept and run.
    #[snafu(display("whether the batch was stored is not known: {reason}"))]
    MayBeStored {
        /// The cause.
        reason: String,
    },
    /// Another organisation has a batch with this id.
    #[snafu(display("the id belongs to another batch"))]
    IdInUse,
}

/// Why a batch cannot be read or ended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// No such batch exists for the organisation.
    #[snafu(display("no such batch exists"))]
    NotFound,
    /// Whether it exists, or what it holds, cannot be told now.
    #[snafu(display("the batch cannot be read now: {reason}"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Unavailable {
            reason: error.to_string(),
        }
    }
}

/// Tries of a change of a state object.
const MAX_STATE_ATTEMPTS: usize = 8;
/// Wait between them.
const STATE_RETRY_DELAY_MS: DurationMs = DurationMs::new(200);
/// Batches whose handed texts are kept at the same time.
const MAX_HANDED_OVER_BATCHES: usize = 16;
/// Batches of other hosts whose results are kept in memory.
const MAX_CACHED_RESULTS: usize = 6;

#[derive(Debug, Clone)]
struct CachedState {
    state: BatchState,
    version: Version,
    /// When another host took the batch from this one, last time.
    displaced_at: Option<Timestamp>,
}

#[derive(Default)]
struct ServiceState {
    known: IndexMap<BatchId, CachedState>,
    /// Batches that are being taken over.
    taking_over: HashSet<BatchId>,
    results: IndexMap<BatchId, Arc<Vec<BatchResult>>>,
    specs: IndexMap<BatchId, Arc<BatchSpec>>,
    /// Texts that earlier owners handed on, until this host takes their batches over.
    handed_over: IndexMap<BatchId, Vec<ItemText>>,
    is_leaving: bool,
}

/// Batches on this host: those it runs and those of others.
pub struct BatchService {
    options: BatchServiceOptions,
    deps: BatchServiceDependencies,
    runner: Arc<Runner>,
    state: Mutex<ServiceState>,
}

impl BatchService {
    /// A service that runs nothing yet. [`Self::run`] starts it.
    pub fn new(options: BatchServiceOptions, deps: BatchServiceDependencies) -> Arc<Self> {
        let runner_deps = RunnerDependencies {
            clock: Arc::clone(&deps.clock),
            wall_clock: Arc::clone(&deps.wall_clock),
            store: deps.store.clone(),
            generator: Arc::clone(&deps.generator),
            routing_source: Arc::clone(&deps.routing_source),
            events: Arc::clone(&deps.events),
        };
        Arc::new(Self {
            runner: Runner::new(options.runner, runner_deps),
            options,
            deps,
            state: Mutex::default(),
        })
    }

    /// Runs the batches of this host.
    pub async fn run(&self) {
        Arc::clone(&self.runner).run().await;
    }

    /// Configuration or engines changed.
    pub fn routing_changed(&self) {
        self.runner.wake();
    }

    /// The oldest weights that running batches of this host accept, by model.
    pub fn lowest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        self.runner.lowest_min_versions()
    }

    /// Work of the newest batch of each model, whatever became of it: the next one will be about as large.
    pub fn demand(&self) -> IndexMap<ModelId, u64> {
        let state = self.state();
        let mut newest: IndexMap<ModelId, (u64, u64)> = IndexMap::new();
        for known in state.known.values() {
            let Some(model) = &known.state.model else { continue };
            let batch = (known.state.submitted_unix_ms, known.state.work_tokens);
            let entry = newest.entry(model.clone()).or_insert(batch);
            *entry = batch.max(*entry);
        }
        newest
            .into_iter()
            .map(|(model, (_, work))| (model, work))
            .collect()
    }

    /// The states of all batches that are known.
    pub fn known_states(&self) -> Vec<BatchState> {
        let state = self.state();
        state.known.values().map(|known| known.state.clone()).collect()
    }

    /// The newest of the oldest weights that running batches of all hosts accept, by model.
    pub fn highest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        let state = self.state();
        let mut wanted = IndexMap::new();
        let running = state
            .known
            .values()
            .filter(|known| known.state.phase == BatchPhase::Running);
        for known in running {
            let Some(model) = &known.state.model else { continue };
            let version = wanted.entry(model.clone()).or_insert(known.state.min_version);
            *version = known.state.min_version.max(*version);
        }
        wanted
    }

    /// An engine's weights became known by other means than its answers.
    pub fn record_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        self.runner.record_version(run, model, version);
    }

    /// Ends a batch: nothing of it runs afterwards, and what is listed stays.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch, or when the store does not take the end.
    pub async fn end(&self, batch: &BatchId, organisation: Option<&OrganisationId>) -> Result<(), ReadError> {
        let mut reason = String::new();
        self.state_for(batch, organisation).await?;
        for _ in 0..MAX_STATE_ATTEMPTS {
            match self.try_end(batch).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => {
                    reason = error.to_string();
                    task::sleep(STATE_RETRY_DELAY_MS.as_std()).await;
                }
            }
        }
        UnavailableSnafu { reason }.fail()
    }

    /// Whether the batch is ended now; `false` asks for another try with what the store holds by now.
    async fn try_end(&self, batch: &BatchId) -> Result<bool, ReadError> {
        let Some(known) = self.known(batch) else {
            self.load_state(batch).await?;
            return Ok(false);
        };
        if known.state.phase != BatchPhase::Running {
            return Ok(true);
        }
        let ended = BatchState {
            phase: BatchPhase::Ended,
            ..known.state
        };
        match self.deps.store.update_state(&ended, known.version).await {
            Ok(WriteOutcome::Applied(version)) => {
                self.cache_state(ended.clone(), version);
                self.runner.end(batch);
                self.announce_to_owner(ended, version);
                Ok(true)
            }
            Ok(WriteOutcome::Conflict) | Err(StoreError::Unknown { .. }) => {
                self.load_state(batch).await?;
                Ok(false)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Tells the owner of the end of a batch. It would hear of it from the store too, but a watch may be silent for
    /// seconds, in which more items would start.
    fn announce_to_owner(&self, ended: BatchState, version: Version) {
        if ended.owner != self.options.local_member {
            self.announce(ended, version);
        }
    }

    /// Tells the owner that a state names what the state is, without a wait for its answer.
    fn announce(&self, state: BatchState, version: Version) {
        let peers = Arc::clone(&self.deps.peers);
        task::spawn(async move { peers.announce(&state, version, Vec::new()).await });
    }

    /// Another host hands a batch on.
    pub fn receive_handover(self: &Arc<Self>, state: BatchState, version: Version, texts: Vec<ItemText>) {
        if !texts.is_empty() {
            insert_bounded(
                &mut self.state().handed_over,
                &state.batch,
                texts,
                MAX_HANDED_OVER_BATCHES,
            );
        }
        self.apply_state(state, version);
    }

    /// A state object as the store shows it.
    pub fn apply_state(self: &Arc<Self>, state: BatchState, version: Version) {
        if self.cache_state(state, version) {
            self.reconcile();
        }
    }

    /// State objects that are gone from the store.
    pub fn evict(&self, batch: &BatchId) {
        let mut state = self.state();
        state.known.swap_remove(batch);
        state.results.swap_remove(batch);
        state.specs.swap_remove(batch);
    }

    async fn state_for(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
    ) -> Result<BatchState, ReadError> {
        let state = match self.known(batch) {
            Some(known) => known.state,
            None => self.load_state(batch).await?,
        };
        if state.organisation.as_ref() != organisation {
            return NotFoundSnafu.fail();
        }
        Ok(state)
    }

    async fn load_state(&self, batch: &BatchId) -> Result<BatchState, ReadError> {
        let Some((state, version)) = self.deps.store.load_state(batch).await? else {
            return NotFoundSnafu.fail();
        };
        self.cache_state(state.clone(), version);
        Ok(state)
    }

    fn known(&self, batch: &BatchId) -> Option<CachedState> {
        self.state().known.get(batch).cloned()
    }

    /// Takes note of a state unless a newer one is known; returns whether it was new.
    fn cache_state(&self, state: BatchState, version: Version) -> bool {
        let mut service_state = self.state();
        let known = service_state.known.get(&state.batch);
        if known.is_some_and(|known| version <= known.version) {
            return false;
        }
        let is_own =
            |state: &BatchState| state.is_owned_by(&self.options.local_member, self.options.incarnation);
        let was_own = known.is_some_and(|known| is_own(&known.state));
        let displaced_at = match was_own && !is_own(&state) {
            true => Some(self.deps.clock.now()),
            false => known.and_then(|known| known.displaced_at),
        };
        let batch = state.batch.clone();
        let known = CachedState {
            state,
            version,
            displaced_at,
        };
        service_state.known.insert(batch, known);
        true
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        // Each change is complete before anything that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a value and drops the oldest ones over the limit.
fn insert_bounded<T>(kept: &mut IndexMap<BatchId, T>, batch: &BatchId, value: T, limit: usize) {
    kept.shift_remove(batch);
    kept.insert(batch.clone(), value);
    while kept.len() > limit {
        kept.shift_remove_index(0);
    }
}
