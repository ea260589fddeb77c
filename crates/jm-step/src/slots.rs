//! State of a step's slots and of the running attempts.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jm_types::{AttemptId, Sequence, SlotIndex, TargetId, Timestamp, TokenCount, WeightVersion};

use crate::Term;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Slot {
    /// No sample is bound.
    Open {
        attempts: Vec<AttemptId>,
        avoid: Option<TargetId>,
    },
    /// The sample with this sequence number is bound.
    Bound(Sequence),
    /// The trainer has the sample.
    Done,
}

impl Slot {
    const OPEN: Self = Self::Open {
        attempts: Vec::new(),
        avoid: None,
    };
}

/// The target of a running attempt and the time at which it was admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Start {
    pub(crate) target: TargetId,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) at: Timestamp,
}

/// One running draft.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) slot: SlotIndex,
    pub(crate) start: Option<Start>,
    pub(crate) tokens: TokenCount,
}

/// The slots, the running attempts and the queue of open slots without an attempt.
#[derive(Debug)]
pub(crate) struct Slots {
    slots: Vec<Slot>,
    attempts: IndexMap<AttemptId, Attempt>,
    /// Every open slot without an attempt, once, in the order in which they are drafted.
    waiting: VecDeque<SlotIndex>,
    next_attempt: u64,
}

impl Slots {
    /// Creates the slots, all open.
    pub(crate) fn new(samples: u32, term: Term) -> Self {
        Self {
            slots: vec![Slot::OPEN; samples as usize],
            attempts: IndexMap::new(),
            waiting: (0..u64::from(samples)).map(SlotIndex::new).collect(),
            next_attempt: term.first_attempt(),
        }
    }

    /// Marks slots as bound or done. Must be called before any attempt exists.
    pub(crate) fn initialize(&mut self, settled: impl IntoIterator<Item = (SlotIndex, Slot)>) {
        for (index, slot) in settled {
            self.slots[index.get() as usize] = slot;
        }
        let slots = &self.slots;
        self.waiting
            .retain(|index| matches!(slots[index.get() as usize], Slot::Open { .. }));
    }

    pub(crate) fn slot(&self, index: SlotIndex) -> &Slot {
        &self.slots[index.get() as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (SlotIndex, &Slot)> {
        self.slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (SlotIndex::new(index as u64), slot))
    }

    pub(crate) fn attempts(&self) -> &IndexMap<AttemptId, Attempt> {
        &self.attempts
    }

    pub(crate) fn attempt_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&attempt)
    }

    /// The running attempts of a slot, which only an open slot has.
    pub(crate) fn attempts_of(&self, index: SlotIndex) -> &[AttemptId] {
        match self.slot(index) {
            Slot::Open { attempts, .. } => attempts,
            _ => &[],
        }
    }

    /// Number of open slots without an attempt.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts an attempt for the next open slot without one.
    pub(crate) fn start_next(&mut self) -> Option<(SlotIndex, AttemptId)> {
        let index = self.waiting.pop_front()?;
        Some((index, self.start(index)))
    }

    /// Adds an attempt to a slot, which must be open.
    pub(crate) fn start(&mut self, index: SlotIndex) -> AttemptId {
        let attempt = AttemptId::new(self.next_attempt);
        self.next_attempt = self.next_attempt.wrapping_add(1);
        if let Slot::Open { attempts, .. } = &mut self.slots[index.get() as usize] {
            attempts.push(attempt);
            let running = Attempt {
                slot: index,
                start: None,
                tokens: TokenCount::default(),
            };
            self.attempts.insert(attempt, running);
        }
        attempt
    }

    /// Removes an attempt. A slot without other attempts is put at the front of the queue, because it is already
    /// delayed.
    pub(crate) fn stop(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let stopped = self.attempts.swap_remove(&attempt)?;
        if let Slot::Open { attempts, avoid } = &mut self.slots[stopped.slot.get() as usize] {
            attempts.retain(|&other| other != attempt);
            *avoid = stopped
                .start
                .as_ref()
                .map(|start| start.target.clone())
                .or(avoid.take());
            if attempts.is_empty() {
                self.waiting.push_front(stopped.slot);
            }
        }
        Some(stopped)
    }

    /// Binds an open slot and removes its attempts. Returns them, so that the caller can cancel those that lost.
    pub(crate) fn bind(&mut self, index: SlotIndex, sequence: Sequence) -> Vec<(AttemptId, Attempt)> {
        let slot = std::mem::replace(&mut self.slots[index.get() as usize], Slot::Bound(sequence));
        let Slot::Open { attempts, .. } = slot else {
            return Vec::new();
        };
        attempts
            .into_iter()
            .filter_map(|attempt| self.attempts.swap_remove_entry(&attempt))
            .collect()
    }

    /// Opens a bound slot whose sample was dropped, and puts it at the front of the queue.
    pub(crate) fn reopen(&mut self, index: SlotIndex) {
        self.slots[index.get() as usize] = Slot::OPEN;
        self.waiting.push_front(index);
    }

    /// Marks a bound slot as held by the trainer.
    pub(crate) fn finish(&mut self, index: SlotIndex) {
        self.slots[index.get() as usize] = Slot::Done;
    }
}
