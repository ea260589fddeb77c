//! Operations of the model and messages in flight.

use quickcheck::{Arbitrary, Gen};

/// How a message in flight is treated.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    Deliver,
    DeliverAndKeep,
    Lose,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Lose,
            1 | 2 => Self::DeliverAndKeep,
            _ => Self::Deliver,
        }
    }
}

/// One step of the model. Numbers pick one of the messages in flight.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    Draft {
        places: usize,
    },
    Answer {
        pick: usize,
        age: u64,
        fate: Fate,
    },
    FailDraft {
        pick: usize,
    },
    Copy {
        pick: usize,
        fate: Fate,
    },
    Receipt {
        pick: usize,
        fate: Fate,
    },
    ResendCopies,
    Read,
    AnswerRead {
        pick: usize,
        fate: Fate,
    },
    TakeReply {
        pick: usize,
        fate: Fate,
    },
    Acknowledge,
    TakeAcknowledge {
        pick: usize,
        fate: Fate,
    },
    NameVersion,
    OwnerDies {
        pick: usize,
    },
    OwnerFreezes,
    OwnerResumes {
        pick: usize,
    },
    HolderChanges,
    NoHolder,
    /// Copy messages and receipts arrive; without this, random single messages seldom get a sample through.
    CopyRound {
        fate: Fate,
    },
    /// One read with its reply, past older ones that stay in flight.
    ReadRound {
        fate: Fate,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = usize::arbitrary(g) % 64;
        let fate = Fate::arbitrary(g);
        match u8::arbitrary(g) % 50 {
            0..=2 => Self::Draft { places: pick % 4 },
            3 if pick >= 32 => Self::OwnerResumes { pick },
            3 => Self::Draft { places: pick % 4 },
            4..=8 => Self::Answer {
                pick,
                age: u64::arbitrary(g) % 4,
                fate,
            },
            9 => Self::FailDraft { pick },
            10..=14 => Self::Copy { pick, fate },
            15..=18 => Self::Receipt { pick, fate },
            19 => Self::ResendCopies,
            20..=23 => Self::Read,
            24..=27 => Self::AnswerRead { pick, fate },
            28..=31 => Self::TakeReply { pick, fate },
            32 | 33 => Self::Acknowledge,
            34 | 35 => Self::TakeAcknowledge { pick, fate },
            36 | 37 => Self::NameVersion,
            38 if pick < 24 => Self::OwnerFreezes,
            38 => Self::OwnerDies { pick },
            39 if pick < 44 => Self::HolderChanges,
            39 => Self::NoHolder,
            40..=44 => Self::CopyRound { fate },
            _ => Self::ReadRound { fate },
        }
    }
}

/// Messages in flight, taken out in any order.
pub(crate) struct Flight<T>(pub(crate) Vec<T>);

impl<T: Clone> Flight<T> {
    pub(crate) fn new() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn take(&mut self, pick: usize, fate: Fate) -> Option<T> {
        if self.0.is_empty() {
            return None;
        }
        let index = pick % self.0.len();
        match fate {
            Fate::Deliver => Some(self.0.remove(index)),
            Fate::DeliverAndKeep => Some(self.0[index].clone()),
            Fate::Lose => {
                self.0.remove(index);
                None
            }
        }
    }
}

/// How often the model reached the states of interest.
#[derive(Debug, Default)]
pub(crate) struct Reached {
    pub(crate) takeovers: u64,
    pub(crate) stale_takeovers: u64,
    pub(crate) resumed: u64,
    pub(crate) refused_reads: u64,
    pub(crate) degraded: u64,
    pub(crate) lost_steps: u64,
    pub(crate) holder_changes: u64,
    pub(crate) namings: u64,
    pub(crate) dropped_too_old: u64,
    pub(crate) late_answers: u64,
    pub(crate) repeated_samples: u64,
}

impl Reached {
    pub(crate) fn add(&mut self, other: &Self) {
        self.takeovers += other.takeovers;
        self.stale_takeovers += other.stale_takeovers;
        self.resumed += other.resumed;
        self.refused_reads += other.refused_reads;
        self.degraded += other.degraded;
        self.lost_steps += other.lost_steps;
        self.holder_changes += other.holder_changes;
        self.namings += other.namings;
        self.dropped_too_old += other.dropped_too_old;
        self.late_answers += other.late_answers;
        self.repeated_samples += other.repeated_samples;
    }
}
