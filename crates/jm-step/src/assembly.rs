//! State of one step at the daemon that owns it.

use std::{collections::BTreeMap, sync::Arc};

use indexmap::IndexSet;
use jm_types::{AttemptId, ResultCode, Sequence, SlotIndex, TargetId, Timestamp, TokenCount, WeightVersion};
use snafu::Snafu;

use crate::{
    BoundSlot, CopyBody, Effects, IncompleteCopy, NamedVersion, Sample, Segment, SpecError, StepCopy,
    StepEvent, StepOptions, StepSpec, Term, UnusableReason,
    draft_rates::DraftRates,
    replication::CopyProgress,
    slots::{Slot, Slots, Start},
};

/// A bound sample that the trainer has not acknowledged.
#[derive(Debug)]
pub(crate) struct Bound {
    pub(crate) sample: Arc<Sample>,
    pub(crate) copied: bool,
}

/// The trainer acknowledged a sequence number that was never assigned.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("cannot acknowledge sample {through}: the last assigned sequence number is {last}"))]
pub struct AcknowledgeError {
    through: Sequence,
    last: Sequence,
}

impl AcknowledgeError {
    /// The result code for the trainer.
    pub const fn code(&self) -> ResultCode {
        ResultCode::BadAcknowledgement
    }
}

/// Slots, running drafts, bindings and delivery of one step, held by the daemon that owns it.
#[derive(Debug)]
pub struct StepAssembly {
    pub(crate) spec: StepSpec,
    pub(crate) options: StepOptions,
    pub(crate) slots: Slots,
    pub(crate) rates: DraftRates,
    /// Slots with two running drafts.
    pub(crate) paired: IndexSet<SlotIndex>,
    /// Slow drafts found by the last review that have not been reissued yet.
    pub(crate) reissue_queue: Vec<AttemptId>,
    pub(crate) reissued: u64,
    pub(crate) bound: BTreeMap<Sequence, Bound>,
    pub(crate) next_sequence: Sequence,
    pub(crate) acknowledged: Sequence,
    pub(crate) namings: Vec<NamedVersion>,
    /// The current term and its predecessors, oldest first.
    pub(crate) lineage: Vec<Term>,
    pub(crate) copy_progress: CopyProgress,
    pub(crate) degraded: bool,
    pub(crate) unusable: u64,
    pub(crate) late_answers: u64,
}

impl StepAssembly {
    /// Creates a step in its first term. No sample is delivered until the copy holder has confirmed the messages
    /// of [`StepAssembly::pending_copies`], or until [`StepAssembly::on_copy_holder_lost`] is called.
    pub fn new(spec: StepSpec, options: StepOptions) -> Result<Self, SpecError> {
        spec.check()?;
        let held: Vec<SlotIndex> = spec.held.clone();
        let first = Term::default().next(options.owner);
        let mut step = Self::empty(spec, options, first);
        step.slots
            .initialize(held.into_iter().map(|slot| (slot, Slot::Done)));
        Ok(step)
    }

    fn empty(spec: StepSpec, options: StepOptions, first: Term) -> Self {
        Self {
            slots: Slots::new(spec.samples, first),
            spec,
            options,
            rates: DraftRates::default(),
            paired: IndexSet::new(),
            reissue_queue: Vec::new(),
            reissued: 0,
            bound: BTreeMap::new(),
            next_sequence: Sequence::new(1),
            acknowledged: Sequence::default(),
            namings: Vec::new(),
            lineage: vec![first],
            copy_progress: CopyProgress::default(),
            degraded: false,
            unusable: 0,
            late_answers: 0,
        }
    }

    /// Takes over a step from its previous owner and starts a new term. Samples of the copy are delivered again
    /// once a copy holder has confirmed them in this term.
    pub fn restore(copy: StepCopy, options: StepOptions) -> Result<Self, IncompleteCopy> {
        let restored = copy.into_restored()?;
        let before = restored.lineage.last().copied().unwrap_or_default();
        let term = before.next(options.owner);
        let mut step = Self::empty(restored.spec, options, term);
        step.lineage = restored.lineage;
        step.lineage.push(term);
        let done = restored.done.into_iter().map(|slot| (slot, Slot::Done));
        let bound = restored
            .bindings
            .iter()
            .map(|sample| (sample.slot, Slot::Bound(sample.sequence)));
        step.slots.initialize(done.chain(bound));
        for sample in restored.bindings {
            let bound = Bound {
                sample,
                copied: false,
            };
            step.bound.insert(bound.sample.sequence, bound);
        }
        step.next_sequence = restored.next_sequence;
        step.acknowledged = restored.acknowledged;
        step.namings = restored.namings;
        Ok(step)
    }

