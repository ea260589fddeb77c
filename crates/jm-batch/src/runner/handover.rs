//! Passes the progress of a batch between its former and its current owner.

use std::{collections::HashSet, sync::Arc};

use async_std::task;
use jm_types::{BatchId, DurationMs};

use super::{RecoveredProgress, Runner, RunnerState, end_runs, write::mark_writing};
use crate::{
    BatchResult, BatchSpec, EngineLoads, Giver, ItemText, ObservedSpeed, ProgressReport, RewardKey,
    RunningItem,
    owned::{OwnedBatch, UsedCapacity},
};

/// Progress of a batch at the moment of its handover.
pub(crate) struct HandoverProgress {
    pub(crate) spec: Arc<BatchSpec>,
    pub(crate) listed: Vec<BatchResult>,
    pub(crate) unlisted: Vec<BatchResult>,
    pub(crate) texts: Vec<ItemText>,
    pub(crate) running: Vec<RunningItem>,
    /// Whether the failure counts include those of all earlier owners.
    pub(crate) has_all_failures: bool,
    pub(crate) speeds: Vec<ObservedSpeed>,
}

/// What the next owner has received.
pub(crate) struct ReportedProgress {
    /// Items that were still running.
    pub(crate) running: HashSet<usize>,
    /// Ids of the items whose results it has.
    pub(crate) results: HashSet<String>,
}

impl ReportedProgress {
    pub(crate) fn new(running: &[RunningItem], results: &[BatchResult]) -> Self {
        Self {
            running: running.iter().map(|running| running.item).collect(),
            results: results.iter().map(|result| result.item.clone()).collect(),
        }
    }

    pub(crate) fn record(&mut self, report: &ProgressReport) {
        self.running = report.running.iter().copied().collect();
        let results = report.results.iter().map(|result| result.item.clone());
        self.results.extend(results);
    }

    /// Whether the receiver needs the report.
    pub(crate) fn is_news(&self, report: &ProgressReport) -> bool {
        report.running.len() < self.running.len() || !report.results.is_empty() || !report.texts.is_empty()
    }
}

impl Runner {
    /// Starts and writes nothing more of a batch, whose runs and reward calls continue, and returns its progress.
    /// `None` if this host does not run the batch.
    pub(crate) fn begin_handover(&self, batch: &BatchId) -> Option<HandoverProgress> {
        let mut state = self.state();
        let owned = state.owned.get_mut(batch).filter(|owned| !owned.is_ended)?;
        owned.is_handed_over = true;
        owned.plan.set_paused(true);
        // Readers that wait here have to ask the next owner.
        owned.notify();
        let running = owned.runs.iter();
        let running = running.map(|(item, run)| RunningItem::new(*item, &run.target));
        Some(HandoverProgress {
            spec: Arc::clone(&owned.spec),
            listed: owned.listed.clone(),
            unlisted: owned.unlisted.clone(),
            texts: owned.open_texts(),
            running: running.collect(),
            has_all_failures: owned.has_all_failures,
            speeds: state.loads.speeds(),
        })
    }

