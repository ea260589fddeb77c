//! The model behind the takeover test.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jm_step::{
    CopyMessage, CopyReceipt, Draft, Effects, FreeCapacity, Sample, Segment, StepAssembly, StepCopy,
    StepEvent, StepOptions, StepSpec, Unusable,
};
use jm_types::{AttemptId, Sequence, SlotIndex, Timestamp, TokenCount, WeightVersion};
use quickcheck::{Arbitrary, Gen};

const SAMPLES: u32 = 4;
const BOUND: u64 = 1;
const FIRST_VERSION: u64 = 10;
const READ_LIMIT: usize = 2;
/// Rounds that a step needs at most once nothing is lost any more.
const DRAIN_ROUNDS: usize = 60;

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
    OwnerDies,
    HolderChanges,
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
            0..=3 => Self::Draft { places: pick % 4 },
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
            38 => Self::OwnerDies,
            39 => Self::HolderChanges,
            40..=44 => Self::CopyRound { fate },
            _ => Self::ReadRound { fate },
        }
    }
}

/// Messages in flight, taken out in any order.
struct Flight<T>(Vec<T>);

impl<T: Clone> Flight<T> {
    fn new() -> Self {
        Self(Vec::new())
    }

    fn take(&mut self, pick: usize, fate: Fate) -> Option<T> {
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

#[derive(Debug, Clone, Copy)]
struct ReadRequest {
    number: u64,
    after: Sequence,
    version: WeightVersion,
}

#[derive(Debug, Clone)]
struct ReadReply {
    number: u64,
    samples: Vec<Arc<Sample>>,
}

/// What the trainer keeps. It takes only the reply to its newest read and names a version with a read.
struct Trainer {
    version: u64,
    after: Sequence,
    reads: u64,
    held: BTreeSet<SlotIndex>,
}

/// How often the model reached the states of interest.
#[derive(Debug, Default)]
pub(crate) struct Reached {
    pub(crate) takeovers: u64,
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
        self.lost_steps += other.lost_steps;
        self.holder_changes += other.holder_changes;
        self.namings += other.namings;
        self.dropped_too_old += other.dropped_too_old;
        self.late_answers += other.late_answers;
        self.repeated_samples += other.repeated_samples;
    }
}

pub(crate) struct World {
    owner: StepAssembly,
    holder: StepCopy,
    holder_number: u64,
    trainer: Trainer,
    drafts: Flight<Draft>,
    copies: Flight<(u64, CopyMessage)>,
    receipts: Flight<CopyReceipt>,
    reads: Flight<ReadRequest>,
    replies: Flight<ReadReply>,
    acknowledgements: Flight<Sequence>,
    /// What engines produced; the truth that samples are compared with.
    produced: BTreeMap<AttemptId, Vec<Segment>>,
    delivered: BTreeMap<Sequence, Arc<Sample>>,
    now: u64,
    pub(crate) reached: Reached,
}

fn spec(version: u64, held: Vec<SlotIndex>) -> StepSpec {
    StepSpec {
        step: "step".parse().unwrap(),
        service: "racks".parse().unwrap(),
        weight_version: WeightVersion::new(version),
        staleness_bound: BOUND,
        group_size: 2,
        samples: SAMPLES,
        prompts: vec!["p".to_owned(); 2],
        max_tokens: TokenCount::new(100),
        held,
    }
}

fn new_step(version: u64, held: Vec<SlotIndex>) -> StepAssembly {
    StepAssembly::new(spec(version, held), StepOptions::default()).unwrap()
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            owner: new_step(FIRST_VERSION, Vec::new()),
            holder: StepCopy::default(),
            holder_number: 0,
            trainer: Trainer {
                version: FIRST_VERSION,
                after: Sequence::default(),
                reads: 0,
                held: BTreeSet::new(),
            },
            drafts: Flight::new(),
            copies: Flight::new(),
            receipts: Flight::new(),
            reads: Flight::new(),
            replies: Flight::new(),
            acknowledgements: Flight::new(),
            produced: BTreeMap::new(),
            delivered: BTreeMap::new(),
            now: 0,
            reached: Reached::default(),
        };
        world.resend_copies();
        world
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        self.now += 10;
        match *op {
            Op::Draft { places } => self.draft(places),
            Op::Answer { pick, age, fate } => self.answer(pick, age, fate),
            Op::FailDraft { pick } => self.fail_draft(pick),
            Op::Copy { pick, fate } => self.copy(pick, fate),
            Op::Receipt { pick, fate } => self.receipt(pick, fate),
            Op::ResendCopies => self.resend_copies(),
            Op::Read => self.read(),
            Op::AnswerRead { pick, fate } => self.answer_read(pick, fate),
            Op::TakeReply { pick, fate } => self.take_reply(pick, fate),
            Op::Acknowledge => self.acknowledgements.0.push(self.trainer.after),
            Op::TakeAcknowledge { pick, fate } => self.take_acknowledge(pick, fate),
            Op::NameVersion => self.name_version(),
            Op::OwnerDies => self.owner_dies(),
            Op::HolderChanges => self.holder_changes(),
            Op::CopyRound { fate } => self.copy_round(fate),
            Op::ReadRound { fate } => self.read_round(fate),
        }
    }

    fn carry_out(&mut self, effects: Effects) {
        for event in &effects.events {
            match event {
                StepEvent::LateAnswer { .. } => self.reached.late_answers += 1,
                StepEvent::Unusable {
                    reason: Unusable::TooOld,
                    ..
                } => self.reached.dropped_too_old += 1,
                _ => {}
            }
        }
        self.drafts.0.extend(effects.start);
        let holder = self.holder_number;
        self.copies
            .0
            .extend(effects.copy.into_iter().map(|copy| (holder, copy)));
    }

    fn draft(&mut self, drafts: usize) {
        let free = FreeCapacity {
            version: WeightVersion::new(self.trainer.version),
            drafts,
        };
        let effects = self.owner.next_drafts(Timestamp::new(self.now), &[free]);
        for draft in &effects.start {
            assert!(!self.owner.spec().held.contains(&draft.slot), "held slot drafted");
        }
        self.carry_out(effects);
    }

    /// A draft ends with a version up to three behind the trainer's, or without one. The owner may have
    /// changed since the draft started.
    fn answer(&mut self, pick: usize, age: u64, fate: Fate) {
        let Some(draft) = self.drafts.take(pick, fate) else {
            return;
        };
        let version = (!pick.is_multiple_of(16)).then(|| WeightVersion::new(self.trainer.version - age));
        let segments = vec![Segment {
            version,
            tokens: TokenCount::new(5),
        }];
        let segments = self.produced.entry(draft.attempt).or_insert(segments).clone();
        let text = text_of(draft.slot, draft.attempt);
        let now = Timestamp::new(self.now);
        let effects = self.owner.on_finished(draft.attempt, segments, text, now);
        self.carry_out(effects);
    }

    fn fail_draft(&mut self, pick: usize) {
        if let Some(draft) = self.drafts.take(pick, Fate::Deliver) {
            let effects = self.owner.on_failed(draft.attempt);
            self.carry_out(effects);
        }
    }

    fn copy(&mut self, pick: usize, fate: Fate) {
        let Some((holder, message)) = self.copies.take(pick, fate) else {
            return;
        };
        if holder == self.holder_number
            && let Ok(receipt) = self.holder.accept(&message)
        {
            self.receipts.0.push(receipt);
        }
    }

    fn receipt(&mut self, pick: usize, fate: Fate) {
        if let Some(receipt) = self.receipts.take(pick, fate) {
            self.owner.copied(receipt);
        }
    }

    /// Every copy message in flight arrives, the newest first, and then every receipt.
    fn copy_round(&mut self, fate: Fate) {
        for index in (0..self.copies.0.len()).rev() {
            self.copy(index, fate);
        }
        for index in (0..self.receipts.0.len()).rev() {
            self.receipt(index, Fate::Deliver);
        }
    }

    fn read_round(&mut self, fate: Fate) {
        self.read();
        self.answer_read(self.reads.0.len() - 1, fate);
        if let Some(newest) = self.replies.0.len().checked_sub(1) {
            self.take_reply(newest, fate);
        }
    }

    fn resend_copies(&mut self) {
        let holder = self.holder_number;
        let pending = self.owner.pending_copies();
        self.copies
            .0
            .extend(pending.into_iter().map(|copy| (holder, copy)));
    }

    fn read(&mut self) {
        self.trainer.reads += 1;
        self.reads.0.push(ReadRequest {
            number: self.trainer.reads,
            after: self.trainer.after,
            version: WeightVersion::new(self.trainer.version),
        });
    }

    fn answer_read(&mut self, pick: usize, fate: Fate) {
        let Some(request) = self.reads.take(pick, fate) else {
            return;
        };
        let before = self.owner.version();
        let effects = self.owner.named_version(request.version, request.after);
        self.reached.namings += u64::from(self.owner.version() != before);
        self.carry_out(effects);
        let samples = self.owner.deliver(request.after, READ_LIMIT);
        for sample in &samples {
            self.check_repeated(sample);
        }
        self.replies.0.push(ReadReply {
            number: request.number,
            samples,
        });
    }

    /// A sequence number names the same sample in every reply, before and after a takeover.
    fn check_repeated(&mut self, sample: &Arc<Sample>) {
        match self.delivered.get(&sample.sequence) {
            Some(earlier) => {
                assert_eq!(earlier, sample, "a sequence number names two samples");
                self.reached.repeated_samples += 1;
            }
            None => {
                self.delivered.insert(sample.sequence, Arc::clone(sample));
            }
        }
    }

    fn take_reply(&mut self, pick: usize, fate: Fate) {
        let Some(reply) = self.replies.take(pick, fate) else {
            return;
        };
        if reply.number != self.trainer.reads {
            return;
        }
        // The reply is used up: a doubled one is no longer the newest.
        self.trainer.reads += 1;
        for sample in reply.samples {
            self.check_sample(&sample);
            assert!(
                self.trainer.held.insert(sample.slot),
                "slot {} twice",
                sample.slot
            );
            self.trainer.after = sample.sequence;
        }
    }

    fn check_sample(&self, sample: &Sample) {
        assert!(sample.sequence > self.trainer.after, "samples are not in order");
        assert_eq!(sample.text, text_of(sample.slot, sample.attempt));
        assert_eq!(self.produced.get(&sample.attempt), Some(&sample.segments));
        for segment in &sample.segments {
            let version = segment.version.expect("a sample without a version").get();
            assert!(version + BOUND >= self.trainer.version, "a sample is too old");
        }
    }

    fn take_acknowledge(&mut self, pick: usize, fate: Fate) {
        if let Some(through) = self.acknowledgements.take(pick, fate) {
            let effects = self.owner.acknowledge(through).expect("sent by the trainer");
            self.carry_out(effects);
        }
    }

    /// The trainer discards the reply to a read that it sent before it named the version.
    fn name_version(&mut self) {
        self.trainer.version += 1;
        self.trainer.reads += 1;
    }

    fn owner_dies(&mut self) {
        let copy = std::mem::take(&mut self.holder);
        self.holder_number += 1;
        match StepAssembly::restore(copy, StepOptions::default()) {
            Ok(owner) => {
                self.owner = owner;
                self.reached.takeovers += 1;
            }
            Err(_) => self.create_again(),
        }
        self.resend_copies();
    }

    /// The trainer creates a lost step under a new name, so that no message of the old one arrives at it.
    fn create_again(&mut self) {
        self.reached.lost_steps += 1;
        let held = self.trainer.held.iter().copied().collect();
        self.owner = new_step(self.trainer.version, held);
        self.trainer.after = Sequence::default();
        self.trainer.reads += 1;
        self.drafts = Flight::new();
        self.copies = Flight::new();
        self.receipts = Flight::new();
        self.reads = Flight::new();
        self.replies = Flight::new();
        self.acknowledgements = Flight::new();
        self.produced.clear();
        self.delivered.clear();
    }

    fn holder_changes(&mut self) {
        self.reached.holder_changes += 1;
        self.holder = StepCopy::default();
        self.holder_number += 1;
        self.owner.copy_holder_changed();
        self.resend_copies();
    }

    /// Runs the step to its end with nothing lost from now on.
    pub(crate) fn drain(&mut self) {
        // Answers to drafts of a dead owner, and drafts whose answer was lost, end as failures.
        for attempt in self.produced.keys().copied().collect::<Vec<_>>() {
            self.owner.on_failed(attempt);
        }
        for _ in 0..DRAIN_ROUNDS {
            self.now += 10;
            self.end_lost_drafts();
            self.draft(SAMPLES as usize);
            while !self.drafts.0.is_empty() {
                self.answer(1, 0, Fate::Deliver);
            }
            self.resend_copies();
            while !self.copies.0.is_empty() {
                self.copy(0, Fate::Deliver);
            }
            while !self.receipts.0.is_empty() {
                self.receipt(0, Fate::Deliver);
            }
            self.read();
            while !self.reads.0.is_empty() {
                self.answer_read(0, Fate::Deliver);
            }
            while !self.replies.0.is_empty() {
                self.take_reply(0, Fate::Deliver);
            }
            self.acknowledgements.0.push(self.trainer.after);
            while !self.acknowledgements.0.is_empty() {
                self.take_acknowledge(0, Fate::Deliver);
            }
        }
    }

    /// Reports drafts that are no longer in flight as failed, as a daemon does when a connection ends.
    fn end_lost_drafts(&mut self) {
        let in_flight: BTreeSet<AttemptId> = self.drafts.0.iter().map(|draft| draft.attempt).collect();
        for attempt in self.owner.running_attempts() {
            if !in_flight.contains(&attempt) {
                self.owner.on_failed(attempt);
            }
        }
    }

    pub(crate) fn trainer_has_all(&self) -> bool {
        self.trainer.held.len() == SAMPLES as usize && self.owner.is_complete()
    }
}

fn text_of(slot: SlotIndex, attempt: AttemptId) -> String {
    format!("slot {slot} attempt {attempt}")
}
