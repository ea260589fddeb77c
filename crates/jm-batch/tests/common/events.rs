//! Records what the hosts of a test report.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use jm_batch::{
    BatchEvents, BatchPhase, BatchProgress, BegunAnew, CarriedOver, Displacement, GenerationEnd,
    HandoverEvents, HandoverReply, PlacedItems, ResultsRead, RewardAttempt, RewardEnd, RunEnd, StateSource,
};
use jm_forward::{RunKey, Target};
use jm_types::{BatchId, DurationMs, MemberId};

#[derive(Default)]
pub(crate) struct RecordedEvents {
    pub(crate) failed_runs: Mutex<Vec<GenerationEnd>>,
    pub(crate) expired: AtomicU64,
    /// Events of each text that began anew, and how long its item had waited.
    pub(crate) begun_anew: Mutex<Vec<(u64, Option<DurationMs>)>>,
    pub(crate) moved: AtomicU64,
    pub(crate) placed: AtomicU64,
    pub(crate) cached_tokens: AtomicU64,
    pub(crate) taken_over: AtomicU64,
    pub(crate) repeated_starts: AtomicU64,
    pub(crate) released: AtomicU64,
    /// Number of pauses after which the host goes on.
    pub(crate) confirmations: AtomicU64,
    /// Phase and source of each state that named another owner of a batch of the host.
    pub(crate) displacements: Mutex<Vec<(BatchPhase, StateSource)>>,
    pub(crate) carried: Mutex<CarriedOver>,
    pub(crate) reward_ends: Mutex<Vec<RewardEnd>>,
    pub(crate) hedged_rewards: AtomicU64,
    pub(crate) pauses: AtomicU64,
    pub(crate) confirmed: AtomicU64,
    pub(crate) overruled: AtomicU64,
    pub(crate) store_failures: AtomicU64,
    pub(crate) results_reads: Mutex<Vec<ResultsRead>>,
}

impl HandoverEvents for RecordedEvents {
    fn handed_over(&self, _batch: &BatchId, _to: &MemberId) {}
    fn handover_failed(&self, _batch: &BatchId, _to: &MemberId, _reply: HandoverReply) {}
    fn handover_accepted(&self, _batch: &BatchId, _from: &MemberId, _listed: usize) {}
    fn handover_confirmed(&self, _batch: &BatchId) {
        self.confirmed.fetch_add(1, Ordering::SeqCst);
    }
    fn handover_overruled(&self, _batch: &BatchId, _owner: &MemberId) {
        self.overruled.fetch_add(1, Ordering::SeqCst);
    }
}

impl BatchEvents for RecordedEvents {
    fn accepted(&self, _batch: &BatchId, _items: usize) {}
    fn taken_over(&self, _batch: &BatchId, _from: &MemberId, _listed: usize) {
        self.taken_over.fetch_add(1, Ordering::SeqCst);
    }
    fn carried_over(&self, _batch: &BatchId, carried: &CarriedOver) {
        *self.carried.lock().unwrap() = *carried;
    }
    fn start_repeated(&self, _batch: &BatchId) {
        self.repeated_starts.fetch_add(1, Ordering::SeqCst);
    }
    fn displaced(&self, displacement: &Displacement<'_>) {
        let (phase, source) = (displacement.phase, displacement.source);
        self.displacements.lock().unwrap().push((phase, source));
    }
    fn released(&self, _batch: &BatchId, _to: &MemberId) {
        self.released.fetch_add(1, Ordering::SeqCst);
    }
    fn paused(&self, _pause: DurationMs) {
        self.pauses.fetch_add(1, Ordering::SeqCst);
    }
    fn owners_confirmed(&self, _batches: usize, _unread: usize, _took: DurationMs) {
        self.confirmations.fetch_add(1, Ordering::SeqCst);
    }
    fn progress(&self, _batch: &BatchId, _progress: &BatchProgress) {}
    fn finished(&self, _batch: &BatchId, _took: DurationMs) {}
    fn ended(&self, _batch: &BatchId, _listed: usize) {}
    fn removed(&self, _batch: &BatchId, _closed_for: DurationMs) {}
    fn run_failed(&self, end: &RunEnd<'_>) {
        self.failed_runs.lock().unwrap().push(end.end.clone());
    }
    fn resumed(&self, _batch: &BatchId, _item: &str, _target: &Target, _events: u64) {}
    fn begun_anew(&self, begun: &BegunAnew<'_>) {
        self.begun_anew.lock().unwrap().push((begun.events, begun.waited));
    }
    fn placed(&self, _batch: &BatchId, placed: &PlacedItems) {
        let items = (placed.fastest + placed.cached_prompt) as u64;
        self.placed.fetch_add(items, Ordering::SeqCst);
        self.cached_tokens
            .fetch_add(placed.cached_tokens, Ordering::SeqCst);
    }
    fn moved(&self, _batch: &BatchId, _item: &str, _from: &RunKey, _to: &RunKey, _saving: DurationMs) {
        self.moved.fetch_add(1, Ordering::SeqCst);
    }
    fn reward_attempt_ended(&self, attempt: &RewardAttempt<'_>) {
        self.reward_ends.lock().unwrap().push(attempt.end.clone());
    }
    fn reward_hedged(
        &self,
        _batch: &BatchId,
        _item: &str,
        _first: &RunKey,
        _second: &RunKey,
        _waited: DurationMs,
    ) {
        self.hedged_rewards.fetch_add(1, Ordering::SeqCst);
    }
    fn results_read(&self, _batch: &BatchId, read: &ResultsRead) {
        self.results_reads.lock().unwrap().push(*read);
    }
    fn expired(&self, _batch: &BatchId, _item: &str, _reason: &str) {
        self.expired.fetch_add(1, Ordering::SeqCst);
    }
    fn store_failed(&self, _batch: &BatchId, _action: &str, _reason: &str) {
        self.store_failures.fetch_add(1, Ordering::SeqCst);
    }
}
