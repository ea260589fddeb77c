//! Takes batches over after failures.

use std::sync::Arc;

use async_std::task;
use futures::future::try_join;
use jm_forward::ItemSender;
use jm_platform::Version;
use jm_types::{BatchId, DurationMs, Timestamp};

use super::{BatchService, CachedState, MAX_CACHED_RESULTS, STATE_RETRY_DELAY_MS, insert_bounded};
use crate::{
    BatchPhase, BatchResult, BatchState, CopyDecision, ItemText, RemoteWork, StateSource, StoreError,
    Takeover, checkpoint::longest_texts, copy_decision, runner::RecoveredProgress, store::WriteOutcome,
    takeover,
};

/// Maximum time for which an unresponsive store keeps this host from running its batches after a pause. Without the store
/// no other host can take them over either.
const MAX_CONFIRMATION_MS: DurationMs = DurationMs::new(3_000);

/// Results and texts that earlier owners of a batch stored.
#[derive(Default)]
pub(super) struct StoredProgress {
    pub(super) listed: Vec<BatchResult>,
    pub(super) texts: Vec<ItemText>,
}

impl BatchService {
    /// Starts the batches that this host has to run and stops those that it no longer has to run.
    pub fn reconcile(self: &Arc<Self>) {
        let cached: Vec<CachedState> = self.state().cached_states.values().cloned().collect();
        let mut remote_work = Vec::new();
        let now = self.deps.clock.now();
        for cached in cached {
            let is_noticed = self.noticed_owner(&cached).is_some();
            let CachedState {
                state,
                version,
                displaced_at,
            } = cached;
            if self.runs_unconfirmed(&state, version) {
                continue;
            }
            self.update_copy(&state);
            let decision = takeover(
                &state,
                &self.options.local_member,
                self.options.incarnation,
                &*self.deps.members,
                displaced_at.map(|displaced_at| now.since(displaced_at)),
            );
            match decision {
                // A live host already runs the batch and only waits for the store.
                Takeover::Claim if is_noticed => {}
                Takeover::Own if !self.runs(&state.batch) => self.start_takeover(state, None),
                Takeover::Own => {}
                Takeover::Claim => self.start_takeover(state, Some(version)),
                Takeover::None if state.phase == BatchPhase::Running => remote_work.push(RemoteWork {
                    model: state.model.clone(),
                    min_version: state.min_version,
                    tokens: state.work_tokens,
                }),
                Takeover::None => {}
            }
        }
        self.runner.set_remote_work(remote_work);
        self.set_item_senders(now);
        let members = &self.deps.members;
        self.runner
            .release_held(|giver| !members.is_running(&giver.member, giver.incarnation));
    }

    /// Whether this host runs the batch. It only ends the running items of a batch that it handed over.
    fn runs(&self, batch: &BatchId) -> bool {
        let held = self.runner.held(batch);
        held.is_some_and(|held| !held.is_handed_over)
    }

    /// Releases this host's copy of a batch if it is outdated, and stops it if the batch is closed.
    fn update_copy(&self, state: &BatchState) {
        let Some(held) = self.runner.held(&state.batch) else {
            return;
        };
        // The items of a running batch that was handed over end here.
        if held.is_handed_over && state.phase == BatchPhase::Running {
            return;
        }
        let (own, incarnation) = (&self.options.local_member, self.options.incarnation);
        match copy_decision(state, own, incarnation, held.earlier_owners) {
            CopyDecision::Keep => {}
            CopyDecision::Stop => self.runner.end(&state.batch),
            CopyDecision::Release => self.release(state),
        }
    }

    /// Names the owners of running batches, which share the rate of requests that cold engines tolerate.
    fn set_item_senders(&self, now: Timestamp) {
        let gate = self.deps.routing_source.cold_gate();
        let Some(gate) = gate.filter(|gate| gate.has_limits()) else {
            return;
        };
        let state = self.state();
        let states = state.cached_states.values().map(|cached| &cached.state);
        let running = states.filter(|state| state.phase == BatchPhase::Running);
        let senders = running.map(|state| {
            let sender = ItemSender {
                owner: state.owner.clone(),
                model: state.model.clone(),
            };
            (sender, state.min_version)
        });
        gate.set_item_senders(senders, now);
    }

    /// After each pause of this process, reads the states of its batches before anything is started. The watch may
    /// deliver them seconds later.
    pub(super) async fn confirm_after_pauses(self: &Arc<Self>) {
        loop {
            self.runner.next_pause().await;
            let clock = &self.deps.clock;
            let begun = clock.now();
            let until = begun.after(MAX_CONFIRMATION_MS);
            let batches = self.runner.open_batches();
            let mut unread = 0;
            for batch in &batches {
                if !self.confirm_owner(batch, until).await {
                    unread += 1;
                }
            }
            self.reconcile();
            self.runner.resume();
            let took = clock.now().since(begun);
            self.deps.events.owners_confirmed(batches.len(), unread, took);
        }
    }

    /// Reads the state of a batch, with retries until `until`. Returns whether it was read.
    async fn confirm_owner(&self, batch: &BatchId, until: Timestamp) -> bool {
        while let Err(error) = self.load_state(batch).await {
            let reason = error.to_string();
            self.deps.events.store_failed(batch, "confirm the owner", &reason);
            if self.deps.clock.now() >= until {
                return false;
            }
            task::sleep(STATE_RETRY_DELAY_MS.as_std()).await;
        }
        true
    }

