//! The batch operations that any host offers to callers.

mod handover;
mod owner_notice;
mod previous;
mod read;
mod reconcile;
mod removal;
mod submit;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::task;
use async_trait::async_trait;
use futures::future::join;
use indexmap::IndexMap;
use jm_forward::RunKey;
use jm_platform::Version;
use jm_types::{
    BatchId, Clock, DurationMs, Incarnation, MemberId, ModelId, OrganisationId, Timestamp, WallClock,
    WeightVersion,
};
use snafu::Snafu;

use crate::{
    BatchEvents, BatchPhase, BatchResult, BatchSpec, BatchState, BatchStore, Displacement, Generator,
    Handover, HandoverReply, ItemText, MembershipView, OwnerNotice, PendingHandover, ProgressReport,
    ResultPage, RewardClient, RoutingSource, RunnerOptions, StateSource, StoreError,
    runner::{Runner, RunnerDependencies},
    store::WriteOutcome,
};

/// Calls other hosts about their batches.
#[async_trait]
pub trait BatchPeers: Send + Sync {
    /// Results of a batch that `owner` runs; `None` when it does not answer or does not run the batch.
    async fn read(
        &self,
        owner: &MemberId,
        batch: &BatchId,
        after: usize,
        wait: DurationMs,
    ) -> Option<ResultPage>;

    /// The body of an item of a batch that `owner` runs; `None` when it does not answer or does not run the batch.
    async fn body(&self, owner: &MemberId, batch: &BatchId, item: &str) -> Option<Vec<u8>>;

    /// Hands a batch over to the owner that its new state names, before that state is stored.
    async fn hand_over(&self, handover: Handover) -> HandoverReply;

    /// Reports the progress of a former owner to the current one. Returns whether the report was received.
    async fn report(&self, owner: &MemberId, report: ProgressReport) -> bool;

    /// Sends a notice to all other live hosts. A lost call is harmless.
    async fn notify(&self, notice: OwnerNotice);

    /// Sends a stored state to the owner that it names, with the partial texts of the previous owner. A lost call is
    /// harmless, because the owner also receives the state from the store.
    async fn announce(&self, state: &BatchState, version: Version, texts: Vec<ItemText>);
}

/// Identity, runner settings and retention of the batch service.
#[derive(Debug, Clone)]
pub struct BatchServiceOptions {
    /// Id of this host.
    pub local_member: MemberId,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Intervals and limits of the runner.
    pub runner: RunnerOptions,
    /// How long a batch is retained after it was finished or ended. It is removed from the store afterwards.
    pub retention_ms: DurationMs,
}

/// Clocks, store and clients that the service uses.
pub struct BatchServiceDependencies {
    /// Boot clock, for delays and deadlines.
    pub clock: Arc<dyn Clock>,
    /// Time of day, for submission and due times.
    pub wall_clock: Arc<dyn WallClock>,
    /// Store of the batch objects.
    pub store: BatchStore,
    /// Client that runs items on engines.
    pub generator: Arc<dyn Generator>,
    /// Client that sends reward calls.
    pub rewards: Arc<dyn RewardClient>,
    /// Source of the routing configuration and the engines.
    pub routing_source: Arc<dyn RoutingSource>,
    /// Membership as this host sees it.
    pub members: Arc<dyn MembershipView>,
    /// Client for calls to other hosts.
    pub peers: Arc<dyn BatchPeers>,
    /// Receiver of batch events for logs and metrics.
    pub events: Arc<dyn BatchEvents>,
}

/// Why a batch was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SubmitError {
    /// The batch was not stored and will not run.
    #[snafu(display("the batch could not be stored: {reason}"))]
    NotStored {
        /// Message of the store error.
        reason: String,
    },
    /// The outcome of the write is unknown, so the batch may be stored and run.
    #[snafu(display("it is unknown whether the batch was stored: {reason}"))]
    MayBeStored {
        /// Message of the store error.
        reason: String,
    },
    /// Another organisation has a batch with this id.
    #[snafu(display("the id is already used by another batch"))]
    IdInUse,
}

