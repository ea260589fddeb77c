//! What callers ask of batches, on any host.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::task;
use async_trait::async_trait;
use futures::{FutureExt, future::BoxFuture};
use indexmap::IndexMap;
use jm_forward::RunKey;
use jm_platform::Version;
use jm_route::owner_by_key;
use jm_types::{
    BatchId, Clock, DurationMs, Incarnation, MemberId, ModelId, OrganisationId, WallClock, WeightVersion,
};
use snafu::Snafu;

use crate::{
    BatchEvents, BatchMembers, BatchPhase, BatchResult, BatchSpec, BatchState, BatchStore, BatchWorld,
    Generator, ResultPage, RunnerOptions, StoreError, Takeover,
    engine_load::ForeignWork,
    runner::{Runner, RunnerParts},
    state::owner_key,
    store::Changed,
    takeover,
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

    /// Tells a host that it owns a batch now; it also hears of it from the store.
    async fn announce(&self, owner: &MemberId, state: &BatchState, version: Version);
}

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct BatchServiceOptions {
    /// This host.
    pub own: MemberId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Settings of the runner.
    pub runner: RunnerOptions,
    /// How long a batch can be read after its submission.
    pub keep_ms: DurationMs,
}

/// Parts that the service works with.
pub struct BatchServiceParts {
    /// The boot clock.
    pub clock: Arc<dyn Clock>,
    /// The time of day.
    pub wall: Arc<dyn WallClock>,
    /// The store.
    pub store: BatchStore,
    /// Runs items.
    pub generator: Arc<dyn Generator>,
    /// Configuration and engines.
    pub world: Arc<dyn BatchWorld>,
    /// The hosts.
    pub members: Arc<dyn BatchMembers>,
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
    TakenId,
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
    CannotTell {
        /// The cause.
        reason: String,
    },
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::CannotTell {
            reason: error.to_string(),
        }
    }
}

/// Tries of a create whose answer was lost. A create is idempotent: a second one finds the first.
const CREATE_TRIES: usize = 3;
/// Tries of a change of a state object.
const STATE_TRIES: usize = 8;
/// Wait between them.
const STATE_RETRY_MS: DurationMs = DurationMs::new(200);
/// Interval at which a reader looks for results in the store when the owner does not answer.
const STORE_POLL_MS: DurationMs = DurationMs::new(300);
/// Batches of other hosts whose results are kept in memory.
const KEPT_RESULTS: usize = 6;
/// Specifications of other hosts' batches that are kept in memory.
const KEPT_SPECS: usize = 3;

#[derive(Debug, Clone)]
struct Known {
    state: BatchState,
    version: Version,
}

#[derive(Default)]
struct ServiceState {
    known: IndexMap<BatchId, Known>,
    /// Batches that are being taken over.
    claiming: HashSet<BatchId>,
    results: IndexMap<BatchId, Arc<Vec<BatchResult>>>,
    specs: IndexMap<BatchId, Arc<BatchSpec>>,
    is_leaving: bool,
}

/// Batches on this host: those it runs and those of others.
pub struct BatchService {
    options: BatchServiceOptions,
    parts: BatchServiceParts,
    runner: Arc<Runner>,
    state: Mutex<ServiceState>,
}

impl BatchService {
    /// A service that runs nothing yet. [`Self::run`] starts it.
    pub fn new(options: BatchServiceOptions, parts: BatchServiceParts) -> Arc<Self> {
        let runner_parts = RunnerParts {
            clock: Arc::clone(&parts.clock),
            wall: Arc::clone(&parts.wall),
            store: parts.store.clone(),
            generator: Arc::clone(&parts.generator),
            world: Arc::clone(&parts.world),
            events: Arc::clone(&parts.events),
        };
        Arc::new(Self {
            runner: Runner::new(options.runner, runner_parts),
            options,
            parts,
            state: Mutex::default(),
        })
    }

    /// Runs the batches of this host.
    pub async fn run(&self) {
        Arc::clone(&self.runner).run().await;
    }

    /// Configuration or engines changed.
    pub fn world_changed(&self) {
        self.runner.wake();
    }

