//! Hands the batches of this host over to their next owners, and receives those of other hosts.
//!
//! `docs/design/batch-handover.md` describes the messages and the failures.

use std::sync::Arc;

use async_std::{sync::Mutex, task};
use futures::future::join_all;
use jm_platform::Version;
use jm_types::{BatchId, DurationMs, MemberId};

use super::{BatchService, CachedState, ReadError, STATE_RETRY_DELAY_MS};
use crate::{
    BatchPhase, BatchState, Candidate, Giver, Handover, HandoverReply, HandoverStatus, PendingHandover,
    ProgressReport, StateSource, StoreError,
    checkpoint::longest_texts,
    handover::MAX_HANDOVER_BYTES,
    next_owner,
    runner::{RecoveredProgress, ReportedProgress},
    store::WriteOutcome,
};

/// Maximum number of hosts that are asked to accept a batch before the handover goes through the store. Each may take a
/// second not to answer.
const MAX_OFFERS: usize = 2;

/// Maximum attempts to hand a batch over through the store.
const MAX_STORED_ATTEMPTS: usize = 2;

/// How long the next owner does not start the items that the former one still runs.
const HOLD_MS: DurationMs = DurationMs::new(3_000);

/// How long a host continues the running items of a batch that it handed over. The last report arrives within [`HOLD_MS`].
const RUN_ON_MS: DurationMs = DurationMs::new(2_400);

/// Interval of the checks for items that ended after the handover.
const REPORT_POLL_MS: DurationMs = DurationMs::new(50);

/// Number of checks per report of the partial texts, which the next owner resumes if this host is killed.
const POLLS_PER_FULL_REPORT: u32 = 10;

/// Maximum number of attempts to report the progress made without being the owner.
const MAX_REPORT_ATTEMPTS: usize = 5;

/// Delay before such a report is repeated.
const REPORT_RETRY_DELAY_MS: DurationMs = DurationMs::new(300);

/// Maximum delay between two attempts to store the state of an accepted handover.
const MAX_CONFIRM_DELAY_MS: DurationMs = DurationMs::new(800);

impl BatchService {
    /// Hands the batches of this host over to other hosts before it shuts down. Running items continue for a few seconds,
    /// and their texts are reported to the next owners.
    pub async fn hand_over(&self) {
        self.state().is_leaving = true;
        // Offers are made one after the other, because an encoded handover may need several megabytes.
        let unavailable = Mutex::new(Vec::new());
        let batches = self.runner.open_batches();
        let handovers = batches.iter().map(|batch| async {
            let mut unavailable = unavailable.lock().await;
            let accepted = self.offer(batch, &mut unavailable).await;
            drop(unavailable);
            match accepted {
                Some((state, reported)) => self.finish_running(&state, reported).await,
                None => self.hand_over_stored(batch).await,
            }
        });
        join_all(handovers).await;
    }

    /// Offers a batch to its next owner. Returns the state that the next owner accepted with what it received; `None` if
    /// no host accepted the batch.
    async fn offer(
        &self,
        batch: &BatchId,
        unavailable: &mut Vec<MemberId>,
    ) -> Option<(BatchState, ReportedProgress)> {
        for _ in 0..MAX_OFFERS {
            let next = self.next_owner(batch, unavailable)?;
            let handover = self.handover_to(batch, next.clone())?;
            if handover.size_bytes() > MAX_HANDOVER_BYTES {
                self.runner.cancel_handover(batch);
                return None;
            }
            let reported = ReportedProgress::new(&handover.running, &handover.unlisted);
            let state = handover.state.clone();
            let reply = self.deps.peers.hand_over(handover).await;
            if reply == HandoverReply::Accepted {
                self.runner.stop_rewards(batch);
                let mut service_state = self.state();
                service_state.pending_handovers.swap_remove(batch);
                service_state.handed_to.insert(batch.clone(), state.clone());
                drop(service_state);
                self.deps.events.handed_over(batch, &state.owner);
                return Some((state, reported));
            }
            self.runner.cancel_handover(batch);
            self.deps.events.handover_failed(batch, &state.owner, reply);
            unavailable.push(next.member);
        }
        None
    }

    /// The handover of a batch, which this host then only ends. `None` if it does not run the batch any more.
    fn handover_to(&self, batch: &BatchId, next: Candidate) -> Option<Handover> {
        let CachedState { state, version, .. } = self.cached_state(batch)?;
        let pending = self.state().pending_handovers.get(batch).cloned();
        let (current, givers) = match pending {
            Some(pending) => (pending.state, pending.givers),
            None => (state.clone(), Vec::new()),
        };
        let giver = Giver {
            member: self.options.local_member.clone(),
            incarnation: self.options.incarnation,
        };
        let progress = self.runner.begin_handover(batch)?;
        Some(Handover {
            state: current.with_owner(next.member, next.incarnation),
            stored: state,
            version,
            givers: PendingHandover::with_giver(givers, giver),
            spec: progress.spec,
            listed: progress.listed,
            unlisted: progress.unlisted,
            texts: progress.texts,
            running: progress.running,
            has_all_failures: progress.has_all_failures,
            speeds: progress.speeds,
        })
    }