/// Why a batch cannot be read or ended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The organisation has no such batch.
    #[snafu(display("no such batch exists"))]
    NotFound,
    /// The store cannot be read now, so the existence or content of the batch is unknown.
    #[snafu(display("the batch cannot be read now: {reason}"))]
    Unavailable {
        /// Message of the store error.
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

/// Maximum attempts to change a state object.
const MAX_STATE_ATTEMPTS: usize = 8;
/// Delay after a failed attempt to change a state object.
const STATE_RETRY_DELAY_MS: DurationMs = DurationMs::new(200);
/// Maximum number of batches whose handed-over texts are held until this host takes the batches over.
const MAX_HANDED_OVER_BATCHES: usize = 16;
/// Maximum number of other hosts' batches whose results are cached.
const MAX_CACHED_RESULTS: usize = 6;

#[derive(Debug, Clone)]
struct CachedState {
    state: BatchState,
    version: Version,
    /// When another host last took the batch from this one.
    displaced_at: Option<Timestamp>,
}

#[derive(Default)]
struct ServiceState {
    cached_states: IndexMap<BatchId, CachedState>,
    /// Batches for which a takeover is in progress.
    taking_over: HashSet<BatchId>,
    results: IndexMap<BatchId, Arc<Vec<BatchResult>>>,
    specs: IndexMap<BatchId, Arc<BatchSpec>>,
    /// Texts that earlier owners handed over, until this host takes the batches over.
    handed_over: IndexMap<BatchId, Vec<ItemText>>,
    /// Handovers that this host accepted and that the store does not confirm yet.
    pending_handovers: IndexMap<BatchId, PendingHandover>,
    /// Hosts that run batches although the store does not name them yet.
    notices: IndexMap<BatchId, OwnerNotice>,
    /// States that name the next owners of the batches that this host handed over.
    handed_to: IndexMap<BatchId, BatchState>,
    is_leaving: bool,
}

impl ServiceState {
    /// Drops all that is cached under an id.
    fn forget(&mut self, batch: &BatchId) {
        self.cached_states.swap_remove(batch);
        self.results.swap_remove(batch);
        self.specs.swap_remove(batch);
        self.handed_over.swap_remove(batch);
        self.pending_handovers.swap_remove(batch);
        self.notices.shift_remove(batch);
        self.handed_to.swap_remove(batch);
    }

    /// Whether the cached state is of the same submission as `state`, so that what was read for `state` may be cached.
    fn is_current(&self, state: &BatchState) -> bool {
        let cached = self.cached_states.get(&state.batch);
        cached.is_some_and(|cached| cached.state.is_same_batch(state))
    }
}

/// Accepts, runs and reads batches, including those that other hosts run.
pub struct BatchService {
    options: BatchServiceOptions,
    deps: BatchServiceDependencies,
    runner: Arc<Runner>,
    state: Mutex<ServiceState>,
}

impl BatchService {
    /// Creates an idle service. [`Self::run`] starts it.
    pub fn new(options: BatchServiceOptions, deps: BatchServiceDependencies) -> Arc<Self> {
        let runner_deps = RunnerDependencies {
            clock: Arc::clone(&deps.clock),
            wall_clock: Arc::clone(&deps.wall_clock),
            store: deps.store.clone(),
            generator: Arc::clone(&deps.generator),
            rewards: Arc::clone(&deps.rewards),
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

    /// Runs the batches that this host owns. Never returns.
    pub async fn run(self: &Arc<Self>) {
        join(Arc::clone(&self.runner).run(), self.confirm_after_pauses()).await;
    }

    /// Triggers scheduling after a change of the configuration or the engines.
    pub fn routing_changed(&self) {
        self.runner.wake();
    }

    /// The lowest minimum version of each model over the batches of this host with waiting items.
    pub fn lowest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        self.runner.lowest_min_versions()
    }

    /// Work of the newest batch of each model in tokens, whatever its phase. It serves as the estimate for the next
    /// batch.
    pub fn demand(&self) -> IndexMap<ModelId, u64> {
        let state = self.state();
        let mut newest: IndexMap<ModelId, (u64, u64)> = IndexMap::new();
        for cached in state.cached_states.values() {
            let Some(model) = &cached.state.model else {
                continue;
            };
            let batch = (cached.state.submitted_unix_ms, cached.state.work_tokens);
            let entry = newest.entry(model.clone()).or_insert(batch);
            *entry = batch.max(*entry);
        }
        newest
            .into_iter()
            .map(|(model, (_, work))| (model, work))
            .collect()
    }

    /// The cached states of all batches.
    pub fn known_states(&self) -> Vec<BatchState> {
        let state = self.state();
        state
            .cached_states
            .values()
            .map(|cached| cached.state.clone())
            .collect()
    }

    /// The highest minimum version of each model over the running batches of all hosts.
    pub fn highest_min_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        let state = self.state();
        let mut highest = IndexMap::new();
        let running = state
            .cached_states
            .values()
            .filter(|cached| cached.state.phase == BatchPhase::Running);
        for cached in running {
            let Some(model) = &cached.state.model else {
                continue;
            };
            let version = highest.entry(model.clone()).or_insert(cached.state.min_version);
            *version = cached.state.min_version.max(*version);
        }
        highest
    }

    /// Records an engine's weight version from a source other than its responses to runs.
    pub fn record_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        self.runner.record_version(run, model, version);
    }

    /// Ends a batch. Its owner stops the running items when it receives the new state. The results stored so far stay
    /// readable.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch, or when the store rejects or does not confirm the change.
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

    /// Tries to end the batch. Returns `false` if the cached state was missing or outdated and has been reloaded for
    /// another attempt.
    async fn try_end(&self, batch: &BatchId) -> Result<bool, ReadError> {
        let Some(cached) = self.cached_state(batch) else {
            self.load_state(batch).await?;
            return Ok(false);
        };
        if cached.state.phase != BatchPhase::Running {
            return Ok(true);
        }
        let ended = cached
            .state
            .closed(BatchPhase::Ended, self.deps.wall_clock.unix_ms());
        match self.deps.store.update_state(&ended, cached.version).await {
            Ok(WriteOutcome::Applied(version)) => {
                self.cache_state(ended.clone(), version, StateSource::Write);
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

    /// Announces the end of a batch to its owner. The owner also receives it from the store, but a watch may be silent
    /// for seconds, in which more items would start.
    fn announce_to_owner(&self, ended: BatchState, version: Version) {
        if ended.owner != self.options.local_member {
            self.announce(ended, version);
        }
    }

    /// Sends a state to the owner that it names, without waiting for an answer.
    fn announce(&self, state: BatchState, version: Version) {
        let peers = Arc::clone(&self.deps.peers);
        task::spawn(async move { peers.announce(&state, version, Vec::new()).await });
    }

    /// Handles a stored state and partial texts that another host sent. Hosts of the previous release hand batches over
    /// with this message.
    pub fn receive_handover(self: &Arc<Self>, state: BatchState, version: Version, texts: Vec<ItemText>) {
        let batch = state.batch.clone();
        // First, because it drops the texts of an earlier batch with this id.
        let is_new = self.cache_state(state, version, StateSource::Peer);
        if !texts.is_empty() {
            insert_bounded(
                &mut self.state().handed_over,
                &batch,
                texts,
                MAX_HANDED_OVER_BATCHES,
            );
        }
        if is_new {
            self.reconcile();
        }
    }

    /// Handles a state object from the store's listing or watch.
    pub fn apply_state(self: &Arc<Self>, state: BatchState, version: Version) {
        if self.cache_state(state, version, StateSource::Watch) {
            self.reconcile();
        }
    }

    /// Drops all data of a batch whose state object was deleted from the store, and stops running it.
    pub fn evict(&self, batch: &BatchId) {
        self.state().forget(batch);
        self.runner.release(batch);
    }

    async fn state_for(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
    ) -> Result<BatchState, ReadError> {
        let state = match self.cached_state(batch) {
            Some(cached) => cached.state,
            None => self.load_state(batch).await?,
        };
        let is_removed = state.phase == BatchPhase::Removing;
        if is_removed || state.organisation.as_ref() != organisation {
            return NotFoundSnafu.fail();
        }
        Ok(state)
    }

    async fn load_state(&self, batch: &BatchId) -> Result<BatchState, ReadError> {
        let Some((state, version)) = self.deps.store.load_state(batch).await? else {
            return NotFoundSnafu.fail();
        };
        self.cache_state(state.clone(), version, StateSource::Read);
        Ok(state)
    }

    fn cached_state(&self, batch: &BatchId) -> Option<CachedState> {
        self.state().cached_states.get(batch).cloned()
    }

    /// Caches a state unless a newer one is cached. Returns whether the cache changed. If the state is of a later submission
    /// with the same id, all data of the earlier one is dropped, because this host has missed its removal from the store.
    fn cache_state(&self, state: BatchState, version: Version, source: StateSource) -> bool {
        let mut service_state = self.state();
        let cached = service_state.cached_states.get(&state.batch);
        if cached.is_some_and(|cached| version <= cached.version) {
            return false;
        }
        if cached.is_some_and(|cached| !cached.state.is_same_batch(&state)) {
            service_state.forget(&state.batch);
            self.runner.release(&state.batch);
        }
        let cached = service_state.cached_states.get(&state.batch);
        let is_own =
            |state: &BatchState| state.is_owned_by(&self.options.local_member, self.options.incarnation);
        let was_own = cached.is_some_and(|cached| is_own(&cached.state));
        let displaced_at = match was_own && !is_own(&state) {
            true => Some(self.deps.clock.now()),
            false => cached.and_then(|cached| cached.displaced_at),
        };
        if !is_own(&state) && self.runner.owns(&state.batch) {
            self.deps.events.displaced(&Displacement {
                batch: &state.batch,
                owner: &state.owner,
                phase: state.phase,
                earlier_owners: state.earlier_owners,
                source,
            });
        }
        let batch = state.batch.clone();
        let cached = CachedState {
            state,
            version,
            displaced_at,
        };
        service_state.cached_states.insert(batch, cached);
        true
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        // A panic cannot leave the state inconsistent, because each change completes before any code that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Inserts a value and evicts the oldest entries beyond the limit.
fn insert_bounded<T>(entries: &mut IndexMap<BatchId, T>, batch: &BatchId, value: T, limit: usize) {
    entries.shift_remove(batch);
    entries.insert(batch.clone(), value);
    while entries.len() > limit {
        entries.shift_remove_index(0);
    }
}
