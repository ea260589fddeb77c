//! Operations of the model, and messages in flight.

use quickcheck::{Arbitrary, Gen};

/// How the network handles a message in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Transmission {
    Deliver,
    Duplicate,
    Drop,
}

impl Arbitrary for Transmission {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Drop,
            1 | 2 => Self::Duplicate,
            _ => Self::Deliver,
        }
    }
}

/// One operation of the model. `pick` selects the message, copy or suspended owner to act on.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    Draft {
        free_drafts: usize,
    },
    Answer {
        pick: usize,
        age: u64,
        transmission: Transmission,
    },
    FailDraft {
        pick: usize,
    },
    Copy {
        pick: usize,
        transmission: Transmission,
    },
    Receipt {
        pick: usize,
        transmission: Transmission,
    },
    ResendCopies,
    Read,
    AnswerRead {
        pick: usize,
        transmission: Transmission,
    },
    ReceiveReply {
        pick: usize,
        transmission: Transmission,
    },
    Acknowledge,
    ReceiveAcknowledge {
        pick: usize,
        transmission: Transmission,
    },
    NameVersion,
    CrashOwner {
        pick: usize,
    },
    SuspendOwner,
    ResumeOwner {
        pick: usize,
    },
    ChangeHolder,
    LoseHolder,
    /// All copy messages and receipts arrive. Without this operation, randomly chosen single messages rarely suffice
    /// to deliver a sample.
    CopyRound {
        transmission: Transmission,
    },
    /// One read with its reply, while older reads and replies stay in flight.
    ReadRound {
        transmission: Transmission,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = usize::arbitrary(g) % 64;
        let transmission = Transmission::arbitrary(g);
        match u8::arbitrary(g) % 50 {
            0..=2 => Self::Draft {
                free_drafts: pick % 4,
            },
            3 if pick >= 32 => Self::ResumeOwner { pick },
            3 => Self::Draft {
                free_drafts: pick % 4,
            },
            4..=8 => Self::Answer {
                pick,
                age: u64::arbitrary(g) % 4,
                transmission,
            },
            9 => Self::FailDraft { pick },
            10..=14 => Self::Copy { pick, transmission },
            15..=18 => Self::Receipt { pick, transmission },
            19 => Self::ResendCopies,
            20..=23 => Self::Read,
            24..=27 => Self::AnswerRead { pick, transmission },
            28..=31 => Self::ReceiveReply { pick, transmission },
            32 | 33 => Self::Acknowledge,
            34 | 35 => Self::ReceiveAcknowledge { pick, transmission },
            36 | 37 => Self::NameVersion,
            38 if pick < 24 => Self::SuspendOwner,
            38 => Self::CrashOwner { pick },
            39 if pick < 44 => Self::ChangeHolder,
            39 => Self::LoseHolder,
            40..=44 => Self::CopyRound { transmission },
            _ => Self::ReadRound { transmission },
        }
    }
}

/// Messages in flight, which may be received in any order.
pub(crate) struct InFlight<T>(pub(crate) Vec<T>);

impl<T: Clone> InFlight<T> {
    pub(crate) fn new() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn take(&mut self, pick: usize, transmission: Transmission) -> Option<T> {
        if self.0.is_empty() {
            return None;
        }
        let index = pick % self.0.len();
        match transmission {
            Transmission::Deliver => Some(self.0.remove(index)),
            Transmission::Duplicate => Some(self.0[index].clone()),
            Transmission::Drop => {
                self.0.remove(index);
                None
            }
        }
    }
}

/// Number of times that the model reached each state of interest.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    pub(crate) takeovers: u64,
    pub(crate) stale_takeovers: u64,
    pub(crate) resumed: u64,
    pub(crate) rejected_reads: u64,
    pub(crate) degraded: u64,
    pub(crate) lost_steps: u64,
    pub(crate) holder_changes: u64,
    pub(crate) namings: u64,
    pub(crate) dropped_too_old: u64,
    pub(crate) late_answers: u64,
    pub(crate) repeated_samples: u64,
}

impl Coverage {
    pub(crate) fn add(&mut self, other: &Self) {
        self.takeovers += other.takeovers;
        self.stale_takeovers += other.stale_takeovers;
        self.resumed += other.resumed;
        self.rejected_reads += other.rejected_reads;
        self.degraded += other.degraded;
        self.lost_steps += other.lost_steps;
        self.holder_changes += other.holder_changes;
        self.namings += other.namings;
        self.dropped_too_old += other.dropped_too_old;
        self.late_answers += other.late_answers;
        self.repeated_samples += other.repeated_samples;
    }
}
