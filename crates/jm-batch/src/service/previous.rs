//! Loads the submitter's previous batch from the store when another host ran it.
//!
//! Load pattern: the owner of a step is stopped or killed between two steps of its trainer, or during a rolling restart
//! of all hosts. Without this lookup, the groups that the trainer carries over would restart although their texts are
//! in the store.

use async_std::future::timeout;
use futures::future::try_join;
use jm_types::DurationMs;

use super::BatchService;
use crate::{BatchPhase, BatchSpec, BatchState, StoreError, runner::PreviousBatch};

/// Maximum time by which the lookup of the previous batch delays a new batch.
const PREVIOUS_BATCH_TIMEOUT_MS: DurationMs = DurationMs::new(400);

/// Maximum age of a previous batch. The groups of an older one are not expected to be submitted again.
const PREVIOUS_BATCH_MAX_AGE_MS: DurationMs = DurationMs::new(30_000);

impl BatchService {
    /// The previous batch of the submitter of `spec`, if this host does not have it. The new batch also runs without
    /// it, so an unresponsive store only causes the earlier texts to be generated again.
    pub(super) async fn load_previous_batch(&self, spec: &BatchSpec) -> Option<PreviousBatch> {
        let earlier = self.previous_batch(spec)?;
        let loading = timeout(
            PREVIOUS_BATCH_TIMEOUT_MS.as_std(),
            self.load_previous_progress(&earlier),
        );
        let reason = match loading.await {
            Ok(Ok(found)) => return found,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {PREVIOUS_BATCH_TIMEOUT_MS}"),
        };
        self.deps
            .events
            .store_failed(&earlier.batch, "recall for the next batch", &reason);
        None
    }

    /// Whether the previous batch of the submitter of `spec` has to be loaded from the store.
    pub(super) fn has_previous_batch_to_load(&self, spec: &BatchSpec) -> bool {
        self.previous_batch(spec).is_some()
    }

    /// The newest earlier batch of the submitter, if it was ended before all its results were stored and this host does
    /// not have it in memory.
    fn previous_batch(&self, spec: &BatchSpec) -> Option<BatchState> {
        let state = self.state();
        let earlier = state
            .cached_states
            .values()
            .map(|cached| &cached.state)
            .filter(|state| {
                state.model.is_some()
                    && state.model == spec.model
                    && state.organisation == spec.organisation
                    && state.batch != spec.id
                    && state.submitted_unix_ms <= spec.submitted_unix_ms
            });
        let newest = earlier.max_by_key(|state| state.submitted_unix_ms)?;
        let age_ms = spec.submitted_unix_ms - newest.submitted_unix_ms;
        let is_useful = newest.phase == BatchPhase::Ended && age_ms <= PREVIOUS_BATCH_MAX_AGE_MS.get();
        (is_useful && !self.runner.owns(&newest.batch)).then(|| newest.clone())
    }

    async fn load_previous_progress(&self, state: &BatchState) -> Result<Option<PreviousBatch>, StoreError> {
        let spec = self.deps.store.load_spec(&state.batch);
        let (spec, progress) =
            try_join(spec, self.load_progress(&state.batch, state.earlier_owners + 1)).await?;
        Ok(spec.map(|spec| PreviousBatch {
            spec,
            listed: progress.listed,
            texts: progress.texts,
        }))
    }
}