    /// The current term, which the trainer receives with each reply to a read.
    pub fn term(&self) -> Term {
        self.lineage.last().copied().unwrap_or_default()
    }

    /// Whether this state includes everything that was delivered up to `term`, which the trainer sends with a
    /// read. This is false when a daemon took over from an outdated copy that another holder's copy had
    /// replaced. The read is then rejected as for an unknown step.
    pub fn descends_from(&self, term: Term) -> bool {
        self.lineage.contains(&term)
    }

    /// The specification that the trainer created the step with.
    pub const fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// The weight version that staleness is measured against: the newest one that the trainer named.
    pub fn version(&self) -> WeightVersion {
        self.namings
            .last()
            .map_or(self.spec.weight_version, |named| named.version)
    }

    /// The oldest weight version that a deliverable sample may contain.
    pub fn minimum_version(&self) -> WeightVersion {
        self.spec.minimum_version(self.version())
    }

    /// Whether the trainer holds the sample of every slot.
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|(_, slot)| *slot == Slot::Done)
    }

    /// Records that an engine admitted a draft. `version` is the weight version that the engine reported, or
    /// `None` when it reported none.
    pub fn on_started(
        &mut self,
        attempt: AttemptId,
        target: TargetId,
        version: Option<WeightVersion>,
        now: Timestamp,
    ) -> Effects {
        let minimum = self.minimum_version();
        let mut effects = Effects::default();
        match self.slots.attempt_mut(attempt) {
            Some(running) => {
                running.start = Some(Start {
                    target,
                    version,
                    at: now,
                });
                if version.is_some_and(|version| version < minimum) {
                    self.slots.stop(attempt);
                    effects.cancel.push(attempt);
                }
            }
            None => effects.cancel.push(attempt),
        }
        effects
    }

    /// Records how many tokens a draft has generated so far. A count below the recorded one is ignored.
    pub fn on_progress(&mut self, attempt: AttemptId, tokens: TokenCount) {
        if let Some(running) = self.slots.attempt_mut(attempt) {
            running.tokens = running.tokens.max(tokens);
        }
    }

    /// Binds the sample of a finished draft to its slot. The effects cancel the other draft of the slot and send
    /// the binding to the copy holder. An answer for an attempt that is not running is ignored.
    pub fn on_finished(
        &mut self,
        attempt: AttemptId,
        segments: Vec<Segment>,
        text: String,
        now: Timestamp,
    ) -> Effects {
        let mut effects = Effects::default();
        let Some(running) = self.slots.attempts().get(&attempt).cloned() else {
            self.record_late_answer(attempt, &mut effects);
            return effects;
        };
        let oldest_version = match self.usable_version(&segments) {
            Ok(version) => version,
            Err(reason) => {
                self.slots.stop(attempt);
                self.record_unusable(running.slot, attempt, reason, &mut effects);
                return effects;
            }
        };
        let tokens = TokenCount::new(segments.iter().map(|segment| segment.tokens.get()).sum());
        self.rates.record_finished(&running, tokens, now);
        let sample = Sample {
            sequence: self.next_sequence,
            slot: running.slot,
            attempt,
            oldest_version,
            segments,
            text,
        };
        self.bind(Arc::new(sample), &mut effects);
        effects
    }

    fn usable_version(&self, segments: &[Segment]) -> Result<WeightVersion, UnusableReason> {
        let versions: Option<Vec<WeightVersion>> = segments.iter().map(|segment| segment.version).collect();
        let oldest = versions.into_iter().flatten().min();
        match oldest {
            None => Err(UnusableReason::MissingVersion),
            Some(version) if version < self.minimum_version() => Err(UnusableReason::TooOld),
            Some(version) => Ok(version),
        }
    }

    fn bind(&mut self, sample: Arc<Sample>, effects: &mut Effects) {
        self.next_sequence = self.next_sequence.next();
        for (attempt, running) in self.slots.bind(sample.slot, sample.sequence) {
            if attempt != sample.attempt {
                self.rates.record_wasted(&running);
                effects.cancel.push(attempt);
            }
        }
        effects
            .copy
            .push(self.message(CopyBody::Binding(Arc::clone(&sample))));
        let bound = Bound {
            sample,
            copied: false,
        };
        self.bound.insert(bound.sample.sequence, bound);
    }

    /// Records that a draft ended without a sample. Its slot is drafted again.
    pub fn on_failed(&mut self, attempt: AttemptId) -> Effects {
        let mut effects = Effects::default();
        if self.slots.stop(attempt).is_none() {
            self.record_late_answer(attempt, &mut effects);
        }
        effects
    }

    fn record_late_answer(&mut self, attempt: AttemptId, effects: &mut Effects) {
        self.late_answers += 1;
        effects.events.push(StepEvent::LateAnswer { attempt });
    }

    fn record_unusable(
        &mut self,
        slot: SlotIndex,
        attempt: AttemptId,
        reason: UnusableReason,
        effects: &mut Effects,
    ) {
        self.unusable += 1;
        effects.events.push(StepEvent::Unusable {
            slot,
            attempt,
            reason,
        });
    }

    /// Records that the trainer named a weight version and holds every sample up to `received`. Later samples that
    /// are now too old are dropped and drafted again. This is safe because the trainer does not hold them, and
    /// it discards the reply to any read that it sent before it named the version. A version that is not newer
    /// has no effect, so late and duplicate requests are harmless.
    pub fn on_version_named(&mut self, version: WeightVersion, received: Sequence) -> Effects {
        let mut effects = Effects::default();
        if version <= self.version() {
            return effects;
        }
        self.namings.push(NamedVersion { version, received });
        self.drop_too_old(received, &mut effects);
        self.stop_too_old(&mut effects);
        effects
            .copy
            .push(self.message(CopyBody::Named(self.namings.clone())));
        effects
    }

    fn drop_too_old(&mut self, received: Sequence, effects: &mut Effects) {
        let minimum = self.minimum_version();
        let too_old: Vec<Arc<Sample>> = self
            .bound
            .range(received.next()..)
            .filter(|(_, bound)| bound.sample.oldest_version < minimum)
            .map(|(_, bound)| Arc::clone(&bound.sample))
            .collect();
        for sample in too_old {
            self.bound.remove(&sample.sequence);
            self.slots.reopen(sample.slot);
            self.record_unusable(sample.slot, sample.attempt, UnusableReason::TooOld, effects);
        }
    }

    fn stop_too_old(&mut self, effects: &mut Effects) {
        let minimum = self.minimum_version();
        let too_old: Vec<AttemptId> = self
            .slots
            .attempts()
            .iter()
            .filter(|(_, attempt)| {
                let version = attempt.start.as_ref().and_then(|start| start.version);
                version.is_some_and(|version| version < minimum)
            })
            .map(|(&attempt, _)| attempt)
            .collect();
        for attempt in too_old {
            self.slots.stop(attempt);
            effects.cancel.push(attempt);
        }
    }

    /// Returns the samples after `after` in delivery order, at most `limit` of them. Repeated calls return the
    /// same samples until they are acknowledged. Delivery stops at the first sample that is not copied. The
    /// trainer only asks for samples after the last one it received, so a skipped sample would be lost.
    pub fn deliver(&self, after: Sequence, limit: usize) -> Vec<Arc<Sample>> {
        if !self.can_deliver() {
            return Vec::new();
        }
        let minimum = self.minimum_version();
        self.bound
            .range(after.next()..)
            .map(|(_, bound)| bound)
            .take_while(|bound| bound.copied || self.degraded)
            .filter(|bound| bound.sample.oldest_version >= minimum)
            .take(limit)
            .map(|bound| Arc::clone(&bound.sample))
            .collect()
    }

    fn can_deliver(&self) -> bool {
        self.degraded || (self.copy_progress.begin && self.copy_progress.namings == self.namings.len())
    }

    /// Records that the trainer has stored every sample up to `through` and will not read them again.
    pub fn acknowledge(&mut self, through: Sequence) -> Result<Effects, AcknowledgeError> {
        let mut effects = Effects::default();
        if through >= self.next_sequence {
            let last = self.next_sequence.saturating_sub(Sequence::new(1));
            return AcknowledgeSnafu { through, last }.fail();
        }
        if through <= self.acknowledged {
            return Ok(effects);
        }
        self.acknowledged = through;
        let kept = self.bound.split_off(&through.next());
        for (_, bound) in std::mem::replace(&mut self.bound, kept) {
            self.slots.finish(bound.sample.slot);
        }
        effects.copy.push(self.message(CopyBody::Acknowledged(through)));
        Ok(effects)
    }

    /// Slots, sequence numbers and versions of the samples that the trainer has not acknowledged.
    pub fn bindings(&self) -> Vec<BoundSlot> {
        self.bound
            .values()
            .map(|bound| bound.sample.bound_slot())
            .collect()
    }
}
