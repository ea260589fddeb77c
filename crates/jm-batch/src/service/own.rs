//! Takes batches over, hands them to others, and tidies up after them.

use std::sync::Arc;

use async_std::task;
use futures::future::try_join;
use jm_platform::Version;
use jm_route::owner_by_key;
use jm_types::{BatchId, Incarnation, MemberId};

use super::{BatchService, KEPT_RESULTS, Known, keep};
use crate::{
    BatchPhase, BatchResult, BatchState, ItemText, StoreError, Takeover, checkpoint::longest_texts,
    engine_load::ForeignWork, runner::Adopted, store::Changed, takeover,
};

/// What earlier owners of a batch left in the store.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) listed: Vec<BatchResult>,
    pub(super) texts: Vec<ItemText>,
}

impl BatchService {
    /// Looks at every batch: whether this host has to run it, or to stop running it.
    pub fn reconcile(self: &Arc<Self>) {
        let known: Vec<Known> = self.state().known.values().cloned().collect();
        let mut foreign = Vec::new();
        let now = self.parts.clock.now();
        for Known {
            state,
            version,
            displaced_at,
        } in known
        {
            let owns = self.runner.owns(&state.batch);
            match takeover(
                &state,
                &self.options.local_member,
                self.options.incarnation,
                &*self.parts.members,
                displaced_at.map(|displaced_at| now.since(displaced_at)),
            ) {
                Takeover::Own if !owns => self.begin(state, None),
                Takeover::Claim => self.begin(state, Some(version)),
                Takeover::Own => {}
                Takeover::None if state.phase == BatchPhase::Running => {
                    foreign.push(ForeignWork {
                        model: state.model.clone(),
                        min_version: state.min_version,
                        tokens: state.work_tokens,
                    });
                    if owns {
                        self.stop(&state);
                    }
                }
                Takeover::None => {
                    if state.phase == BatchPhase::Ended {
                        self.runner.end(&state.batch);
                    }
                }
            }
        }
        self.runner.set_foreign(foreign);
    }

    fn stop(&self, state: &BatchState) {
        if let Some(listed) = self.runner.release(&state.batch) {
            keep(
                &mut self.state().results,
                &state.batch,
                Arc::new(listed),
                KEPT_RESULTS,
            );
            self.parts.events.released(&state.batch, &state.owner);
        }
    }

    /// Takes a batch over, after a claim when another host owned it.
    pub(super) fn begin(self: &Arc<Self>, state: BatchState, claim: Option<Version>) {
        let may_begin = {
            let mut own = self.state();
            !own.is_leaving && own.claiming.insert(state.batch.clone())
        };
        if !may_begin {
            return;
        }
        let service = Arc::clone(self);
        task::spawn(async move {
            let batch = state.batch.clone();
            if let Err(error) = service.take_over(state, claim).await {
                service
                    .parts
                    .events
                    .store_failed(&batch, "take over", &error.to_string());
            }
            service.state().claiming.remove(&batch);
        });
    }

    async fn take_over(&self, state: BatchState, claim: Option<Version>) -> Result<(), StoreError> {
        let from = state.owner.clone();
        let mut earlier_owners = state.earlier_owners;
        if let Some(version) = claim {
            if !self.claim(state.clone(), version).await? {
                return Ok(());
            }
            earlier_owners += 1;
        }
        let store = &self.parts.store;
        let (spec, progress) = match earlier_owners {
            0 => (store.load_spec(&state.batch).await?, Progress::default()),
            // A step is due within seconds, so the parts are read at the same time.
            _ => {
                try_join(
                    store.load_spec(&state.batch),
                    self.load_progress(&state.batch, earlier_owners),
                )
                .await?
            }
        };
        let Some(spec) = spec else {
            return Err(StoreError::Corrupt {
                key: state.batch.to_string(),
                reason: "the state exists without a specification".to_owned(),
            });
        };
        let mut texts = self.state().handed.swap_remove(&state.batch).unwrap_or_default();
        texts.extend(progress.texts);
        // What an earlier owner carried over is among its texts and results.
        let earlier_batch = match earlier_owners {
            0 => self.recall_earlier(&spec).await,
            _ => None,
        };
        let count = progress.listed.len();
        let adopted = Adopted {
            listed: progress.listed,
            texts: longest_texts(texts),
            earlier_owners,
            earlier_batch,
        };
        self.runner.adopt(Arc::new(spec), adopted);
        self.parts.events.taken_over(&state.batch, &from, count);
        Ok(())
    }