    /// Reports the texts of the items that still run here, until all have ended or the next owner may start them.
    async fn finish_running(&self, state: &BatchState, mut reported: ReportedProgress) {
        let clock = &self.deps.clock;
        let batch = &state.batch;
        let until = clock.now().after(RUN_ON_MS);
        let mut polls = 0;
        loop {
            task::sleep(REPORT_POLL_MS.as_std()).await;
            polls += 1;
            let is_last = clock.now() >= until;
            if is_last {
                self.runner.stop_handed_over(batch);
            }
            let is_full = is_last || polls % POLLS_PER_FULL_REPORT == 0;
            let Some(report) = self.runner.progress_report(batch, &reported, is_full) else {
                break;
            };
            if reported.is_news(&report) && self.deps.peers.report(&state.owner, report.clone()).await {
                reported.record(&report);
            }
            if is_last || reported.running.is_empty() {
                break;
            }
        }
        self.release(state);
    }

    /// Hands a batch over through the store.
    async fn hand_over_stored(&self, batch: &BatchId) {
        for _ in 0..MAX_STORED_ATTEMPTS {
            let Some(cached) = self.cached_state(batch) else {
                return;
            };
            let Some(next) = self.next_owner(batch, &[]) else {
                return;
            };
            let pending = self.state().pending_handovers.get(batch).cloned();
            let current = pending.map_or(cached.state, |pending| pending.state);
            let handed = current.with_owner(next.member, next.incarnation);
            // The store's event may arrive before its answer, and then releases the batch with its texts.
            let mut texts = self.runner.open_texts(batch);
            match self.deps.store.update_state(&handed, cached.version).await {
                Ok(WriteOutcome::Applied(version)) => {
                    self.state().pending_handovers.swap_remove(batch);
                    texts.extend(self.runner.open_texts(batch));
                    self.release(&handed);
                    self.cache_state(handed.clone(), version, StateSource::Write);
                    let texts = longest_texts(texts);
                    self.deps.peers.announce(&handed, version, texts).await;
                    return;
                }
                Ok(WriteOutcome::Conflict) => {
                    // The state of a handover that this host accepted may have been stored in the meantime.
                    if self.load_state(batch).await.is_err() || !self.is_about_to_run(batch) {
                        return;
                    }
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.deps.events.store_failed(batch, "hand over", &reason);
                    return;
                }
            }
        }
    }

    fn next_owner(&self, batch: &BatchId, unavailable: &[MemberId]) -> Option<Candidate> {
        let unix_ms = self.deps.wall_clock.unix_ms();
        // An incarnation is the time of the start in milliseconds since the Unix epoch.
        let age_ms = |started_unix_ms: u64| DurationMs::new(unix_ms.saturating_sub(started_unix_ms));
        let members = self.deps.members.owner_candidates();
        let state = self.state();
        let own_state = &state.cached_states.get(batch)?.state;
        let key = own_state.owner_key();
        let others = members
            .into_iter()
            .filter(|(member, _)| *member != self.options.local_member && !unavailable.contains(member));
        let candidates: Vec<Candidate> = others
            .map(|(member, incarnation)| {
                let is_counted = |other: &&CachedState| {
                    other.state.phase == BatchPhase::Running
                        && other.state.is_owned_by(&member, incarnation)
                        && other.state.owner_key() != key
                };
                let other_batches = state.cached_states.values().filter(is_counted).count();
                Candidate {
                    age_ms: age_ms(incarnation.get()),
                    member,
                    incarnation,
                    other_batches,
                }
            })
            .collect();
        next_owner::next_owner(key, &candidates, age_ms(self.options.incarnation.get())).cloned()
    }

    /// The host that accepted a batch from this host and that the store may not name yet.
    pub(super) fn handed_to(&self, batch: &BatchId) -> Option<MemberId> {
        let state = self.state();
        state.handed_to.get(batch).map(|state| state.owner.clone())
    }

