//! State of a batch that this host runs: its plan, partial texts, runs and results.

mod merge;
mod run;

use std::{cmp::Reverse, collections::HashSet, sync::Arc};

use async_std::channel::{Receiver, Sender, bounded};
use indexmap::IndexMap;
use jm_types::Timestamp;

use crate::{
    BatchPlan, BatchResult, BatchSpec, CheckpointState, ItemState, PlanOptions, ResultState, RewardScore,
    RewardUrgency,
    groups::Groups,
    item_text::{CarriedItem, ItemText},
    write_schedule::UnwrittenResults,
};

use merge::HeldItems;
pub(crate) use merge::UsedCapacity;
pub(crate) use run::{EventOutcome, Run, RunStart};

pub(crate) struct OwnedBatch {
    pub(crate) spec: Arc<BatchSpec>,
    /// Expected size of all items in tokens.
    pub(crate) work_tokens: u64,
    pub(crate) plan: BatchPlan,
    pub(crate) owned_since: Timestamp,
    texts: Vec<ItemText>,
    groups: Groups,
    /// Items that the submitter carried over from an earlier batch.
    carried: HashSet<usize>,
    pub(crate) runs: IndexMap<usize, Run>,
    /// Number of runs of an item that were stopped as stalled since its last event.
    stalls: IndexMap<usize, u32>,
    /// Since when items wait for engines of their text's version although others have room.
    bound_since: IndexMap<usize, Timestamp>,
    /// Results that are in the store.
    pub(crate) listed: Vec<BatchResult>,
    /// For each item, whether its result is in the store.
    is_listed: Vec<bool>,
    /// Results that are not stored yet.
    pub(crate) unlisted: Vec<BatchResult>,
    pub(crate) is_writing: bool,
    /// Whether the store may hold results of this host that it has not listed, because the answer to their write was lost.
    pub(crate) may_have_unread_piece: bool,
    /// Time of the last write of results, or of the start on this host.
    pub(crate) written_at: Timestamp,
    pub(crate) is_ended: bool,
    /// Number of owners before this one. Their last results may reach the store after this host read it.
    pub(crate) earlier_owners: u32,
    pub(crate) checkpoint: CheckpointState,
    /// Whether the plan's failure counts include those of all earlier owners.
    pub(crate) has_all_failures: bool,
    /// Whether this host got the batch from its former owner and the store does not name this host yet.
    pub(crate) is_unconfirmed: bool,
    /// Whether the next owner runs the batch, or is being asked to. This host only ends its running items.
    pub(crate) is_handed_over: bool,
    held: Option<HeldItems>,
    waiters: Vec<Sender<()>>,
}

impl OwnedBatch {
    pub(crate) fn new(
        spec: Arc<BatchSpec>,
        listed: Vec<BatchResult>,
        options: PlanOptions,
        now: Timestamp,
    ) -> Self {
        let mut plan = BatchPlan::new(&spec, options);
        let done: HashSet<&str> = listed.iter().map(|result| result.item.as_str()).collect();
        let is_listed = spec.items.iter().map(|item| done.contains(item.id.as_str()));
        let is_listed: Vec<bool> = is_listed.collect();
        for (index, _) in is_listed.iter().enumerate().filter(|(_, listed)| **listed) {
            plan.mark_done(index);
        }
        Self {
            texts: vec![ItemText::default(); spec.items.len()],
            groups: Groups::new(&spec),
            carried: HashSet::new(),
            plan,
            owned_since: now,
            work_tokens: spec.work_tokens(),
            spec,
            runs: IndexMap::new(),
            stalls: IndexMap::new(),
            bound_since: IndexMap::new(),
            listed,
            is_listed,
            unlisted: Vec::new(),
            is_writing: false,
            may_have_unread_piece: false,
            written_at: now,
            is_ended: false,
            earlier_owners: 0,
            checkpoint: CheckpointState {
                begun_at: now,
                ..CheckpointState::default()
            },
            has_all_failures: true,
            is_unconfirmed: false,
            is_handed_over: false,
            held: None,
            waiters: Vec::new(),
        }
    }

