//! Accepts batches. A batch is acknowledged only after it was stored.

use std::sync::Arc;

use futures::{FutureExt, future::BoxFuture};
use jm_route::owner_by_key;
use jm_types::{Incarnation, MemberId, Timestamp};

use super::{BatchService, IdInUseSnafu, MayBeStoredSnafu, NotStoredSnafu, SubmitError};
use crate::{
    BatchPhase, BatchSpec, BatchState, StateSource, StoreError, state::owner_key, store::WriteOutcome,
};

/// Maximum attempts of a create whose response was lost. A create is idempotent because a retry finds the object of the
/// first attempt.
const MAX_CREATE_ATTEMPTS: usize = 3;

impl BatchService {
    /// Stores a batch and arranges that its owner runs it. Submitting the same batch again has no further effect.
    ///
    /// # Errors
    ///
    /// Fails when the batch could not be stored. The error says whether it may run nevertheless.
    pub async fn submit(self: &Arc<Self>, spec: BatchSpec) -> Result<(), SubmitError> {
        if let Some(earlier) = self.earlier_submission(&spec).await? {
            return same_organisation(&earlier, &spec);
        }
        let begun = self.deps.clock.now();
        let spec = self.store_spec(spec).await?;
        let (owner, owner_incarnation) = self.first_owner(&spec);
        let state = BatchState {
            batch: spec.id.clone(),
            organisation: spec.organisation.clone(),
            owner,
            owner_incarnation,
            earlier_owners: 0,
            phase: BatchPhase::Running,
            items: spec.items.len(),
            model: spec.model.clone(),
            min_version: spec.min_version,
            work_tokens: spec.work_tokens(),
            submitted_unix_ms: spec.submitted_unix_ms,
            closed_unix_ms: None,
        };
        let store = &self.deps.store;
        match self.create(|| store.create_state(&state).boxed()).await? {
            WriteOutcome::Applied(version) => {
                self.deps.events.accepted(&spec.id, spec.items.len());
                self.cache_state(state.clone(), version, StateSource::Write);
                if state.is_owned_by(&self.options.local_member, self.options.incarnation) {
                    self.start_accepted(spec, begun).await;
                } else {
                    self.announce(state, version);
                }
                Ok(())
            }
            WriteOutcome::Conflict => self.accepted_before(&spec).await,
        }
    }

    /// Starts a batch that was stored with this host as its owner. The store's events of that state, and of its end or
    /// of another owner, may have arrived before the answer to the write, or may be missing if this host was frozen since
    /// `begun`.
    async fn start_accepted(self: &Arc<Self>, spec: Arc<BatchSpec>, begun: Timestamp) {
        if let Err(error) = self.confirm_late(&spec.id, begun).await {
            let reason = error.to_string();
            self.deps
                .events
                .store_failed(&spec.id, "confirm the owner", &reason);
        }
        let is_current = self.is_about_to_run(&spec.id);
        if is_current && !self.has_previous_batch_to_load(&spec) {
            self.runner.start_new(spec);
        }
        self.reconcile();
    }

    /// Selects the owner of a new batch, which is this host if no live one is known.
    fn first_owner(&self, spec: &BatchSpec) -> (MemberId, Incarnation) {
        let candidates = self.deps.members.owner_candidates();
        let members: Vec<MemberId> = candidates.iter().map(|(member, _)| member.clone()).collect();
        let first = owner_by_key(owner_key(spec.model.as_ref(), &spec.id), &members);
        let first = first.and_then(|first| candidates.iter().find(|(member, _)| member == first));
        first
            .cloned()
            .unwrap_or_else(|| (self.options.local_member.clone(), self.options.incarnation))
    }

    async fn store_spec(&self, spec: BatchSpec) -> Result<Arc<BatchSpec>, SubmitError> {
        let store = &self.deps.store;
        match self.create(|| store.create_spec(&spec).boxed()).await? {
            WriteOutcome::Applied(_) => Ok(Arc::new(spec)),
            WriteOutcome::Conflict => {
                if let Err(error) = store.remove_unused_parts(&spec).await {
                    let reason = error.to_string();
                    self.deps
                        .events
                        .store_failed(&spec.id, "remove unused parts", &reason);
                }
                let stored = store.load_spec(&spec.id).await;
                let stored = stored.map_err(|error| SubmitError::MayBeStored {
                    reason: error.to_string(),
                })?;
                let organisation = spec.organisation.clone();
                let stored = stored.unwrap_or(spec);
                if stored.organisation != organisation {
                    return IdInUseSnafu.fail();
                }
                Ok(Arc::new(stored))
            }
        }
    }

    /// Handles a state that already exists, from an earlier submission or from a create whose response was lost.
    async fn accepted_before(self: &Arc<Self>, spec: &BatchSpec) -> Result<(), SubmitError> {
        match self.load_state(&spec.id).await {
            Ok(state) => {
                let state = self.refuse_if_removed(state)?;
                self.reconcile();
                same_organisation(&state, spec)
            }
            Err(error) => MayBeStoredSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }

    /// Creates an object and retries while the outcome is unknown.
    async fn create<'a>(
        &self,
        create: impl Fn() -> BoxFuture<'a, Result<WriteOutcome, StoreError>> + Send,
    ) -> Result<WriteOutcome, SubmitError> {
        let mut may_be_stored = false;
        let mut reason = String::new();
        for _ in 0..MAX_CREATE_ATTEMPTS {
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
}

fn same_organisation(state: &BatchState, spec: &BatchSpec) -> Result<(), SubmitError> {
    if state.organisation == spec.organisation {
        Ok(())
    } else {
        IdInUseSnafu.fail()
    }
}
