//! Finds the batch before a new one in the store, when another host ran it.
//!
//! Load pattern: the owner of a step is stopped or killed between two steps of its trainer, or during restarts of all hosts
//! in turn. The groups that the trainer carries over would start anew although their texts are in the store.

use async_std::future::timeout;
use futures::future::try_join;
use jm_types::DurationMs;

use super::BatchService;
use crate::{BatchPhase, BatchSpec, BatchState, StoreError, runner::EarlierBatch};

/// Longest time for which a new batch waits for the one before it.
const RECALL_LIMIT_MS: DurationMs = DurationMs::new(400);

/// Age after which the groups of a batch are not expected to come again.
const RECALL_AGE_MS: DurationMs = DurationMs::new(30_000);

impl BatchService {
    /// The batch of the same submitter before `spec`, if this host does not have it. Without it the batch runs as well, so a
    /// store that does not answer in time only costs the work.
    pub(super) async fn recall_earlier(&self, spec: &BatchSpec) -> Option<EarlierBatch> {
        let earlier = self.earlier_batch(spec)?;
        let loading = timeout(RECALL_LIMIT_MS.as_std(), self.load_earlier(&earlier));
        let reason = match loading.await {
            Ok(Ok(found)) => return found,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {RECALL_LIMIT_MS}"),
        };
        self.parts
            .events
            .store_failed(&earlier.batch, "recall for the next batch", &reason);
        None
    }

    /// Whether the batch of the same submitter before `spec` has to be looked up.
    pub(super) fn must_recall(&self, spec: &BatchSpec) -> bool {
        self.earlier_batch(spec).is_some()
    }

    /// The newest earlier batch of the submitter, if it was ended before all its results were listed and this host does not
    /// have it in memory.
    fn earlier_batch(&self, spec: &BatchSpec) -> Option<BatchState> {
        let state = self.state();
        let earlier = state.known.values().map(|known| &known.state).filter(|state| {
            state.model.is_some()
                && state.model == spec.model
                && state.organisation == spec.organisation
                && state.batch != spec.id
                && state.submitted_unix_ms <= spec.submitted_unix_ms
        });
        let newest = earlier.max_by_key(|state| state.submitted_unix_ms)?;
        let age_ms = spec.submitted_unix_ms - newest.submitted_unix_ms;
        let is_of_use = newest.phase == BatchPhase::Ended && age_ms <= RECALL_AGE_MS.get();
        (is_of_use && !self.runner.owns(&newest.batch)).then(|| newest.clone())
    }

    async fn load_earlier(&self, state: &BatchState) -> Result<Option<EarlierBatch>, StoreError> {
        let spec = self.parts.store.load_spec(&state.batch);
        let (spec, progress) =
            try_join(spec, self.load_progress(&state.batch, state.earlier_owners + 1)).await?;
        Ok(spec.map(|spec| EarlierBatch {
            spec,
            listed: progress.listed,
            texts: progress.texts,
        }))
    }
}