    pub(super) fn release(&self, state: &BatchState) {
        if let Some(listed) = self.runner.release(&state.batch) {
            let mut service_state = self.state();
            if service_state.is_current(state) {
                let results = &mut service_state.results;
                insert_bounded(results, &state.batch, Arc::new(listed), MAX_CACHED_RESULTS);
            }
            drop(service_state);
            self.deps.events.released(&state.batch, &state.owner);
        }
    }

    /// Takes a batch over in the background. If `state` names another owner, `claim` is its version, and this host
    /// first replaces the owner. `None` if `state` already names this host.
    pub(super) fn start_takeover(self: &Arc<Self>, state: BatchState, claim: Option<Version>) {
        let may_begin = {
            let mut service_state = self.state();
            !service_state.is_leaving && service_state.taking_over.insert(state.batch.clone())
        };
        if !may_begin {
            return;
        }
        let service = Arc::clone(self);
        task::spawn(async move {
            let batch = state.batch.clone();
            let taken_over = service.take_over(state, claim).await;
            service.state().taking_over.remove(&batch);
            match taken_over {
                // The batch may have ended or changed its owner while its objects were read.
                Ok(true) => service.reconcile(),
                Ok(false) => {}
                Err(error) => {
                    let reason = error.to_string();
                    service.deps.events.store_failed(&batch, "take over", &reason);
                }
            }
        });
    }

    /// Returns whether the batch was started on this host.
    async fn take_over(&self, state: BatchState, claim: Option<Version>) -> Result<bool, StoreError> {
        let begun = self.deps.clock.now();
        let from = state.owner.clone();
        let mut earlier_owners = state.earlier_owners;
        if let Some(version) = claim {
            if !self.claim(state.clone(), version).await? {
                return Ok(false);
            }
            earlier_owners += 1;
        }
        let store = &self.deps.store;
        let (spec, progress) = match earlier_owners {
            0 => (store.load_spec(&state.batch).await?, StoredProgress::default()),
            // A step is due within seconds, so both are read concurrently.
            _ => {
                try_join(
                    store.load_spec(&state.batch),
                    self.load_progress(&state.batch, earlier_owners),
                )
                .await?
            }
        };
        let spec = spec.ok_or_else(|| StoreError::Corrupt {
            key: state.batch.to_string(),
            reason: "the state object exists but the specification does not".to_owned(),
        })?;
        self.confirm_late(&state.batch, begun).await?;
        if !self.is_about_to_run(&state.batch) {
            return Ok(false);
        }
        let mut texts = self
            .state()
            .handed_over
            .swap_remove(&state.batch)
            .unwrap_or_default();
        texts.extend(progress.texts);
        // Items that an earlier owner carried over are already among its texts and results.
        let previous_batch = match earlier_owners {
            0 => self.load_previous_batch(&spec).await,
            _ => None,
        };
        let count = progress.listed.len();
        let recovered = RecoveredProgress {
            listed: progress.listed,
            texts: longest_texts(texts),
            earlier_owners,
            unlisted: Vec::new(),
            has_all_failures: false,
            previous_batch,
        };
        let is_started = self.runner.start_recovered(Arc::new(spec), recovered);
        if is_started {
            self.deps.events.taken_over(&state.batch, &from, count);
        }
        Ok(is_started)
    }

    /// Reads the state of a batch again before it starts here, if its preparation has taken long since `begun`. This host may
    /// have been frozen meanwhile, which the runner does not notice while nothing runs.
    pub(super) async fn confirm_late(&self, batch: &BatchId, begun: Timestamp) -> Result<(), StoreError> {
        let took = self.deps.clock.now().since(begun);
        if took >= self.options.runner.pause_threshold_ms
            && let Some((state, version)) = self.deps.store.load_state(batch).await?
        {
            self.cache_state(state, version, StateSource::Read);
        }
        Ok(())
    }

    /// The stored results and texts of a batch that has had this number of owners, counting each incarnation of a host.
    pub(super) async fn load_progress(
        &self,
        batch: &BatchId,
        owners: u32,
    ) -> Result<StoredProgress, StoreError> {
        let store = &self.deps.store;
        let (listed, texts) = try_join(store.load_results(batch), store.load_texts(batch, owners)).await?;
        Ok(StoredProgress { listed, texts })
    }

    async fn claim(&self, state: BatchState, version: Version) -> Result<bool, StoreError> {
        let claimed = state.with_owner(self.options.local_member.clone(), self.options.incarnation);
        match self.deps.store.update_state(&claimed, version).await {
            Ok(WriteOutcome::Applied(version)) => {
                self.cache_state(claimed, version, StateSource::Write);
                Ok(true)
            }
            Ok(WriteOutcome::Conflict) | Err(StoreError::Unknown { .. }) => {
                // The next reconciliation decides based on the stored state.
                if let Some((state, version)) = self.deps.store.load_state(&claimed.batch).await? {
                    self.cache_state(state, version, StateSource::Read);
                }
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}
