//! Writes results to the store, several at a time, each piece under the position of its first result.

use std::sync::Arc;

use async_std::task;
use jm_types::{BatchId, DurationMs, Timestamp};

use super::{Runner, RunnerState, end_runs};
use crate::{ResultPiece, owned::OwnedBatch, result::fitting, store::Changed};

/// Time between two looks whether results have to be written before their interval is over.
const GATHER_STEP_MS: DurationMs = DurationMs::new(40);

/// Largest piece of results in one object.
const PIECE_BYTES: usize = 700_000;

impl Runner {
    /// Writes results to the store until none is left.
    pub(super) async fn write_results(self: Arc<Self>, batch: BatchId) {
        let mut written_at = None;
        loop {
            self.gather_results(&batch, written_at).await;
            let Some(piece) = self.next_piece(&batch) else {
                return;
            };
            if !self.write_piece(&batch, piece).await {
                task::sleep(self.options.write_retry_ms.as_std()).await;
            }
            written_at = Some(self.now());
        }
    }

    /// Waits so that one write carries several results, unless the submitter waits for just these.
    async fn gather_results(&self, batch: &BatchId, written_at: Option<Timestamp>) {
        let Some(written_at) = written_at else { return };
        let due = written_at.after(self.options.write_interval_ms);
        while self.now() < due && self.may_gather(batch) {
            let step = GATHER_STEP_MS.min(due.since(self.now()));
            task::sleep(step.as_std()).await;
        }
    }

    fn may_gather(&self, batch: &BatchId) -> bool {
        let state = self.state();
        let Some(owned) = state.owned.get(batch) else {
            return false;
        };
        !owned.unlisted.is_empty() && !owned.is_ended && !owned.has_enough()
    }

    /// The next results to write; none ends the writing.
    fn next_piece(&self, batch: &BatchId) -> Option<ResultPiece> {
        let mut state = self.state();
        let owned = state.owned.get_mut(batch)?;
        let count = fitting(&owned.unlisted, PIECE_BYTES);
        if count == 0 || owned.is_ended {
            owned.is_writing = false;
            return None;
        }
        Some(ResultPiece {
            first: owned.listed.len(),
            results: owned.unlisted[..count].to_vec(),
        })
    }

    /// Writes one piece, or takes over what stands at its position. Returns whether the store did its part.
    async fn write_piece(&self, batch: &BatchId, piece: ResultPiece) -> bool {
        let standing = match self.parts.store.create_piece(batch, &piece).await {
            Ok(Changed::Made(_)) => Ok(Some(piece)),
            Ok(Changed::Conflict) => self.parts.store.load_piece(batch, piece.first).await,
            Err(error) => Err(error),
        };
        match standing {
            Ok(Some(standing)) => {
                self.listed(batch, standing);
                true
            }
            Ok(None) => false,
            Err(error) => {
                self.parts
                    .events
                    .store_failed(batch, "write results", &error.to_string());
                false
            }
        }
    }

    /// Takes a piece that is in the store.
    pub(crate) fn listed(&self, batch: &BatchId, piece: ResultPiece) {
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        let Some(owned) = owned.get_mut(batch) else { return };
        if owned.listed.len() != piece.first {
            return;
        }
        let stopped = owned.take_listed(piece.results);
        end_runs(loads, &stopped);
        owned.notify();
        let finished = owned.is_finished().then_some(owned.adopted_at);
        drop(guard);
        if let Some(begun) = finished {
            self.parts.events.finished(batch, self.now().since(begun));
        }
    }
}

/// Whether a writer has to be started for new results.
pub(super) fn begin_writing(owned: &mut OwnedBatch) -> bool {
    let must_start = !owned.is_writing && !owned.is_ended && !owned.unlisted.is_empty();
    owned.is_writing |= must_start;
    must_start
}