    /// Resumes texts of an earlier owner, except for items that already have a result.
    pub(crate) fn continue_texts(&mut self, texts: Vec<ItemText>) {
        for text in texts {
            let is_open = self.texts.len() > text.item && self.plan.state(text.item) != ItemState::Done;
            if is_open {
                let item = text.item;
                let is_complete = text.is_complete;
                self.plan.set_failures(item, text.failures);
                self.texts[item] = text;
                if is_complete {
                    self.complete(item);
                }
            }
        }
    }

    /// Reuses items of an earlier batch of the submitter and starts them before all others.
    pub(crate) fn continue_carried(&mut self, carried: Vec<CarriedItem>) {
        let indexes: Vec<usize> = carried.iter().map(|carried| carried.text.item).collect();
        for CarriedItem { text, score } in carried {
            let index = text.item;
            if matches!(self.plan.state(index), ItemState::Scoring | ItemState::Done) {
                continue;
            }
            self.plan.carry_failures(index, text.failures);
            if text.is_complete {
                self.texts[index] = text;
                match score {
                    Some(score) => self.finish(index, Some(score)),
                    None => drop(self.complete(index)),
                }
            } else if text.precedes(&self.texts[index]) {
                self.texts[index] = text;
            }
        }
        self.plan.prioritize(&indexes);
        self.carried.extend(indexes);
    }

    /// The partial text of an item; empty once the item has its result.
    pub(crate) fn text(&self, index: usize) -> &ItemText {
        &self.texts[index]
    }

    /// Texts and failure counts of the open items.
    pub(crate) fn open_texts(&self) -> Vec<ItemText> {
        let items = self.texts.iter().enumerate().map(|(item, text)| ItemText {
            item,
            failures: self.plan.failures(item),
            ..text.clone()
        });
        let is_open = |text: &ItemText| self.plan.state(text.item) != ItemState::Done;
        let has_progress =
            |text: &ItemText| text.is_complete || text.last_event.is_some() || text.failures > 0;
        items.filter(|text| is_open(text) && has_progress(text)).collect()
    }

    /// Sum of the failure counts of the open items that have at least `min_failures`.
    pub(crate) fn repeated_failures(&self, min_failures: usize) -> usize {
        let failures = (0..self.texts.len()).map(|item| self.plan.failures(item));
        failures.filter(|failures| *failures >= min_failures).sum()
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.listed.len() >= self.spec.items.len()
    }

    /// Properties of the unstored results that determine when they are written.
    pub(crate) fn unwritten(&self, now: Timestamp, unix_ms: u64) -> UnwrittenResults {
        let is_done = |index: usize| self.plan.state(index) == ItemState::Done;
        let listed_groups = self.groups.complete(|index| self.is_listed[index]);
        let done_groups = self.groups.complete(is_done);
        UnwrittenResults {
            results: self.unlisted.len(),
            has_expired: self
                .unlisted
                .iter()
                .any(|result| result.state == ResultState::Expired),
            has_wanted_groups: done_groups >= self.spec.wanted_groups.max(1),
            completes_group: done_groups > listed_groups,
            is_final: self.listed.len() + self.unlisted.len() >= self.spec.items.len(),
            due_at: self.due_at(now, unix_ms),
        }
    }

    /// When the results are due.
    pub(crate) fn due_at(&self, now: Timestamp, unix_ms: u64) -> Timestamp {
        let due_unix_ms = self.spec.submitted_unix_ms + self.spec.due_ms.get();
        Timestamp::new((now.get() + due_unix_ms).saturating_sub(unix_ms))
    }

    /// Urgency of the reward call of each item.
    pub(crate) fn reward_urgencies(&self, now: Timestamp, unix_ms: u64) -> Vec<RewardUrgency> {
        let due_at = self.due_at(now, unix_ms);
        let has_open_text = |item: usize| {
            matches!(
                self.plan.state(item),
                ItemState::Waiting { .. } | ItemState::Running
            )
        };
        let open_texts = self.groups.count_items(has_open_text);
        let carried = self.groups.count_items(|item| self.carried.contains(&item));
        let items = (0..self.spec.items.len()).map(|item| self.groups.of(item));
        let urgency = |group: usize| RewardUrgency {
            due_at,
            is_awaited: Reverse(carried[group] > 0),
            open_texts: open_texts[group],
        };
        items.map(urgency).collect()
    }

