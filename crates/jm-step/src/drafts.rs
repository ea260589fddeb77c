//! Selection of drafts to start, to reissue and to cancel.

use jm_types::{AttemptId, SlotIndex, Timestamp};

use crate::{
    Draft, Effects, FreeCapacity, StepAssembly, StepEvent,
    draft_rates::Review,
    slots::{Attempt, Slot},
};

/// Maximum number of concurrent attempts for one slot.
const MAX_ATTEMPTS: usize = 2;

type Running<'a> = (AttemptId, &'a Attempt);

impl StepAssembly {
    /// Selects the drafts to start within the free capacity. Call this when capacity becomes free, and at least
    /// every few hundred milliseconds while drafts run, because it also detects slow drafts. Capacity on engines
    /// whose weight version violates the staleness bound is not used.
    pub fn next_drafts(&mut self, now: Timestamp, capacity: &[FreeCapacity]) -> Effects {
        let mut effects = Effects::default();
        if let Some(review) = self.rates.review(self.slots.attempts(), &self.options, now) {
            self.cancel_trailing(&review, &mut effects);
            self.queue_slow(&review);
        }
        let mut free_drafts = self.usable_capacity(capacity);
        self.reissue_slow(&mut free_drafts, &mut effects);
        self.start_waiting(free_drafts, &mut effects);
        effects
    }

    fn usable_capacity(&self, capacity: &[FreeCapacity]) -> usize {
        let minimum = self.minimum_version();
        capacity
            .iter()
            .filter(|free| free.version >= minimum)
            .map(|free| free.drafts)
            .sum()
    }

    /// Cancels the trailing draft of a pair once it is slow and the other draft has more tokens, or once the pairs
    /// exceed the budget.
    fn cancel_trailing(&mut self, review: &Review, effects: &mut Effects) {
        let mut budget = self.rates.budget(review, self.spec.samples, &self.options);
        let paired = std::mem::take(&mut self.paired);
        for slot in paired {
            let Some((leading, trailing)) = self.pair(slot) else {
                continue;
            };
            let committed = trailing.1.tokens.get() as f64;
            budget -= committed;
            let overtaken = leading.1.tokens > trailing.1.tokens && review.is_slow(trailing.1, &self.options);
            if overtaken || budget < 0.0 {
                let trailing = trailing.0;
                self.cancel(trailing, effects);
            } else {
                self.paired.insert(slot);
            }
        }
    }

    /// The two drafts of a slot, with the one that has more tokens first.
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
            self.rates.record_wasted(&stopped);
            effects.cancel.push(attempt);
        }
    }

    /// Queues the slow drafts that the budget allows to reissue. Drafts with the fewest tokens come first, because
    /// they have the most tokens left to generate.
    fn queue_slow(&mut self, review: &Review) {
        let mut slow: Vec<(AttemptId, u64)> = self
            .slots
            .attempts()
            .iter()
            .filter(|(_, attempt)| self.slots.attempts_of(attempt.slot).len() < MAX_ATTEMPTS)
            .filter(|(_, attempt)| review.is_slow(attempt, &self.options))
            .map(|(&attempt, running)| (attempt, running.tokens.get()))
            .collect();
        slow.sort_unstable_by_key(|&(attempt, tokens)| (tokens, attempt));
        let mut budget = self.rates.budget(review, self.spec.samples, &self.options) - self.paired_tokens();
        self.reissue_queue = slow
            .into_iter()
            .take_while(|&(_, tokens)| {
                // Reserves the tokens twice, because the slow draft keeps running until the new one overtakes it.
                budget -= 2.0 * tokens as f64;
                budget >= 0.0
            })
            .map(|(attempt, _)| attempt)
            .collect();
    }

    fn paired_tokens(&self) -> f64 {
        let trailing = self.paired.iter().filter_map(|&slot| self.pair(slot));
        trailing.map(|(_, trailing)| trailing.1.tokens.get() as f64).sum()
    }

    fn reissue_slow(&mut self, free_drafts: &mut usize, effects: &mut Effects) {
        let usable = (*free_drafts).min(self.reissue_queue.len());
        let slow: Vec<AttemptId> = self.reissue_queue.drain(..usable).collect();
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
            *free_drafts -= 1;
        }
    }

    fn start_waiting(&mut self, free_drafts: usize, effects: &mut Effects) {
        for _ in 0..free_drafts {
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
