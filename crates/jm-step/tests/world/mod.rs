//! The model behind the takeover test.

mod failures;
mod ops;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jm_step::{
    CopyMessage, CopyReceipt, Draft, Effects, FreeCapacity, Sample, Segment, StepAssembly, StepCopy,
    StepEvent, StepOptions, StepSpec, Term, UnusableReason,
};
use jm_types::{AttemptId, Sequence, SlotIndex, Timestamp, TokenCount, WeightVersion};

use failures::{Frozen, REFUSING_HOLDER};
use ops::Flight;
pub(crate) use ops::{Fate, Op, Reached};

const SAMPLES: u32 = 4;
const BOUND: u64 = 1;
const FIRST_VERSION: u64 = 10;
const READ_LIMIT: usize = 2;
/// Rounds that a step needs at most once nothing is lost any more.
const DRAIN_ROUNDS: usize = 60;

#[derive(Debug, Clone, Copy)]
struct ReadRequest {
    number: u64,
    after: Sequence,
    version: WeightVersion,
    term: Option<Term>,
}

#[derive(Debug, Clone)]
struct ReadReply {
    number: u64,
    /// None when the owner does not know the step as the trainer does.
    delivery: Option<Delivery>,
}

#[derive(Debug, Clone)]
struct Delivery {
    term: Term,
    samples: Vec<Arc<Sample>>,
}

/// What the trainer keeps. It takes only the reply to its newest read and names a version with a read.
struct Trainer {
    version: u64,
    after: Sequence,
    reads: u64,
    term: Option<Term>,
    held: BTreeSet<SlotIndex>,
}

pub(crate) struct World {
    owner: StepAssembly,
    holder: StepCopy,
    /// Copies that were replaced; a daemon that was taken for dead may still have one.
    stale: Vec<StepCopy>,
    /// Owners that were taken for dead, with their holders, and can go on at any time.
    frozen: Vec<Frozen>,
    holder_number: u64,
    last_holder: u64,
    owner_number: u64,
    trainer: Trainer,
    drafts: Flight<Draft>,
    copies: Flight<(u64, CopyMessage)>,
    receipts: Flight<CopyReceipt>,
    reads: Flight<ReadRequest>,
    replies: Flight<ReadReply>,
    acknowledgements: Flight<Sequence>,
    /// What engines produced; the truth that samples are compared with.
    produced: BTreeMap<AttemptId, Vec<Segment>>,
    delivered: BTreeMap<Sequence, (Term, Arc<Sample>)>,
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
    StepAssembly::new(spec(version, held), options(0)).unwrap()
}

fn options(owner: u64) -> StepOptions {
    StepOptions {
        owner,
        ..StepOptions::default()
    }
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            owner: new_step(FIRST_VERSION, Vec::new()),
            holder: StepCopy::default(),
            stale: Vec::new(),
            frozen: Vec::new(),
            holder_number: 0,
            last_holder: 0,
            owner_number: 0,
            trainer: Trainer {
                version: FIRST_VERSION,
                after: Sequence::default(),
                reads: 0,
                term: None,
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
            Op::OwnerDies { pick } => self.owner_dies(pick),
            Op::OwnerFreezes => self.owner_freezes(),
            Op::OwnerResumes { pick } => self.owner_resumes(pick),
            Op::NoHolder => self.no_holder(),
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
                    reason: UnusableReason::TooOld,
                    ..
                } => self.reached.dropped_too_old += 1,
                _ => {}
            }
        }
        self.drafts.0.extend(effects.start);
        if self.owner.status().degraded {
            return;
        }
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
            && holder != REFUSING_HOLDER
            && let Ok(receipt) = self.holder.accept(&message)
        {
            self.receipts.0.push(receipt);
        }
    }

    fn receipt(&mut self, pick: usize, fate: Fate) {
        if let Some(receipt) = self.receipts.take(pick, fate) {
            self.owner.on_copy_receipt(receipt);
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
        if self.owner.status().degraded {
            return;
        }
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
            term: self.trainer.term,
        });
    }

    fn answer_read(&mut self, pick: usize, fate: Fate) {
        let Some(request) = self.reads.take(pick, fate) else {
            return;
        };
        if request.term.is_some_and(|term| !self.owner.descends_from(term)) {
            self.reached.refused_reads += 1;
            self.replies.0.push(ReadReply {
                number: request.number,
                delivery: None,
            });
            return;
        }
        let before = self.owner.version();
        let effects = self.owner.on_version_named(request.version, request.after);
        self.reached.namings += u64::from(self.owner.version() != before);
        self.carry_out(effects);
        let samples = self.owner.deliver(request.after, READ_LIMIT);
        for sample in &samples {
            self.check_repeated(sample);
        }
        let term = self.owner.term();
        self.replies.0.push(ReadReply {
            number: request.number,
            delivery: Some(Delivery { term, samples }),
        });
    }

    /// A sequence number names the same sample in every reply of one line of terms, before and after a
    /// takeover.
    fn check_repeated(&mut self, sample: &Arc<Sample>) {
        let earlier = self.delivered.get(&sample.sequence);
        if let Some((term, earlier)) = earlier
            && self.owner.descends_from(*term)
        {
            assert_eq!(earlier, sample, "a sequence number names two samples");
            self.reached.repeated_samples += 1;
        }
        let entry = (self.owner.term(), Arc::clone(sample));
        self.delivered.insert(sample.sequence, entry);
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
        let Some(delivery) = reply.delivery else {
            self.create_again();
            return;
        };
        self.trainer.term = Some(delivery.term);
        for sample in delivery.samples {
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
            let acknowledged = self.owner.acknowledge(through);
            let known = self
                .trainer
                .term
                .is_none_or(|term| self.owner.descends_from(term));
            assert!(acknowledged.is_ok() || !known, "the trainer sent {through}");
            self.carry_out(acknowledged.unwrap_or_default());
        }
    }

    /// The trainer discards the reply to a read that it sent before it named the version.
    fn name_version(&mut self) {
        self.trainer.version += 1;
        self.trainer.reads += 1;
    }

    /// Runs the step to its end with nothing lost from now on.
    pub(crate) fn drain(&mut self) {
        // Answers to drafts of a dead owner, and drafts whose answer was lost, end as failures.
        for attempt in self.produced.keys().copied().collect::<Vec<_>>() {
            self.owner.on_failed(attempt);
        }
        if self.holder_number == REFUSING_HOLDER {
            self.holder_changes();
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