    /// Prompt tokens that the engine of a running item was expected to prefill.
    pub(crate) fn uncached_tokens(&self, index: usize) -> u64 {
        let cached_tokens = self.runs.get(&index).map_or(0, |run| run.cached_tokens);
        self.spec.items[index].prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Restarts the time limits of all runs, because the host did not read their events for a while.
    pub(crate) fn restart_time_limits(&mut self, now: Timestamp) {
        for run in self.runs.values_mut() {
            run.last_progress = now;
        }
    }

    /// Records that the text of an item is complete. Returns whether it now waits for its score; otherwise it has its
    /// result.
    pub(crate) fn complete(&mut self, index: usize) -> bool {
        let is_scored = self.spec.items[index].reward.is_some();
        if is_scored {
            self.texts[index].is_complete = true;
            self.plan.mark_scoring(index);
        } else {
            self.finish(index, None);
        }
        is_scored
    }

    /// Whether the text of an item is complete and waits for its score.
    pub(crate) fn is_scoring(&self, index: usize) -> bool {
        self.plan.state(index) == ItemState::Scoring
    }

    /// Items whose texts wait for their scores.
    pub(crate) fn scoring_items(&self) -> Vec<usize> {
        (0..self.spec.items.len())
            .filter(|index| self.is_scoring(*index))
            .collect()
    }

    /// Counts an attempt of the item's reward call that the service failed, and returns their number.
    pub(crate) fn record_reward_failure(&mut self, index: usize) -> usize {
        let text = &mut self.texts[index];
        text.reward_failures += 1;
        text.reward_failures
    }

    /// Creates the result of an item whose text is complete. `score` is `None` if the item has no reward call.
    pub(crate) fn finish(&mut self, index: usize, score: Option<RewardScore>) {
        let text = std::mem::take(&mut self.texts[index]);
        self.plan.mark_done(index);
        self.unlisted.push(BatchResult {
            item: self.spec.items[index].id.clone(),
            state: ResultState::Completed,
            text: text.text,
            versions: text.versions,
            score,
        });
    }

    /// Gives an item up, unless it already has a result.
    pub(crate) fn expire(&mut self, index: usize) {
        if self.plan.state(index) == ItemState::Done {
            return;
        }
        self.plan.mark_done(index);
        self.texts[index] = ItemText::default();
        self.unlisted
            .push(BatchResult::expired(&self.spec.items[index].id));
    }

    /// Number of events of an item so far.
    pub(crate) fn events(&self, index: usize) -> u64 {
        self.texts[index].last_event.unwrap_or(0)
    }

    /// Adds stored results, and drops unstored results and runs of the same items. Returns the runs that were stopped.
    pub(crate) fn add_listed(&mut self, results: Vec<BatchResult>) -> Vec<Run> {
        let done: HashSet<&str> = results.iter().map(|result| result.item.as_str()).collect();
        self.unlisted
            .retain(|result| !done.contains(result.item.as_str()));
        let mut stopped = Vec::new();
        for (index, item) in self.spec.items.iter().enumerate() {
            if !done.contains(item.id.as_str()) {
                continue;
            }
            self.plan.mark_done(index);
            self.is_listed[index] = true;
            if let Some(run) = self.runs.swap_remove(&index) {
                run.abort.abort();
                stopped.push(run);
            }
        }
        self.listed.extend(results);
        self.may_have_unread_piece = false;
        stopped
    }

    /// A receiver that is notified of the next change of the results. Readers that have stopped waiting are forgotten here,
    /// because the next change may take long.
    pub(crate) fn wait(&mut self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.waiters.retain(|waiter| !waiter.is_closed());
        self.waiters.push(sender);
        receiver
    }

    /// Notifies all readers that wait for results.
    pub(crate) fn notify(&mut self) {
        for waiter in self.waiters.drain(..) {
            // A failed send means that the reader is gone.
            let _ = waiter.try_send(());
        }
    }
}
