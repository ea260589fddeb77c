//! Saves unfinished texts, so that the next owner resumes them.

use std::sync::Arc;

use async_std::task;
use jm_types::{BatchId, DurationMs, Timestamp};

use super::{Runner, RunnerState};
use crate::{
    RewardKey, RewardQueue, StoreError,
    checkpoint::{is_worth_saving, texts_to_save},
    owned::OwnedBatch,
};

impl Runner {
    /// Saves the long unfinished texts of each batch whose checkpoint is due, and its texts that wait for their scores.
    pub(super) fn save_texts(self: &Arc<Self>) {
        let now = self.now();
        let options = &self.options.checkpoint;
        let mut guard = self.state();
        let RunnerState { owned, rewards, .. } = &mut *guard;
        let mut saves = Vec::new();
        // The number of an unconfirmed owner may also be that of the owner that the store names.
        let saves_texts = |owned: &&mut OwnedBatch| owned.may_write() && !owned.is_unconfirmed;
        for owned in owned.values_mut().filter(saves_texts) {
            let overdue = |item: usize| is_overdue(owned, item, rewards, options.min_unscored_ms, now);
            let unscored = owned.scoring_items().into_iter().filter(|item| overdue(*item));
            let unscored = unscored.count();
            // Failure counts alone are written again only after they have changed.
            let failures = owned.repeated_failures(options.min_failures);
            let has_new_failures = failures > 0 && failures != owned.checkpoint.saved_failures;
            if !owned.checkpoint.is_due(options, unscored, has_new_failures, now) {
                continue;
            }
            let mut texts = owned.open_texts();
            texts.retain(|text| !text.is_complete || overdue(text.item));
            let texts = texts_to_save(texts, options);
            owned.checkpoint.begun_at = now;
            owned.checkpoint.unscored = unscored;
            let has_texts = texts.iter().any(|text| is_worth_saving(text, options));
            if has_texts || has_new_failures {
                owned.checkpoint.saved_failures = failures;
                owned.checkpoint.is_writing = true;
                saves.push((owned.spec.id.clone(), owned.earlier_owners, texts));
            }
        }
        drop(guard);
        for (batch, earlier_owners, texts) in saves {
            let runner = Arc::clone(self);
            task::spawn(async move {
                let saved = runner.deps.store.save_texts(&batch, earlier_owners, &texts).await;
                runner.record_save_outcome(&batch, saved);
            });
        }
    }

    fn record_save_outcome(&self, batch: &BatchId, saved: Result<(), StoreError>) {
        if let Some(owned) = self.state().owned.get_mut(batch) {
            let checkpoint = &mut owned.checkpoint;
            checkpoint.is_writing = false;
            checkpoint.failures = match saved {
                Ok(()) => 0,
                Err(_) => checkpoint.failures + 1,
            };
            if saved.is_err() {
                checkpoint.unscored = 0;
                checkpoint.saved_failures = 0;
            }
        }
        if let Err(error) = saved {
            let reason = error.to_string();
            self.deps.events.store_failed(batch, "save texts", &reason);
        }
    }
}

/// Whether the complete text of an item has waited for its score for `limit_ms`.
fn is_overdue(
    owned: &OwnedBatch,
    item: usize,
    rewards: &RewardQueue,
    limit_ms: DurationMs,
    now: Timestamp,
) -> bool {
    let batch = owned.spec.id.clone();
    let waited = rewards.waited(&RewardKey { batch, item }, now);
    waited.is_some_and(|waited| waited >= limit_ms)
}