    /// Resumes a batch that the next owner did not accept.
    pub(crate) fn cancel_handover(self: &Arc<Self>, batch: &BatchId) {
        let now = self.now();
        let mut guard = self.state();
        let RunnerState { owned, rewards, .. } = &mut *guard;
        let Some(owned) = owned.get_mut(batch) else { return };
        owned.is_handed_over = false;
        owned.plan.set_paused(false);
        for item in owned.scoring_items() {
            let batch = batch.clone();
            rewards.push(RewardKey { batch, item }, now);
        }
        let must_write = mark_writing(owned);
        drop(guard);
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch.clone()));
        }
        self.wake();
    }

    /// Stops the runs of a batch that was handed over. Their texts remain for the last report.
    pub(crate) fn stop_handed_over(&self, batch: &BatchId) {
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        if let Some(owned) = owned.get_mut(batch) {
            end_runs(loads, &owned.stop_all());
        }
    }

    /// Stops the reward calls of a batch that the next owner accepted, because that host makes them now.
    pub(crate) fn stop_rewards(&self, batch: &BatchId) {
        self.state().rewards.retain(|key| key.batch != *batch);
    }

    /// Progress since the last report: the results, the texts of items that do not run any more, and with `is_full` also
    /// the partial texts of running items. `None` if the batch has ended.
    pub(crate) fn progress_report(
        &self,
        batch: &BatchId,
        reported: &ReportedProgress,
        is_full: bool,
    ) -> Option<ProgressReport> {
        let state = self.state();
        let owned = state.owned.get(batch).filter(|owned| !owned.is_ended)?;
        let running: Vec<usize> = owned.runs.keys().copied().collect();
        let is_due = |item: usize| is_full || !running.contains(&item);
        let mut texts = owned.open_texts();
        texts.retain(|text| reported.running.contains(&text.item) && is_due(text.item));
        let results = owned.unlisted.iter();
        let results = results.filter(|result| !reported.results.contains(&result.item));
        Some(ProgressReport {
            batch: batch.clone(),
            texts,
            results: results.cloned().collect(),
            running,
        })
    }

    /// All open progress of a batch, for an owner that the store prefers to this host.
    pub(crate) fn open_progress(&self, batch: &BatchId) -> Option<ProgressReport> {
        let state = self.state();
        let owned = state.owned.get(batch).filter(|owned| !owned.is_ended)?;
        Some(ProgressReport {
            batch: batch.clone(),
            texts: owned.open_texts(),
            results: owned.unlisted.clone(),
            running: Vec::new(),
        })
    }

    /// Starts a batch that `giver` handed over and whose state is not stored yet. The items that `giver` still runs
    /// start after `hold` at the latest.
    pub(crate) fn start_handed_over(
        self: &Arc<Self>,
        spec: Arc<BatchSpec>,
        progress: RecoveredProgress,
        running: Vec<RunningItem>,
        giver: Giver,
        hold: DurationMs,
    ) {
        let mut owned = self.recovered(spec, progress);
        owned.is_unconfirmed = true;
        owned.hold_items(running, giver, self.now().after(hold));
        let used: Vec<UsedCapacity> = owned.held_capacity().cloned().collect();
        // Counted before the batch is visible, so that no scheduling pass places other items on this capacity.
        let mut state = self.state();
        for used in &used {
            state.loads.run_started(&used.target, used.tokens);
        }
        drop(state);
        if !self.insert(owned, None) {
            let mut state = self.state();
            for used in &used {
                state.loads.run_ended(&used.target, used.tokens);
            }
        }
    }

    /// Adopts what a former owner observed of the engines' speeds.
    pub(crate) fn adopt_speeds(&self, speeds: Vec<ObservedSpeed>) {
        self.state().loads.adopt_speeds(speeds);
    }

    /// Records that the store names this host as the owner.
    pub(crate) fn confirm_handover(&self, batch: &BatchId) {
        if let Some(owned) = self.state().owned.get_mut(batch) {
            owned.is_unconfirmed = false;
        }
    }

    /// Merges the progress that a former owner reported. Returns whether this host runs the batch.
    pub(crate) fn merge(self: &Arc<Self>, report: ProgressReport) -> bool {
        let now = self.now();
        let ProgressReport {
            batch,
            texts,
            results,
            running,
        } = report;
        let mut guard = self.state();
        let RunnerState {
            owned,
            loads,
            rewards,
            ..
        } = &mut *guard;
        let is_open = |owned: &&mut OwnedBatch| !owned.is_ended && !owned.is_handed_over;
        let Some(owned) = owned.get_mut(&batch).filter(is_open) else {
            return false;
        };
        end_runs(loads, &owned.adopt_results(results));
        let merged = owned.merge_texts(texts);
        end_runs(loads, &merged.stopped);
        free_capacity(loads, &owned.release_held(&running, now));
        rewards.retain(|key| key.batch != batch || owned.is_scoring(key.item));
        for item in merged.scoring {
            let batch = batch.clone();
            rewards.push(RewardKey { batch, item }, now);
        }
        let must_write = mark_writing(owned);
        drop(guard);
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch));
        }
        self.wake();
        true
    }

    /// Lets items start that are held for too long or for a host that has ended.
    pub(crate) fn release_held(&self, has_ended: impl Fn(&Giver) -> bool) {
        let now = self.now();
        let mut state = self.state();
        let RunnerState { owned, loads, .. } = &mut *state;
        for owned in owned.values_mut() {
            if owned.must_release_held(&has_ended, now) {
                free_capacity(loads, &owned.release_held(&[], now));
            }
        }
    }
}

pub(super) fn free_capacity(loads: &mut EngineLoads, free: &[UsedCapacity]) {
    for used in free {
        loads.run_ended(&used.target, used.tokens);
    }
}