    /// The oldest weights that running batches of this host accept, by model.
    pub fn needed_versions(&self) -> IndexMap<ModelId, WeightVersion> {
        self.runner.needed_versions()
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

    /// The newest of the oldest weights that running batches of all hosts accept, by model.
    pub fn wanted_versions(&self) -> IndexMap<ModelId, WeightVersion> {
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
    pub fn saw_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        self.runner.saw_version(run, model, version);
    }

    /// Keeps a batch and runs it. The same batch may be submitted again.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take it; the error tells whether it may run all the same.
    pub async fn submit(self: &Arc<Self>, spec: BatchSpec) -> Result<(), SubmitError> {
        if let Some(known) = self.known(&spec.id) {
            return same_organisation(&known.state, &spec);
        }
        let spec = self.store_spec(spec).await?;
        let (owner, owner_incarnation) = self.first_owner(&spec);
        let state = BatchState {
            batch: spec.id.clone(),
            organisation: spec.organisation.clone(),
            owner,
            owner_incarnation,
            phase: BatchPhase::Running,
            items: spec.items.len(),
            model: spec.model.clone(),
            min_version: spec.min_version,
            work_tokens: spec.work_tokens(),
            submitted_unix_ms: spec.submitted_unix_ms,
        };
        let store = &self.parts.store;
        match self.create(|| store.create_state(&state).boxed()).await? {
            Changed::Made(version) => {
                self.parts.events.accepted(&spec.id, spec.items.len());
                self.remember(state.clone(), version);
                if state.is_owned_by(&self.options.own, self.options.incarnation) {
                    self.runner.adopt(spec, Vec::new());
                } else {
                    let service = Arc::clone(self);
                    task::spawn(async move {
                        service.parts.peers.announce(&state.owner, &state, version).await;
                    });
                }
                Ok(())
            }
            Changed::Conflict => self.accepted_before(&spec).await,
        }
    }

    /// The host that runs a new batch.
    fn first_owner(&self, spec: &BatchSpec) -> (MemberId, Incarnation) {
        let live = self.parts.members.live();
        let members: Vec<MemberId> = live.iter().map(|(member, _)| member.clone()).collect();
        let first = owner_by_key(owner_key(spec.model.as_ref(), &spec.id), &members);
        let first = first.and_then(|first| live.iter().find(|(member, _)| member == first));
        first
            .cloned()
            .unwrap_or_else(|| (self.options.own.clone(), self.options.incarnation))
    }

    async fn store_spec(&self, spec: BatchSpec) -> Result<Arc<BatchSpec>, SubmitError> {
        let store = &self.parts.store;
        match self.create(|| store.create_spec(&spec).boxed()).await? {
            Changed::Made(_) => Ok(Arc::new(spec)),
            Changed::Conflict => {
                let stored = store.load_spec(&spec.id).await;
                let stored = stored.map_err(|error| SubmitError::MayBeStored {
                    reason: error.to_string(),
                })?;
                let stored = stored.unwrap_or(spec.clone());
                if stored.organisation != spec.organisation {
                    return TakenIdSnafu.fail();
                }
                Ok(Arc::new(stored))
            }
        }
    }

    /// The state exists: the batch was accepted before, or a create whose answer was lost took effect.
    async fn accepted_before(&self, spec: &BatchSpec) -> Result<(), SubmitError> {
        match self.load_state(&spec.id).await {
            Ok(state) => same_organisation(&state, spec),
            Err(error) => MayBeStoredSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }

    /// Creates an object; repeats the create while its outcome is not known.
    async fn create<'a>(
        &self,
        create: impl Fn() -> BoxFuture<'a, Result<Changed, StoreError>> + Send,
    ) -> Result<Changed, SubmitError> {
        let mut may_be_stored = false;
        let mut reason = String::new();
        for _ in 0..CREATE_TRIES {
            match create().await {
                Ok(changed) => return Ok(changed),
                Err(StoreError::Unknown { reason: lost }) => {
                    may_be_stored = true;
                    reason = lost;
                }
                Err(error) => {
                    reason = error.to_string();
                    break;
                }
            }
        }
        match may_be_stored {
            true => MayBeStoredSnafu { reason }.fail(),
            false => NotStoredSnafu { reason }.fail(),
        }
    }

    /// Results from a position on; waits for the first one.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch, or when that cannot be told.
    pub async fn read(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
        after: usize,
        wait: DurationMs,
    ) -> Result<ResultPage, ReadError> {
        let state = self.state_for(batch, organisation).await?;
        if let Some(page) = self.runner.read(batch, after, wait).await {
            return Ok(page);
        }
        // The owner keeps its batches in memory after their end as well, which saves a call for each piece.
        let members = &self.parts.members;
        if members.is_running(&state.owner, state.owner_incarnation)
            && let Some(page) = self.parts.peers.read(&state.owner, batch, after, wait).await
        {
            return Ok(page);
        }
        self.read_stored(&state, after, wait).await
    }

    /// Results that this host runs, for other hosts; none when it does not run the batch.
    pub async fn read_owned(&self, batch: &BatchId, after: usize, wait: DurationMs) -> Option<ResultPage> {
        self.runner.read(batch, after, wait).await
    }

    async fn read_stored(
        &self,
        state: &BatchState,
        after: usize,
        wait: DurationMs,
    ) -> Result<ResultPage, ReadError> {
        let clock = &self.parts.clock;
        let deadline = clock.now().after(wait);
        loop {
            let listed = self.stored_results(&state.batch, state.items).await?;
            let page = ResultPage::cut(&listed, after, state.items);
            let left = deadline.since(clock.now());
            let is_open = state.phase == BatchPhase::Running && listed.len() < state.items;
            if !page.results.is_empty() || left.get() == 0 || !is_open {
                return Ok(page);
            }
            task::sleep(STORE_POLL_MS.min(left).as_std()).await;
        }
    }

    async fn stored_results(
        &self,
        batch: &BatchId,
        total: usize,
    ) -> Result<Arc<Vec<BatchResult>>, ReadError> {
        let kept = self.state().results.get(batch).cloned().unwrap_or_default();
        if kept.len() >= total {
            return Ok(kept);
        }
        let mut listed = kept.as_ref().clone();
        self.parts.store.load_results(batch, &mut listed).await?;
        let listed = Arc::new(listed);
        keep(
            &mut self.state().results,
            batch,
            Arc::clone(&listed),
            KEPT_RESULTS,
        );
        Ok(listed)
    }

    /// The body of an item.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch or item, or when that cannot be told.
    pub async fn body(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
        item: &str,
    ) -> Result<Vec<u8>, ReadError> {
        self.state_for(batch, organisation).await?;
        let spec = self.spec(batch).await?;
        let found = spec.items.iter().find(|candidate| candidate.id == item);
        found.map(|item| item.body.clone()).ok_or(ReadError::NotFound)
    }

    async fn spec(&self, batch: &BatchId) -> Result<Arc<BatchSpec>, ReadError> {
        if let Some(spec) = self.runner.spec(batch) {
            return Ok(spec);
        }
        let kept = self.state().specs.get(batch).cloned();
        if let Some(spec) = kept {
            return Ok(spec);
        }
        let spec = self
            .parts
            .store
            .load_spec(batch)
            .await?
            .ok_or(ReadError::NotFound)?;
        let spec = Arc::new(spec);
        keep(&mut self.state().specs, batch, Arc::clone(&spec), KEPT_SPECS);
        Ok(spec)
    }

    /// Ends a batch: nothing of it runs afterwards, and what is listed stays.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch, or when the store does not take the end.
    pub async fn end(&self, batch: &BatchId, organisation: Option<&OrganisationId>) -> Result<(), ReadError> {
        let mut reason = String::new();
        self.state_for(batch, organisation).await?;
        for _ in 0..STATE_TRIES {
            match self.try_end(batch).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => {
                    reason = error.to_string();
                    task::sleep(STATE_RETRY_MS.as_std()).await;
                }
            }
        }
        CannotTellSnafu { reason }.fail()
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
        match self.parts.store.update_state(&ended, known.version).await {
            Ok(Changed::Made(version)) => {
                self.remember(ended, version);
                self.runner.end(batch);
                Ok(true)
            }
            Ok(Changed::Conflict) | Err(StoreError::Unknown { .. }) => {
                self.load_state(batch).await?;
                Ok(false)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// A state object as the store shows it.
    pub fn apply_state(self: &Arc<Self>, state: BatchState, version: Version) {
        if self.remember(state, version) {
            self.review();
        }
    }

    /// State objects that are gone from the store.
    pub fn forget(&self, batch: &BatchId) {
        let mut state = self.state();
        state.known.swap_remove(batch);
        state.results.swap_remove(batch);
        state.specs.swap_remove(batch);
    }

    /// Looks at every batch: whether this host has to run it, or to stop running it.
    pub fn review(self: &Arc<Self>) {
        let known: Vec<Known> = self.state().known.values().cloned().collect();
        let mut foreign = Vec::new();
        for Known { state, version } in known {
            let owns = self.runner.owns(&state.batch);
            match takeover(
                &state,
                &self.options.own,
                self.options.incarnation,
                &*self.parts.members,
            ) {
                Takeover::Own if !owns => self.begin(state, None),
                Takeover::Claim => self.begin(state, Some(version)),
                Takeover::Own => {}
                Takeover::None if state.phase == BatchPhase::Running => {
                    foreign.push(ForeignWork {
                        model: state.model.clone(),
                        min_version: state.min_version,
                        tokens: state.work_tokens,
                    });
                    if owns {
                        self.stop(&state);
                    }
                }
                Takeover::None => {
                    if state.phase == BatchPhase::Ended {
                        self.runner.end(&state.batch);
                    }
                }
            }
        }
        self.runner.set_foreign(foreign);
    }

    fn stop(&self, state: &BatchState) {
        if let Some(listed) = self.runner.release(&state.batch) {
            keep(
                &mut self.state().results,
                &state.batch,
                Arc::new(listed),
                KEPT_RESULTS,
            );
            self.parts.events.given_up(&state.batch, &state.owner);
        }
    }

    /// Takes a batch over, after a claim when another host owned it.
    fn begin(self: &Arc<Self>, state: BatchState, claim: Option<Version>) {
        let may_begin = {
            let mut own = self.state();
            !own.is_leaving && own.claiming.insert(state.batch.clone())
        };
        if !may_begin {
            return;
        }
        let service = Arc::clone(self);
        task::spawn(async move {
            let batch = state.batch.clone();
            if let Err(error) = service.take_over(state, claim).await {
                service
                    .parts
                    .events
                    .store_failed(&batch, "take over", &error.to_string());
            }
            service.state().claiming.remove(&batch);
        });
    }

    async fn take_over(&self, state: BatchState, claim: Option<Version>) -> Result<(), StoreError> {
        let from = state.owner.clone();
        if let Some(version) = claim
            && !self.claim(state.clone(), version).await?
        {
            return Ok(());
        }
        let Some(spec) = self.parts.store.load_spec(&state.batch).await? else {
            return Err(StoreError::Corrupt {
                key: state.batch.to_string(),
                reason: "the state exists without a specification".to_owned(),
            });
        };
        let mut listed = Vec::new();
        self.parts.store.load_results(&state.batch, &mut listed).await?;
        let count = listed.len();
        self.runner.adopt(Arc::new(spec), listed);
        self.parts.events.taken_over(&state.batch, &from, count);
        Ok(())
    }

    async fn claim(&self, state: BatchState, version: Version) -> Result<bool, StoreError> {
        let claimed = BatchState {
            owner: self.options.own.clone(),
            owner_incarnation: self.options.incarnation,
            ..state
        };
        match self.parts.store.update_state(&claimed, version).await {
            Ok(Changed::Made(version)) => {
                self.remember(claimed, version);
                Ok(true)
            }
            Ok(Changed::Conflict) | Err(StoreError::Unknown { .. }) => {
                // The next review decides on what stands there.
                if let Some((state, version)) = self.parts.store.load_state(&claimed.batch).await? {
                    self.remember(state, version);
                }
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Marks batches as finished whose results are all listed, and removes those that nobody can ask for any more.
    pub async fn tidy(&self) {
        for batch in self.runner.finished_batches() {
            let Some(known) = self.known(&batch) else { continue };
            if known.state.phase == BatchPhase::Running {
                self.mark_finished(known).await;
            }
        }
        let unix_ms = self.parts.wall.unix_ms();
        let oldest_unix_ms = unix_ms.saturating_sub(self.options.keep_ms.get());
        self.runner.forget(oldest_unix_ms);
        let old: Vec<BatchId> = {
            let state = self.state();
            let old = state
                .known
                .values()
                .filter(|known| self.is_own_to_remove(&known.state, oldest_unix_ms));
            old.map(|known| known.state.batch.clone()).collect()
        };
        for batch in old {
            match self.parts.store.remove(&batch).await {
                Ok(()) => self.forget(&batch),
                Err(error) => self
                    .parts
                    .events
                    .store_failed(&batch, "remove", &error.to_string()),
            }
        }
    }

    fn is_own_to_remove(&self, state: &BatchState, oldest_unix_ms: u64) -> bool {
        state.submitted_unix_ms < oldest_unix_ms
            && self.successor(&state.batch).as_ref() == Some(&self.options.own)
    }

    async fn mark_finished(&self, known: Known) {
        let finished = BatchState {
            phase: BatchPhase::Finished,
            ..known.state
        };
        match self.parts.store.update_state(&finished, known.version).await {
            Ok(Changed::Made(version)) => {
                self.remember(finished, version);
            }
            Ok(Changed::Conflict) => {
                // Its submitter ended it meanwhile, which the watch brings.
            }
            Err(error) => {
                let reason = error.to_string();
                self.parts
                    .events
                    .store_failed(&finished.batch, "mark as finished", &reason);
            }
        }
    }

    /// Hands the batches of this host to others before it stops.
    pub async fn leave(&self) {
        self.state().is_leaving = true;
        for batch in self.runner.open_batches() {
            let Some(known) = self.known(&batch) else { continue };
            let Some((owner, owner_incarnation)) = self.next_owner(&batch) else {
                continue;
            };
            let handed = BatchState {
                owner,
                owner_incarnation,
                ..known.state
            };
            match self.parts.store.update_state(&handed, known.version).await {
                Ok(Changed::Made(version)) => {
                    self.stop(&handed);
                    self.remember(handed.clone(), version);
                    self.parts.peers.announce(&handed.owner, &handed, version).await;
                }
                Ok(Changed::Conflict) => {}
                Err(error) => {
                    let reason = error.to_string();
                    self.parts.events.store_failed(&batch, "hand over", &reason);
                }
            }
        }
    }

    fn next_owner(&self, batch: &BatchId) -> Option<(MemberId, Incarnation)> {
        let live: Vec<(MemberId, Incarnation)> = self.parts.members.live();
        let others: Vec<MemberId> = live
            .iter()
            .map(|(member, _)| member.clone())
            .filter(|member| *member != self.options.own)
            .collect();
        let key = self.known(batch)?.state;
        let next = owner_by_key(key.owner_key(), &others)?;
        live.iter().find(|(member, _)| member == next).cloned()
    }

    fn successor(&self, batch: &BatchId) -> Option<MemberId> {
        let live: Vec<MemberId> = self
            .parts
            .members
            .live()
            .into_iter()
            .map(|(member, _)| member)
            .collect();
        owner_by_key(batch.as_str(), &live).cloned()
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
        let Some((state, version)) = self.parts.store.load_state(batch).await? else {
            return NotFoundSnafu.fail();
        };
        self.remember(state.clone(), version);
        Ok(state)
    }

    fn known(&self, batch: &BatchId) -> Option<Known> {
        self.state().known.get(batch).cloned()
    }

    /// Takes note of a state unless a newer one is known; returns whether it was new.
    fn remember(&self, state: BatchState, version: Version) -> bool {
        let mut own = self.state();
        let is_new = own
            .known
            .get(&state.batch)
            .is_none_or(|known| version > known.version);
        if is_new {
            own.known.insert(state.batch.clone(), Known { state, version });
        }
        is_new
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        // Each change is complete before anything that could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn same_organisation(state: &BatchState, spec: &BatchSpec) -> Result<(), SubmitError> {
    if state.organisation == spec.organisation {
        Ok(())
    } else {
        TakenIdSnafu.fail()
    }
}

/// Keeps a value and drops the oldest ones over the limit.
fn keep<T>(kept: &mut IndexMap<BatchId, T>, batch: &BatchId, value: T, limit: usize) {
    kept.shift_remove(batch);
    kept.insert(batch.clone(), value);
    while kept.len() > limit {
        kept.shift_remove_index(0);
    }
}