    /// What the store holds of a batch that this many hosts, or runs of them, ran.
    pub(super) async fn load_progress(&self, batch: &BatchId, owners: u32) -> Result<Progress, StoreError> {
        let store = &self.parts.store;
        let (listed, texts) = try_join(store.load_results(batch), store.load_texts(batch, owners)).await?;
        Ok(Progress { listed, texts })
    }

    async fn claim(&self, state: BatchState, version: Version) -> Result<bool, StoreError> {
        let claimed = state.with_owner(self.options.local_member.clone(), self.options.incarnation);
        match self.parts.store.update_state(&claimed, version).await {
            Ok(Changed::Made(version)) => {
                self.remember(claimed, version);
                Ok(true)
            }
            Ok(Changed::Conflict) | Err(StoreError::Unknown { .. }) => {
                // The next review decides on what stands there.
                if let Some((state, version)) = self.parts.store.load_state(&claimed.batch).await? {
                    self.remember(state, version);
                }
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Marks batches as finished whose results are all listed, and removes those that nobody can ask for any more.
    pub async fn clean_up(&self) {
        for batch in self.runner.finished_batches() {
            let Some(known) = self.known(&batch) else { continue };
            if known.state.phase == BatchPhase::Running {
                self.mark_finished(known).await;
            }
        }
        let unix_ms = self.parts.wall_clock.unix_ms();
        let oldest_unix_ms = unix_ms.saturating_sub(self.options.retention_ms.get());
        self.runner.evict(oldest_unix_ms);
        let old: Vec<BatchId> = {
            let state = self.state();
            let old = state
                .known
                .values()
                .filter(|known| self.is_own_to_remove(&known.state, oldest_unix_ms));
            old.map(|known| known.state.batch.clone()).collect()
        };
        for batch in old {
            match self.parts.store.remove(&batch).await {
                Ok(()) => self.evict(&batch),
                Err(error) => self
                    .parts
                    .events
                    .store_failed(&batch, "remove", &error.to_string()),
            }
        }
    }

    fn is_own_to_remove(&self, state: &BatchState, oldest_unix_ms: u64) -> bool {
        state.submitted_unix_ms < oldest_unix_ms
            && self.successor(&state.batch).as_ref() == Some(&self.options.local_member)
    }

    async fn mark_finished(&self, known: Known) {
        let finished = BatchState {
            phase: BatchPhase::Finished,
            ..known.state
        };
        match self.parts.store.update_state(&finished, known.version).await {
            Ok(Changed::Made(version)) => {
                self.remember(finished, version);
            }
            Ok(Changed::Conflict) => {
                // Its submitter ended it meanwhile, which the watch brings.
            }
            Err(error) => {
                let reason = error.to_string();
                self.parts
                    .events
                    .store_failed(&finished.batch, "mark as finished", &reason);
            }
        }
    }

    /// Hands the batches of this host to others before it stops.
    pub async fn hand_over(&self) {
        self.state().is_leaving = true;
        for batch in self.runner.open_batches() {
            let Some(known) = self.known(&batch) else { continue };
            let Some((owner, owner_incarnation)) = self.next_owner(&batch) else {
                continue;
            };
            let handed = known.state.with_owner(owner, owner_incarnation);
            match self.parts.store.update_state(&handed, known.version).await {
                Ok(Changed::Made(version)) => {
                    let texts = self.runner.open_texts(&batch);
                    self.stop(&handed);
                    self.remember(handed.clone(), version);
                    self.parts.peers.announce(&handed, version, texts).await;
                }
                Ok(Changed::Conflict) => {}
                Err(error) => {
                    let reason = error.to_string();
                    self.parts.events.store_failed(&batch, "hand over", &reason);
                }
            }
        }
    }

    fn next_owner(&self, batch: &BatchId) -> Option<(MemberId, Incarnation)> {
        let live: Vec<(MemberId, Incarnation)> = self.parts.members.live();
        let others: Vec<MemberId> = live
            .iter()
            .map(|(member, _)| member.clone())
            .filter(|member| *member != self.options.local_member)
            .collect();
        let key = self.known(batch)?.state;
        let next = owner_by_key(key.owner_key(), &others)?;
        live.iter().find(|(member, _)| member == next).cloned()
    }

    fn successor(&self, batch: &BatchId) -> Option<MemberId> {
        let live: Vec<MemberId> = self
            .parts
            .members
            .live()
            .into_iter()
            .map(|(member, _)| member)
            .collect();
        owner_by_key(batch.as_str(), &live).cloned()
    }
}
