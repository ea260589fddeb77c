//! Reads results and item bodies from this host's runner, the owner, or the store.

use std::sync::Arc;

use async_std::{future::timeout, task};
use jm_types::{BatchId, DurationMs, OrganisationId};

use super::{BatchService, MAX_CACHED_RESULTS, ReadError, UnavailableSnafu, insert_bounded};
use crate::{BatchPhase, BatchResult, BatchSpec, BatchState, ResultPage};

/// Interval for polling the store when the owner does not answer. No results are added until another host has taken the
/// batch over, which takes longer than this interval.
const STORE_POLL_MS: DurationMs = DurationMs::new(900);

/// Maximum time for reading a late piece of an earlier owner before a reader is answered. Other hosts wait one second
/// longer for the answer than the reader does.
const UNREAD_PIECE_TIMEOUT_MS: DurationMs = DurationMs::new(800);

/// Interval for checking whether this host has started a batch that it is taking over.
const TAKEOVER_POLL_MS: DurationMs = DurationMs::new(20);

/// Maximum number of other hosts' specifications that are cached.
const MAX_CACHED_SPECS: usize = 3;

impl BatchService {
    /// Results from position `after` on. Waits up to `wait` until there is one.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch, or when the store cannot be read.
    pub async fn read(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
        after: usize,
        wait: DurationMs,
    ) -> Result<ResultPage, ReadError> {
        let state = self.state_for(batch, organisation).await?;
        if let Some(page) = self.read_running(batch, after, wait).await? {
            return Ok(page);
        }
        if let Some(next) = self.handed_to(batch)
            && let Some(page) = self.deps.peers.read(&next, batch, after, wait).await
        {
            return Ok(page);
        }
        // The owner also keeps finished batches in memory, so asking it saves a store call for each piece.
        if let Some(owner) = self.host_to_ask(&state)
            && let Some(page) = self.deps.peers.read(&owner, batch, after, wait).await
        {
            return Ok(page);
        }
        self.read_stored(&state, after, wait).await
    }

    /// Results of a batch that this host runs, for other hosts. Returns `None` when it does not run the batch or the
    /// store cannot be read. Waits for a batch that this host is about to run, because the requesting host would poll
    /// the store in the meantime.
    pub async fn read_owned(&self, batch: &BatchId, after: usize, wait: DurationMs) -> Option<ResultPage> {
        let clock = &self.deps.clock;
        let deadline = clock.now().after(wait);
        loop {
            let left = deadline.since(clock.now());
            match self.read_running(batch, after, left).await {
                // Other hosts ask this host until the store names the next owner.
                Ok(None) if let Some(next) = self.handed_to(batch) => {
                    return self.deps.peers.read(&next, batch, after, left).await;
                }
                Ok(None) if left.get() > 0 && self.is_about_to_run(batch) => {
                    task::sleep(TAKEOVER_POLL_MS.min(left).as_std()).await;
                }
                Ok(page) => return page,
                Err(error) => {
                    let reason = error.to_string();
                    self.deps.events.store_failed(batch, "read results", &reason);
                    return None;
                }
            }
        }
    }

    /// Whether the cached state names this host as the owner of a running batch. The caller has checked that its runner
    /// does not have the batch yet.
    pub(super) fn is_about_to_run(&self, batch: &BatchId) -> bool {
        self.cached_state(batch).is_some_and(|cached| {
            cached.state.phase == BatchPhase::Running
                && cached
                    .state
                    .is_owned_by(&self.options.local_member, self.options.incarnation)
        })
    }