    /// Handles a handover. Returns whether this host runs the batch from now on. Its waiting items start at once, and its
    /// state is stored in the background.
    pub fn accept_handover(self: &Arc<Self>, handover: Handover) -> bool {
        let local = &self.options.local_member;
        let Some(giver) = handover.givers.last().cloned() else {
            return false;
        };
        if !handover.state.is_owned_by(local, self.options.incarnation) {
            return false;
        }
        self.cache_state(handover.stored, handover.version, StateSource::Peer);
        let mut pending = PendingHandover {
            state: handover.state,
            version: handover.version,
            givers: handover.givers,
        };
        let batch = pending.state.batch.clone();
        let earlier_owners = pending.state.earlier_owners;
        let (mut must_confirm, mut is_confirmed) = (false, false);
        {
            let mut state = self.state();
            let Some(cached) = state.cached_states.get(&batch).filter(|_| !state.is_leaving) else {
                return false;
            };
            match pending.status(&cached.state, cached.version) {
                HandoverStatus::Overruled => return false,
                HandoverStatus::Confirmed => is_confirmed = true,
                HandoverStatus::Pending | HandoverStatus::Delayed => {
                    pending.version = cached.version;
                    self.notify_hosts(&pending);
                    must_confirm = state.pending_handovers.insert(batch.clone(), pending).is_none();
                }
            }
        }
        match self.runner.owns(&batch) {
            true => drop(self.runner.merge(ProgressReport {
                batch: batch.clone(),
                texts: handover.texts,
                results: handover.unlisted,
                running: handover.running.iter().map(|running| running.item).collect(),
            })),
            false => {
                self.deps
                    .events
                    .handover_accepted(&batch, &giver.member, handover.listed.len());
                let progress = RecoveredProgress {
                    listed: handover.listed,
                    texts: handover.texts,
                    earlier_owners,
                    unlisted: handover.unlisted,
                    has_all_failures: handover.has_all_failures,
                    previous_batch: None,
                };
                self.runner.adopt_speeds(handover.speeds);
                self.runner
                    .start_handed_over(handover.spec, progress, handover.running, giver, HOLD_MS);
            }
        }
        if is_confirmed {
            self.runner.confirm_handover(&batch);
        }
        match must_confirm {
            true => drop(task::spawn(Arc::clone(self).confirm_handover(batch))),
            false => self.reconcile(),
        }
        true
    }

    /// Handles the progress that a former owner of a batch reports. Returns whether this host runs the batch.
    pub fn receive_report(&self, report: ProgressReport) -> bool {
        self.runner.merge(report)
    }

    /// Stores the state of an accepted handover, or finds out what is stored instead.
    async fn confirm_handover(self: Arc<Self>, batch: BatchId) {
        let mut delay_ms = STATE_RETRY_DELAY_MS;
        loop {
            let pending = self.state().pending_handovers.get(&batch).cloned();
            let Some(pending) = pending else { return };
            let error = match self
                .deps
                .store
                .update_state(&pending.state, pending.version)
                .await
            {
                Ok(WriteOutcome::Applied(version)) => {
                    self.cache_state(pending.state, version, StateSource::Write);
                    None
                }
                Ok(WriteOutcome::Conflict) | Err(StoreError::Unknown { .. }) => {
                    match self.load_state(&batch).await {
                        Ok(_) => None,
                        Err(ReadError::NotFound) => {
                            self.runner.release(&batch);
                            self.evict(&batch);
                            return;
                        }
                        Err(error) => Some(error.to_string()),
                    }
                }
                Err(error) => Some(error.to_string()),
            };
            self.reconcile();
            if let Some(reason) = error {
                self.deps
                    .events
                    .store_failed(&batch, "confirm a handover", &reason);
            }
            if self.state().pending_handovers.contains_key(&batch) {
                task::sleep(delay_ms.as_std()).await;
                delay_ms = MAX_CONFIRM_DELAY_MS.min(DurationMs::new(delay_ms.get() * 2));
            }
        }
    }

    /// Applies a stored state to a handover that this host accepted. Returns whether this host runs the batch although the
    /// state names another owner.
    pub(super) fn runs_unconfirmed(&self, stored: &BatchState, version: Version) -> bool {
        let batch = &stored.batch;
        let mut state = self.state();
        let Some(pending) = state.pending_handovers.get_mut(batch) else {
            return false;
        };
        let status = pending.status(stored, version);
        match status {
            HandoverStatus::Pending => return true,
            HandoverStatus::Delayed => {
                pending.version = version;
                return true;
            }
            HandoverStatus::Confirmed | HandoverStatus::Overruled => {
                state.pending_handovers.swap_remove(batch);
            }
        }
        drop(state);
        if status == HandoverStatus::Confirmed {
            self.runner.confirm_handover(batch);
            self.deps.events.handover_confirmed(batch);
            return false;
        }
        if stored.phase == BatchPhase::Running {
            self.deps.events.handover_overruled(batch, &stored.owner);
            self.report_to_owner(stored);
        }
        false
    }

    /// Reports the progress that this host made without being the owner.
    fn report_to_owner(&self, stored: &BatchState) {
        let Some(report) = self.runner.open_progress(&stored.batch) else {
            return;
        };
        let (peers, owner) = (Arc::clone(&self.deps.peers), stored.owner.clone());
        task::spawn(async move {
            for _ in 0..MAX_REPORT_ATTEMPTS {
                if peers.report(&owner, report.clone()).await {
                    return;
                }
                // The owner may still be reading the batch from the store.
                task::sleep(REPORT_RETRY_DELAY_MS.as_std()).await;
            }
        });
    }
}
