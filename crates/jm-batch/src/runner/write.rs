//! Writes results to the store in pieces, each under the position of its first result.

use std::sync::Arc;

use async_std::task;
use jm_types::{BatchId, DurationMs, Timestamp};

use super::{Runner, RunnerState, end_runs};
use crate::{
    ResultPiece, owned::OwnedBatch, result::count_fitting, store::WriteOutcome, write_schedule::next_write_at,
};

/// Interval for checking whether newly finished results have to be written before the current write interval ends.
const WRITE_POLL_MS: DurationMs = DurationMs::new(40);

/// Maximum size of the results in one object, in JSON. The platform's encoding adds up to a third.
const PIECE_BYTES: usize = 700_000;

impl Runner {
    /// Writes results to the store until no unstored ones are left.
    pub(super) async fn write_results(self: Arc<Self>, batch: BatchId) {
        loop {
            self.wait_for_write_time(&batch).await;
            let Some(piece) = self.next_piece(&batch) else {
                return;
            };
            if !self.write_piece(&batch, piece).await {
                task::sleep(self.options.write_retry_delay_ms.as_std()).await;
            }
        }
    }

    /// Waits until the next write is due, so that one write covers several results.
    async fn wait_for_write_time(&self, batch: &BatchId) {
        while let Some(due) = self.next_write_at(batch)
            && self.now() < due
        {
            let step = WRITE_POLL_MS.min(due.since(self.now()));
            task::sleep(step.as_std()).await;
        }
    }

    /// Time of the next write; `None` when there is nothing to write.
    fn next_write_at(&self, batch: &BatchId) -> Option<Timestamp> {
        let state = self.state();
        let owned = state.owned.get(batch)?;
        let unwritten = owned.unwritten(self.now(), self.deps.wall_clock.unix_ms());
        let is_open = unwritten.results > 0 && owned.may_write();
        is_open.then(|| next_write_at(&unwritten, &self.options.write_schedule, owned.written_at))
    }

    /// The next results to write. `None` ends the writer.
    fn next_piece(&self, batch: &BatchId) -> Option<ResultPiece> {
        let mut state = self.state();
        let owned = state.owned.get_mut(batch)?;
        let count = count_fitting(&owned.unlisted, PIECE_BYTES);
        if count == 0 || !owned.may_write() {
            owned.is_writing = false;
            return None;
        }
        owned.written_at = self.deps.clock.now();
        Some(ResultPiece {
            first: owned.listed.len(),
            results: owned.unlisted[..count].to_vec(),
        })
    }

    /// Writes one piece, or adopts the piece that already exists at its position. Returns `false` if the write has to
    /// be retried.
    async fn write_piece(&self, batch: &BatchId, piece: ResultPiece) -> bool {
        let stored = match self.deps.store.create_piece(batch, &piece).await {
            Ok(WriteOutcome::Applied(_)) => Ok(Some(piece)),
            Ok(WriteOutcome::Conflict) => self.deps.store.load_piece(batch, piece.first).await,
            Err(error) => Err(error),
        };
        match stored {
            Ok(Some(stored)) => {
                self.add_listed_piece(batch, stored);
                true
            }
            Ok(None) => false,
            Err(error) => {
                // An ended batch is not written again, so its next reader looks into the store.
                if let Some(owned) = self.state().owned.get_mut(batch) {
                    owned.may_have_unread_piece = true;
                }
                self.deps
                    .events
                    .store_failed(batch, "write results", &error.to_string());
                false
            }
        }
    }

    /// Adds a stored piece to the batch if it directly follows the results that this host has.
    pub(crate) fn add_listed_piece(&self, batch: &BatchId, piece: ResultPiece) {
        let mut guard = self.state();
        let RunnerState {
            owned,
            loads,
            rewards,
            ..
        } = &mut *guard;
        let Some(owned) = owned.get_mut(batch) else { return };
        if owned.listed.len() != piece.first {
            return;
        }
        let stopped = owned.add_listed(piece.results);
        end_runs(loads, &stopped);
        rewards.retain(|key| key.batch != *batch || owned.is_scoring(key.item));
        owned.notify();
        let finished = owned.is_finished().then_some(owned.owned_since);
        drop(guard);
        if let Some(begun) = finished {
            self.deps.events.finished(batch, self.now().since(begun));
        }
    }
}

/// Marks the batch as being written if it has unstored results and no active writer. Returns whether the caller has to
/// start a writer.
pub(super) fn mark_writing(owned: &mut OwnedBatch) -> bool {
    let must_start = !owned.is_writing && owned.may_write() && !owned.unlisted.is_empty();
    owned.is_writing |= must_start;
    must_start
}
