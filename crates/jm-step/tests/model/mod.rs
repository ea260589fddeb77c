//! Model of the trainer, the owner, the copy holder and the network for the takeover test.

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

use failures::{REJECTING_HOLDER, SuspendedOwner};
use ops::InFlight;
pub(crate) use ops::{Coverage, Op, Transmission};

const SAMPLES: u32 = 4;
const STALENESS_BOUND: u64 = 1;
const FIRST_VERSION: u64 = 10;
const READ_LIMIT: usize = 2;
/// Upper bound of the rounds that a step needs to complete when no message is lost.
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
    /// `None` when the owner's state does not descend from the trainer's term.
    delivery: Option<Delivery>,
}

#[derive(Debug, Clone)]
struct Delivery {
    term: Term,
    samples: Vec<Arc<Sample>>,
}

/// State of the trainer. It accepts only the reply to its newest read, and names its weight version in each read.
struct Trainer {
    version: u64,
    after: Sequence,
    reads: u64,
    term: Option<Term>,
    held: BTreeSet<SlotIndex>,
}

pub(crate) struct StepModel {
    owner: StepAssembly,
    holder: StepCopy,
    /// Replaced copies. A daemon that was presumed failed may still hold one and take over from it.
    stale: Vec<StepCopy>,
    /// Owners that were presumed failed, with their copy holders. Each can resume at any time.
    suspended: Vec<SuspendedOwner>,
    holder_number: u64,
    last_holder: u64,
    owner_number: u64,
    trainer: Trainer,
    drafts: InFlight<Draft>,
    copies: InFlight<(u64, CopyMessage)>,
    receipts: InFlight<CopyReceipt>,
    reads: InFlight<ReadRequest>,
    replies: InFlight<ReadReply>,
    acknowledgements: InFlight<Sequence>,
    /// Segments that the engines generated, which delivered samples are compared with.
    produced: BTreeMap<AttemptId, Vec<Segment>>,
    delivered: BTreeMap<Sequence, (Term, Arc<Sample>)>,
    now: u64,
    pub(crate) coverage: Coverage,
}

