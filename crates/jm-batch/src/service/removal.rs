//! Closes finished batches, and removes closed ones from the store after their retention.
//!
//! A batch is closed when its submitter ends it or when all its results are stored. Items without a result expire at the
//! latest when they may be given up, so a batch that nobody ends is closed too. Retention counts from then on: an open
//! batch is kept however long it runs.
//!
//! A removal takes many calls, and a host may stop between any two. The state therefore says first that the batch is being
//! removed, and is deleted last. Until then nobody reads the batch, no batch is accepted under its id, and any host may
//! continue the removal.

use jm_platform::Version;
use jm_route::owner_by_key;
use jm_types::{BatchId, DurationMs, MemberId};

use super::{BatchService, CachedState, NotStoredSnafu, ReadError, SubmitError};
use crate::{BatchPhase, BatchSpec, BatchState, StateSource, StoreError, store::WriteOutcome};

/// A submission with the id of a batch whose retention expires within this time is refused, because the removing host may
/// be about to begin. The clocks of the hosts differ by less.
const REMOVAL_SLACK_MS: DurationMs = DurationMs::new(5_000);

impl BatchService {
    /// Marks batches as finished whose results are all stored, and removes batches whose retention has expired.
    pub async fn clean_up(&self) {
        self.close_finished().await;
        for CachedState { state, version, .. } in self.expired_batches() {
            self.runner.release(&state.batch);
            if self.removing_host(&state.batch).as_ref() != Some(&self.options.local_member) {
                continue;
            }
            let batch = state.batch.clone();
            if let Err(error) = self.remove(state, version).await {
                let reason = error.to_string();
                self.deps.events.store_failed(&batch, "remove", &reason);
            }
        }
    }

    async fn close_finished(&self) {
        for batch in self.runner.finished_batches() {
            let Some(cached) = self.cached_state(&batch) else {
                continue;
            };
            // A handover is stored first, because it would otherwise replace the finished state.
            let is_pending = self.state().pending_handovers.contains_key(&batch);
            if cached.state.phase == BatchPhase::Running && !is_pending {
                self.mark_finished(cached).await;
            }
        }
    }

    async fn mark_finished(&self, cached: CachedState) {
        let unix_ms = self.deps.wall_clock.unix_ms();
        let finished = cached.state.closed(BatchPhase::Finished, unix_ms);
        match self.deps.store.update_state(&finished, cached.version).await {
            Ok(WriteOutcome::Applied(version)) => {
                self.cache_state(finished, version, StateSource::Write);
            }
            Ok(WriteOutcome::Conflict) => {
                // The submitter ended the batch concurrently. The watch delivers that state.
            }
            Err(error) => {
                let reason = error.to_string();
                self.deps
                    .events
                    .store_failed(&finished.batch, "mark as finished", &reason);
            }
        }
    }

    fn expired_batches(&self) -> Vec<CachedState> {
        let state = self.state();
        let expired = state
            .cached_states
            .values()
            .filter(|cached| self.is_expired(&cached.state, self.options.retention_ms));
        expired.cloned().collect()
    }

    /// Whether a batch has been closed for at least `retention_ms`, or is being removed already.
    fn is_expired(&self, state: &BatchState, retention_ms: DurationMs) -> bool {
        let closed_for = state.closed_for(self.deps.wall_clock.unix_ms());
        state.phase == BatchPhase::Removing || closed_for.is_some_and(|closed_for| closed_for >= retention_ms)
    }

    /// Removes a batch, or continues an interrupted removal.
    async fn remove(&self, state: BatchState, version: Version) -> Result<(), StoreError> {
        let batch = state.batch.clone();
        let closed_for = state.closed_for(self.deps.wall_clock.unix_ms());
        let version = match state.phase {
            BatchPhase::Removing => version,
            _ => {
                let removing = BatchState {
                    phase: BatchPhase::Removing,
                    ..state
                };
                match self.deps.store.update_state(&removing, version).await? {
                    WriteOutcome::Applied(version) => {
                        self.cache_state(removing, version, StateSource::Write);
                        version
                    }
                    // The watch delivers the state that is stored instead.
                    WriteOutcome::Conflict => return Ok(()),
                }
            }
        };
        self.deps.store.delete_content(&batch).await?;
        self.deps.store.delete_state(&batch, version).await?;
        self.evict(&batch);
        self.deps.events.removed(&batch, closed_for.unwrap_or_default());
        Ok(())
    }

    /// The host that removes a batch from the store, which may differ from the owner. `None` if no host is live.
    fn removing_host(&self, batch: &BatchId) -> Option<MemberId> {
        let live: Vec<MemberId> = self
            .deps
            .members
            .live()
            .into_iter()
            .map(|(member, _)| member)
            .collect();
        owner_by_key(batch.as_str(), &live).cloned()
    }

    /// The state of an earlier submission with the id of `spec`; `None` if this host has none. A batch whose retention has
    /// expired is not taken for a submission of the same batch, because it would be acknowledged and then removed.
    pub(super) async fn earlier_submission(
        &self,
        spec: &BatchSpec,
    ) -> Result<Option<BatchState>, SubmitError> {
        let Some(cached) = self.cached_state(&spec.id) else {
            return Ok(None);
        };
        if !self.may_be_removed(&cached.state) {
            return Ok(Some(cached.state));
        }
        match self.load_state(&spec.id).await {
            Ok(state) => self.refuse_if_removed(state).map(Some),
            Err(ReadError::NotFound) => {
                self.evict(&spec.id);
                Ok(None)
            }
            Err(ReadError::Unavailable { reason }) => NotStoredSnafu { reason }.fail(),
        }
    }

    /// Refuses a submission if the batch that has its id is being removed. It is accepted once the removal has ended.
    pub(super) fn refuse_if_removed(&self, state: BatchState) -> Result<BatchState, SubmitError> {
        if self.may_be_removed(&state) {
            let reason = "an earlier batch with this id is being removed";
            return NotStoredSnafu { reason }.fail();
        }
        Ok(state)
    }

    fn may_be_removed(&self, state: &BatchState) -> bool {
        let retention_ms = self.options.retention_ms.saturating_sub(REMOVAL_SLACK_MS);
        self.is_expired(state, retention_ms)
    }
}