    /// Results of a batch that this host runs. The last results of an earlier owner may have reached the store, and may
    /// have been read there, after this host took the batch over. This host therefore reads them from the store before
    /// it answers.
    async fn read_running(
        &self,
        batch: &BatchId,
        after: usize,
        wait: DurationMs,
    ) -> Result<Option<ResultPage>, ReadError> {
        let clock = &self.deps.clock;
        let deadline = clock.now().after(wait);
        while let Some(first) = self.runner.first_unread_position(batch, after) {
            let load = self.deps.store.load_piece(batch, first);
            let load = timeout(UNREAD_PIECE_TIMEOUT_MS.as_std(), load).await;
            match load {
                Ok(Ok(Some(piece))) => self.runner.add_listed_piece(batch, piece),
                Ok(Ok(None)) => break,
                // This host knows all results that the reader has. Later ones follow when the store responds.
                Ok(Err(_)) | Err(_) if after <= first => break,
                Ok(Err(error)) => return Err(error.into()),
                Err(_) => {
                    let reason = format!("no answer within {UNREAD_PIECE_TIMEOUT_MS}");
                    return UnavailableSnafu { reason }.fail();
                }
            }
        }
        let left = deadline.since(clock.now());
        Ok(self.runner.read(batch, after, left).await)
    }

    async fn read_stored(
        &self,
        state: &BatchState,
        after: usize,
        wait: DurationMs,
    ) -> Result<ResultPage, ReadError> {
        let clock = &self.deps.clock;
        let deadline = clock.now().after(wait);
        loop {
            let listed = self.stored_results(state).await?;
            let page = ResultPage::slice(&listed, after, state.items);
            let left = deadline.since(clock.now());
            let is_open = state.phase == BatchPhase::Running && listed.len() < state.items;
            if !page.results.is_empty() || left.get() == 0 || !is_open {
                return Ok(page);
            }
            task::sleep(STORE_POLL_MS.min(left).as_std()).await;
        }
    }

    async fn stored_results(&self, state: &BatchState) -> Result<Arc<Vec<BatchResult>>, ReadError> {
        let batch = &state.batch;
        let cached = {
            let service_state = self.state();
            let cached = service_state.results.get(batch);
            let current = cached.filter(|_| service_state.is_current(state));
            current.cloned().unwrap_or_default()
        };
        if cached.len() >= state.items {
            return Ok(cached);
        }
        let mut listed = cached.as_ref().clone();
        let read = self
            .deps
            .store
            .load_new_results(batch, state.items, &mut listed)
            .await?;
        if read.results > 0 {
            self.deps.events.results_read(batch, &read);
        }
        let listed = Arc::new(listed);
        let mut service_state = self.state();
        if service_state.is_current(state) {
            let results = &mut service_state.results;
            insert_bounded(results, batch, Arc::clone(&listed), MAX_CACHED_RESULTS);
        }
        Ok(listed)
    }

    /// The body of an item.
    ///
    /// # Errors
    ///
    /// Fails when there is no such batch or item, or when the store cannot be read.
    pub async fn body(
        &self,
        batch: &BatchId,
        organisation: Option<&OrganisationId>,
        item: &str,
    ) -> Result<Vec<u8>, ReadError> {
        let state = self.state_for(batch, organisation).await?;
        if let Some(body) = self.owned_body(batch, item) {
            return Ok(body);
        }
        // A specification is far larger than one body, and the owner has it in memory.
        if let Some(owner) = self.host_to_ask(&state)
            && let Some(body) = self.deps.peers.body(&owner, batch, item).await
        {
            return Ok(body);
        }
        let spec = self.spec(&state).await?;
        spec.body(item).ok_or(ReadError::NotFound)
    }

    /// The body of an item of a batch that this host runs, for other hosts; `None` when it does not run the batch.
    pub fn owned_body(&self, batch: &BatchId, item: &str) -> Option<Vec<u8>> {
        self.runner.spec(batch)?.body(item)
    }

    async fn spec(&self, state: &BatchState) -> Result<Arc<BatchSpec>, ReadError> {
        let batch = &state.batch;
        let cached = {
            let service_state = self.state();
            let cached = service_state.specs.get(batch);
            cached.filter(|_| service_state.is_current(state)).cloned()
        };
        if let Some(spec) = cached {
            return Ok(spec);
        }
        let stored = self.deps.store.load_spec(batch).await?;
        let spec = Arc::new(stored.ok_or(ReadError::NotFound)?);
        let mut service_state = self.state();
        if service_state.is_current(state) {
            let specs = &mut service_state.specs;
            insert_bounded(specs, batch, Arc::clone(&spec), MAX_CACHED_SPECS);
        }
        Ok(spec)
    }
}
