//! Which drafts to start, to issue again and to cancel.

use jm_types::{AttemptId, SlotIndex, Timestamp};

use crate::{
    Draft, Effects, FreeCapacity, StepAssembly, StepEvent,
    pace::Review,
    slots::{Attempt, Slot},
};

/// Most attempts that run for one slot at the same time.
const MAX_ATTEMPTS: usize = 2;

type Running<'a> = (AttemptId, &'a Attempt);

impl StepAssembly {
    /// Decides which drafts to start in the free places. Call it when a place becomes free and at least every
    /// few hundred milliseconds while drafts run, because slow drafts are found here. Places on engines whose
    /// version cannot make the staleness bound are not used.
    pub fn next_drafts(&mut self, now: Timestamp, capacity: &[FreeCapacity]) -> Effects {
        let mut effects = Effects::default();
        if let Some(review) = self.pace.review(self.slots.attempts(), &self.options, now) {
            self.cancel_behind(&review, &mut effects);
            self.find_slow(&review);
        }
        let mut places = self.usable_places(capacity);
        self.reissue_slow(&mut places, &mut effects);
        self.start_waiting(places, &mut effects);
        effects
    }

    fn usable_places(&self, capacity: &[FreeCapacity]) -> usize {
        let minimum = self.minimum_version();
        capacity
            .iter()
            .filter(|free| free.version >= minimum)
            .map(|free| free.drafts)
            .sum()
    }

    /// Ends the slower draft of a pair as soon as it cannot win or the pairs exceed the budget.
    fn cancel_behind(&mut self, review: &Review, effects: &mut Effects) {
        let mut budget = self.pace.budget(review, self.spec.samples, &self.options);
        let paired = std::mem::take(&mut self.paired);
        for slot in paired {
            let Some((ahead, behind)) = self.pair(slot) else {
                continue;
            };
            let committed = behind.1.tokens.get() as f64;
            budget -= committed;
            let overtaken = ahead.1.tokens > behind.1.tokens && review.is_slow(behind.1, &self.options);
            if overtaken || budget < 0.0 {
                let behind = behind.0;
                self.cancel(behind, effects);
            } else {
                self.paired.insert(slot);
            }
        }
    }

    /// The two drafts of a slot, the one with more tokens first.
    fn pair(&self, slot: SlotIndex) -> Option<(Running<'_>, Running<'_>)> {
        let &[first, second] = self.slots.attempts_of(slot) else {
            return None;
        };
        let first = (first, self.slots.attempts().get(&first)?);
        let second = (second, self.slots.attempts().get(&second)?);
        if first.1.tokens >= second.1.tokens {
            Some((first, second))
        } else {
            Some((second, first))
        }
    }

    fn cancel(&mut self, attempt: AttemptId, effects: &mut Effects) {
        if let Some(stopped) = self.slots.stop(attempt) {
            self.pace.wasted(&stopped);
            effects.cancel.push(attempt);
        }
    }

    /// Lists the slow drafts that the budget allows to issue again, those with the most left to do first.
    fn find_slow(&mut self, review: &Review) {
        let mut slow: Vec<(AttemptId, u64)> = self
            .slots
            .attempts()
            .iter()
            .filter(|(_, attempt)| self.slots.attempts_of(attempt.slot).len() < MAX_ATTEMPTS)
            .filter(|(_, attempt)| review.is_slow(attempt, &self.options))
            .map(|(&attempt, running)| (attempt, running.tokens.get()))
            .collect();
        slow.sort_unstable_by_key(|&(attempt, tokens)| (tokens, attempt));
        let mut budget = self.pace.budget(review, self.spec.samples, &self.options) - self.paired_tokens();
        self.slow = slow
            .into_iter()
            .take_while(|&(_, tokens)| {
                // The slow draft goes on a little until the new one overtakes it.
                budget -= 2.0 * tokens as f64;
                budget >= 0.0
            })
            .map(|(attempt, _)| attempt)
            .collect();
    }

    fn paired_tokens(&self) -> f64 {
        let behind = self.paired.iter().filter_map(|&slot| self.pair(slot));
        behind.map(|(_, behind)| behind.1.tokens.get() as f64).sum()
    }

    fn reissue_slow(&mut self, places: &mut usize, effects: &mut Effects) {
        let usable = (*places).min(self.slow.len());
        let slow: Vec<AttemptId> = self.slow.drain(..usable).collect();
        for original in slow {
            let Some(running) = self.slots.attempts().get(&original) else {
                continue;
            };
            let (slot, avoid) = (
                running.slot,
                running.start.as_ref().map(|start| start.target.clone()),
            );
            if self.slots.attempts_of(slot).len() >= MAX_ATTEMPTS {
                continue;
            }
            let attempt = self.slots.start(slot);
            let mut draft = self.draft(slot, attempt);
            draft.avoid = avoid;
            effects.start.push(draft);
            effects.events.push(StepEvent::Reissued { slot, attempt });
            self.paired.insert(slot);
            self.reissued += 1;
            *places -= 1;
        }
    }

    fn start_waiting(&mut self, places: usize, effects: &mut Effects) {
        for _ in 0..places {
            let Some((slot, attempt)) = self.slots.start_next() else {
                return;
            };
            effects.start.push(self.draft(slot, attempt));
        }
    }

    fn draft(&self, slot: SlotIndex, attempt: AttemptId) -> Draft {
        let avoid = match self.slots.slot(slot) {
            Slot::Open { avoid, .. } => avoid.clone(),
            _ => None,
        };
        Draft {
            slot,
            attempt,
            prompt: self.spec.prompt_index(slot),
            avoid,
            minimum_version: self.minimum_version(),
        }
    }
}