fn spec(version: u64, held: Vec<SlotIndex>) -> StepSpec {
    StepSpec {
        step: "step".parse().unwrap(),
        service: "racks".parse().unwrap(),
        weight_version: WeightVersion::new(version),
        staleness_bound: STALENESS_BOUND,
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

impl StepModel {
    pub(crate) fn new() -> Self {
        let mut model = Self {
            owner: new_step(FIRST_VERSION, Vec::new()),
            holder: StepCopy::default(),
            stale: Vec::new(),
            suspended: Vec::new(),
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
            drafts: InFlight::new(),
            copies: InFlight::new(),
            receipts: InFlight::new(),
            reads: InFlight::new(),
            replies: InFlight::new(),
            acknowledgements: InFlight::new(),
            produced: BTreeMap::new(),
            delivered: BTreeMap::new(),
            now: 0,
            coverage: Coverage::default(),
        };
        model.resend_copies();
        model
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        self.now += 10;
        match *op {
            Op::Draft { free_drafts } => self.draft(free_drafts),
            Op::Answer {
                pick,
                age,
                transmission,
            } => self.answer(pick, age, transmission),
            Op::FailDraft { pick } => self.fail_draft(pick),
            Op::Copy { pick, transmission } => self.copy(pick, transmission),
            Op::Receipt { pick, transmission } => self.receipt(pick, transmission),
            Op::ResendCopies => self.resend_copies(),
            Op::Read => self.read(),
            Op::AnswerRead { pick, transmission } => self.answer_read(pick, transmission),
            Op::ReceiveReply { pick, transmission } => self.receive_reply(pick, transmission),
            Op::Acknowledge => self.acknowledgements.0.push(self.trainer.after),
            Op::ReceiveAcknowledge { pick, transmission } => self.receive_acknowledge(pick, transmission),
            Op::NameVersion => self.name_version(),
            Op::CrashOwner { pick } => self.crash_owner(pick),
            Op::SuspendOwner => self.suspend_owner(),
            Op::ResumeOwner { pick } => self.resume_owner(pick),
            Op::LoseHolder => self.lose_holder(),
            Op::ChangeHolder => self.change_holder(),
            Op::CopyRound { transmission } => self.copy_round(transmission),
            Op::ReadRound { transmission } => self.read_round(transmission),
        }
    }

    fn execute(&mut self, effects: Effects) {
        for event in &effects.events {
            match event {
                StepEvent::LateAnswer { .. } => self.coverage.late_answers += 1,
                StepEvent::Unusable {
                    reason: UnusableReason::TooOld,
                    ..
                } => self.coverage.dropped_too_old += 1,
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
            assert!(
                !self.owner.spec().held.contains(&draft.slot),
                "a held slot was drafted"
            );
        }
        self.execute(effects);
    }

    /// A draft finishes with a weight version up to three behind the trainer's, or without one. The owner may have
    /// changed since the draft started.
    fn answer(&mut self, pick: usize, age: u64, transmission: Transmission) {
        let Some(draft) = self.drafts.take(pick, transmission) else {
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
        self.execute(effects);
    }

    fn fail_draft(&mut self, pick: usize) {
        if let Some(draft) = self.drafts.take(pick, Transmission::Deliver) {
            let effects = self.owner.on_failed(draft.attempt);
            self.execute(effects);
        }
    }

    fn copy(&mut self, pick: usize, transmission: Transmission) {
        let Some((holder, message)) = self.copies.take(pick, transmission) else {
            return;
        };
        if holder == self.holder_number
            && holder != REJECTING_HOLDER
            && let Ok(receipt) = self.holder.accept(&message)
        {
            self.receipts.0.push(receipt);
        }
    }

    fn receipt(&mut self, pick: usize, transmission: Transmission) {
        if let Some(receipt) = self.receipts.take(pick, transmission) {
            self.owner.on_copy_receipt(receipt);
        }
    }

    /// Delivers every copy message in flight, newest first, and then every receipt.
    fn copy_round(&mut self, transmission: Transmission) {
        for index in (0..self.copies.0.len()).rev() {
            self.copy(index, transmission);
        }
        for index in (0..self.receipts.0.len()).rev() {
            self.receipt(index, Transmission::Deliver);
        }
    }

    fn read_round(&mut self, transmission: Transmission) {
        self.read();
        self.answer_read(self.reads.0.len() - 1, transmission);
        if let Some(newest) = self.replies.0.len().checked_sub(1) {
            self.receive_reply(newest, transmission);
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

    fn answer_read(&mut self, pick: usize, transmission: Transmission) {
        let Some(request) = self.reads.take(pick, transmission) else {
            return;
        };
        if request.term.is_some_and(|term| !self.owner.descends_from(term)) {
            self.coverage.rejected_reads += 1;
            self.replies.0.push(ReadReply {
                number: request.number,
                delivery: None,
            });
            return;
        }
        let before = self.owner.version();
        let effects = self.owner.on_version_named(request.version, request.after);
        self.coverage.namings += u64::from(self.owner.version() != before);
        self.execute(effects);
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

    /// Within one lineage of terms, a sequence number must refer to the same sample in every reply, before and after
    /// a takeover.
    fn check_repeated(&mut self, sample: &Arc<Sample>) {
        let earlier = self.delivered.get(&sample.sequence);
        if let Some((term, earlier)) = earlier
            && self.owner.descends_from(*term)
        {
            assert_eq!(earlier, sample, "a sequence number refers to two samples");
            self.coverage.repeated_samples += 1;
        }
        let entry = (self.owner.term(), Arc::clone(sample));
        self.delivered.insert(sample.sequence, entry);
    }

    fn receive_reply(&mut self, pick: usize, transmission: Transmission) {
        let Some(reply) = self.replies.take(pick, transmission) else {
            return;
        };
        if reply.number != self.trainer.reads {
            return;
        }
        // A duplicate of this reply no longer matches the newest read.
        self.trainer.reads += 1;
        let Some(delivery) = reply.delivery else {
            self.recreate_step();
            return;
        };
        self.trainer.term = Some(delivery.term);
        for sample in delivery.samples {
            self.check_sample(&sample);
            assert!(
                self.trainer.held.insert(sample.slot),
                "slot {} was delivered twice",
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
            assert!(
                version + STALENESS_BOUND >= self.trainer.version,
                "a sample is too old"
            );
        }
    }

    fn receive_acknowledge(&mut self, pick: usize, transmission: Transmission) {
        if let Some(through) = self.acknowledgements.take(pick, transmission) {
            let acknowledged = self.owner.acknowledge(through);
            let known = self
                .trainer
                .term
                .is_none_or(|term| self.owner.descends_from(term));
            assert!(
                acknowledged.is_ok() || !known,
                "the acknowledgement of {through} failed"
            );
            self.execute(acknowledged.unwrap_or_default());
        }
    }

    /// The trainer discards replies to reads that it sent before it named the version.
    fn name_version(&mut self) {
        self.trainer.version += 1;
        self.trainer.reads += 1;
    }

    /// Runs the step to completion without further message loss.
    pub(crate) fn drain(&mut self) {
        // Drafts of a crashed owner, and drafts whose answer was lost, count as failed.
        for attempt in self.produced.keys().copied().collect::<Vec<_>>() {
            self.owner.on_failed(attempt);
        }
        if self.holder_number == REJECTING_HOLDER {
            self.change_holder();
        }
        for _ in 0..DRAIN_ROUNDS {
            self.now += 10;
            self.fail_lost_drafts();
            self.draft(SAMPLES as usize);
            while !self.drafts.0.is_empty() {
                self.answer(1, 0, Transmission::Deliver);
            }
            self.resend_copies();
            while !self.copies.0.is_empty() {
                self.copy(0, Transmission::Deliver);
            }
            while !self.receipts.0.is_empty() {
                self.receipt(0, Transmission::Deliver);
            }
            self.read();
            while !self.reads.0.is_empty() {
                self.answer_read(0, Transmission::Deliver);
            }
            while !self.replies.0.is_empty() {
                self.receive_reply(0, Transmission::Deliver);
            }
            self.acknowledgements.0.push(self.trainer.after);
            while !self.acknowledgements.0.is_empty() {
                self.receive_acknowledge(0, Transmission::Deliver);
            }
        }
    }

    /// Reports drafts that are no longer in flight as failed, as a daemon does when a connection ends.
    fn fail_lost_drafts(&mut self) {
        let in_flight: BTreeSet<AttemptId> = self.drafts.0.iter().map(|draft| draft.attempt).collect();
        for attempt in self.owner.running_attempts() {
            if !in_flight.contains(&attempt) {
                self.owner.on_failed(attempt);
            }
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.trainer.held.len() == SAMPLES as usize && self.owner.is_complete()
    }
}

fn text_of(slot: SlotIndex, attempt: AttemptId) -> String {
    format!("slot {slot} attempt {attempt}")
}
