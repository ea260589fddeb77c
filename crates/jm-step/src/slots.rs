//! State of the slots of a step and of the running attempts.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jm_types::{AttemptId, Sequence, SlotIndex, TargetId, Timestamp, TokenCount, WeightVersion};

use crate::Term;

/// What is known about one slot.
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

/// Where and since when an attempt is running.
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

/// The slots, the attempts and the queue of slots that no attempt works on.
#[derive(Debug)]
pub(crate) struct Slots {
    slots: Vec<Slot>,
    attempts: IndexMap<AttemptId, Attempt>,
    /// Exactly the open slots without an attempt.
    waiting: VecDeque<SlotIndex>,
    next_attempt: u64,
}

impl Slots {
    /// All slots open.
    pub(crate) fn new(samples: u32, term: Term) -> Self {
        Self {
            slots: vec![Slot::OPEN; samples as usize],
            attempts: IndexMap::new(),
            waiting: (0..u64::from(samples)).map(SlotIndex::new).collect(),
            next_attempt: term.first_attempt(),
        }
    }

    /// Marks slots as bound or done before any attempt exists.
    pub(crate) fn settle(&mut self, settled: impl IntoIterator<Item = (SlotIndex, Slot)>) {
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

    /// The attempts of an open slot.
    pub(crate) fn attempts_of(&self, index: SlotIndex) -> &[AttemptId] {
        match self.slot(index) {
            Slot::Open { attempts, .. } => attempts,
            _ => &[],
        }
    }

    /// Number of open slots that no attempt works on.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the next slot that no attempt works on and starts an attempt for it.
    pub(crate) fn start_next(&mut self) -> Option<(SlotIndex, AttemptId)> {
        let index = self.waiting.pop_front()?;
        Some((index, self.start(index)))
    }

    /// Adds an attempt to an open slot.
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

    /// Forgets an attempt. A slot that loses its last attempt waits in front, because it is late already.
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

    /// Binds an open slot and gives the attempts that are left to cancel.
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

    /// Opens a bound slot again.
    pub(crate) fn reopen(&mut self, index: SlotIndex) {
        self.slots[index.get() as usize] = Slot::OPEN;
        self.waiting.push_front(index);
    }

    /// Marks a bound slot as held by the trainer.
    pub(crate) fn finish(&mut self, index: SlotIndex) {
        self.slots[index.get() as usize] = Slot::Done;
    }
}
