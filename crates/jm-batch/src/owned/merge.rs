//! Progress that passes between the former and the current owner of a batch.

use std::collections::HashMap;

use indexmap::IndexMap;
use jm_forward::RunKey;
use jm_types::Timestamp;

use super::{OwnedBatch, Run};
use crate::{BatchResult, Giver, ItemState, ItemText, ResultState, RunningItem};

/// Items that a former owner still runs, and that do not start here for the time being.
pub(crate) struct HeldItems {
    giver: Giver,
    until: Timestamp,
    items: IndexMap<usize, UsedCapacity>,
}

/// Capacity of an engine that a run of the former owner uses.
#[derive(Clone)]
pub(crate) struct UsedCapacity {
    pub(crate) target: RunKey,
    pub(crate) tokens: u64,
}

/// Changes that the owner has to apply to the engines and the reward calls after a merge.
#[derive(Default)]
pub(crate) struct Merged {
    /// Runs that were stopped because their texts are complete.
    pub(crate) stopped: Vec<Run>,
    /// Items that now wait for their scores.
    pub(crate) scoring: Vec<usize>,
}

impl OwnedBatch {
    /// Adopts results that another owner has and that may not be stored. Returns the runs that were stopped.
    pub(crate) fn adopt_results(&mut self, results: Vec<BatchResult>) -> Vec<Run> {
        if results.is_empty() {
            return Vec::new();
        }
        let items = self.spec.items.iter().enumerate();
        let indexes: HashMap<String, usize> = items.map(|(index, item)| (item.id.clone(), index)).collect();
        let mut stopped = Vec::new();
        for result in results {
            let Some(index) = indexes.get(&result.item).copied() else {
                continue;
            };
            let is_open = match result.state {
                ResultState::Completed => self.plan.state(index) != ItemState::Done,
                // A run here may still complete the item that the other owner gave up.
                ResultState::Expired => matches!(self.plan.state(index), ItemState::Waiting { .. }),
            };
            if is_open {
                stopped.extend(self.abort_run(index));
                self.plan.mark_done(index);
                self.texts[index] = ItemText::default();
                self.unlisted.push(result);
            }
        }
        stopped
    }

    /// Merges texts and failure counts that another owner reported. A run of this host continues unless the reported
    /// text is complete.
    pub(crate) fn merge_texts(&mut self, texts: Vec<ItemText>) -> Merged {
        let mut merged = Merged::default();
        for text in texts {
            let index = text.item;
            if index >= self.texts.len()
                || matches!(self.plan.state(index), ItemState::Scoring | ItemState::Done)
            {
                continue;
            }
            let failures = self.plan.failures(index).max(text.failures);
            self.plan.set_failures(index, failures);
            if text.is_complete {
                merged.stopped.extend(self.abort_run(index));
                self.texts[index] = text;
                if self.complete(index) {
                    merged.scoring.push(index);
                }
            } else if !self.runs.contains_key(&index) && text.precedes(&self.texts[index]) {
                self.texts[index] = text;
            }
        }
        merged
    }

    /// Whether this host stores the results of the batch.
    pub(crate) fn may_write(&self) -> bool {
        !self.is_ended && !self.is_handed_over
    }

    fn abort_run(&mut self, index: usize) -> Option<Run> {
        let run = self.runs.swap_remove(&index)?;
        run.abort.abort();
        Some(run)
    }

    /// Keeps items that `giver` still runs from starting here before `until`.
    pub(crate) fn hold_items(&mut self, running: Vec<RunningItem>, giver: Giver, until: Timestamp) {
        let mut items = IndexMap::new();
        for running in running {
            let index = running.item;
            let is_waiting =
                index < self.texts.len() && matches!(self.plan.state(index), ItemState::Waiting { .. });
            if is_waiting {
                self.plan.requeue(index, until);
                let used = UsedCapacity {
                    target: running.run(),
                    tokens: self.spec.items[index].work_tokens(),
                };
                items.insert(index, used);
            }
        }
        self.held = Some(HeldItems { giver, until, items });
    }

    /// Capacity that the runs of the held items use.
    pub(crate) fn held_capacity(&self) -> impl Iterator<Item = &UsedCapacity> {
        self.held.iter().flat_map(|held| held.items.values())
    }

    /// Whether items are held longer than necessary.
    pub(crate) fn must_release_held(&self, has_ended: impl Fn(&Giver) -> bool, now: Timestamp) -> bool {
        let held = self.held.as_ref().filter(|held| !held.items.is_empty());
        held.is_some_and(|held| now >= held.until || has_ended(&held.giver))
    }

    /// Lets held items start, except for those that the former owner still runs. Returns the capacity that became free.
    pub(crate) fn release_held(&mut self, still_running: &[usize], now: Timestamp) -> Vec<UsedCapacity> {
        let Some(held) = &mut self.held else {
            return Vec::new();
        };
        let mut free = Vec::new();
        for (index, used) in std::mem::take(&mut held.items) {
            if still_running.contains(&index) {
                held.items.insert(index, used);
                continue;
            }
            if matches!(self.plan.state(index), ItemState::Waiting { .. }) {
                self.plan.requeue(index, now);
            }
            free.push(used);
        }
        free
    }
}
