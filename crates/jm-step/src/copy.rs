//! The replica of a step, from which another daemon takes over.

use std::{collections::BTreeSet, sync::Arc};

use indexmap::IndexMap;
use jm_types::{Sequence, SlotIndex};
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    BoundSlot, CopyBody, CopyMessage, CopyPart, CopyReceipt, NamedVersion, Sample, Snapshot, StepSpec, Term,
};

/// The message belongs to an earlier term than the copy holder's current one.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the message belongs to term {found}, but the current term is {current}"))]
pub struct StaleTerm {
    found: Term,
    current: Term,
}

/// The copy lacks samples that may have been delivered, so the step cannot be taken over. Its trainer recreates
/// the step and lists the slots that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the copy lacks samples that may have been delivered"))]
pub struct IncompleteCopy;

/// The copy holder's replica of a step, in the newest term for which it has received a message.
#[derive(Debug, Default)]
pub struct StepCopy {
    term: Term,
    begin: Option<Snapshot>,
    namings: Vec<NamedVersion>,
    bindings: IndexMap<SlotIndex, Binding>,
    acknowledged: Sequence,
    highest_sequence: Sequence,
}

/// The newest sample of a slot. Its content is dropped once the trainer has acknowledged it.
#[derive(Debug)]
struct Binding {
    bound: BoundSlot,
    sample: Option<Arc<Sample>>,
}

/// State that a new owner starts with after a takeover.
#[derive(Debug)]
pub(crate) struct Restored {
    pub(crate) spec: StepSpec,
    pub(crate) lineage: Vec<Term>,
    pub(crate) done: BTreeSet<SlotIndex>,
    pub(crate) bindings: Vec<Arc<Sample>>,
    pub(crate) acknowledged: Sequence,
    pub(crate) next_sequence: Sequence,
    pub(crate) namings: Vec<NamedVersion>,
}

impl StepCopy {
    /// Stores a message and returns the receipt for its sender. Messages may arrive duplicated and in any order.
    /// The first message of a newer term discards the state of the earlier term.
    pub fn accept(&mut self, message: &CopyMessage) -> Result<CopyReceipt, StaleTerm> {
        let (found, current) = (message.term, self.term);
        ensure!(found >= current, StaleTermSnafu { found, current });
        if found > current {
            *self = Self {
                term: found,
                ..Self::default()
            };
        }
        let part = match &message.body {
            CopyBody::Begin(snapshot) => self.accept_begin(snapshot),
            CopyBody::Binding(sample) => self.accept_binding(sample),
            CopyBody::Named(namings) => self.accept_namings(namings),
            CopyBody::Acknowledged(through) => self.accept_acknowledged(*through),
        };
        Ok(CopyReceipt { term: found, part })
    }

    fn accept_begin(&mut self, snapshot: &Snapshot) -> CopyPart {
        self.accept_namings(&snapshot.namings);
        self.accept_acknowledged(snapshot.acknowledged);
        // A resent message also lists samples that were bound in this term. They are delivered only after this
        // copy holds them, so only the first list is required for a takeover.
        if self.begin.is_none() {
            self.begin = Some(snapshot.clone());
        }
        CopyPart::Begin
    }

    fn accept_binding(&mut self, sample: &Arc<Sample>) -> CopyPart {
        let sequence = sample.sequence;
        self.highest_sequence = self.highest_sequence.max(sequence);
        let newer = self
            .bindings
            .get(&sample.slot)
            .is_none_or(|binding| binding.bound.sequence < sequence);
        if newer {
            let binding = Binding {
                bound: sample.bound_slot(),
                sample: (sequence > self.acknowledged).then(|| Arc::clone(sample)),
            };
            self.bindings.insert(sample.slot, binding);
        }
        CopyPart::Binding(sequence)
    }

    fn accept_namings(&mut self, namings: &[NamedVersion]) -> CopyPart {
        if namings.len() > self.namings.len() {
            self.namings = namings.to_vec();
        }
        CopyPart::Named(self.namings.len())
    }

    fn accept_acknowledged(&mut self, through: Sequence) -> CopyPart {
        self.acknowledged = self.acknowledged.max(through);
        for binding in self.bindings.values_mut() {
            if binding.bound.sequence <= self.acknowledged {
                binding.sample = None;
            }
        }
        CopyPart::Acknowledged(self.acknowledged)
    }

    /// Whether the copy holds every sample that may have been delivered.
    pub fn is_complete(&self) -> bool {
        self.begin.as_ref().is_some_and(|begin| {
            begin
                .bound
                .iter()
                .all(|listed| self.accounts_for(&begin.spec, listed))
        })
    }

    fn accounts_for(&self, spec: &StepSpec, listed: &BoundSlot) -> bool {
        let held = self
            .bindings
            .get(&listed.slot)
            .is_some_and(|binding| binding.bound.sequence >= listed.sequence);
        held || listed.sequence <= self.acknowledged || self.is_dropped(spec, listed)
    }

    /// Whether the owner dropped the sample when the trainer named a version. Each named version is checked
    /// separately, because a sample that was dropped for an earlier version is not restored when a later version is
    /// named with a higher `received`.
    fn is_dropped(&self, spec: &StepSpec, bound: &BoundSlot) -> bool {
        self.namings.iter().any(|named| {
            bound.sequence > named.received && bound.oldest_version < spec.minimum_version(named.version)
        })
    }

    /// Slots whose sample the trainer has acknowledged. The trainer does not hold a dropped sample, so an
    /// acknowledgement of later samples does not include its slot.
    fn acknowledged_slots(&self, begin: &Snapshot) -> BTreeSet<SlotIndex> {
        self.bindings
            .values()
            .map(|binding| &binding.bound)
            .chain(&begin.bound)
            .filter(|bound| bound.sequence <= self.acknowledged && !self.is_dropped(&begin.spec, bound))
            .map(|bound| bound.slot)
            .collect()
    }

    fn unacknowledged(&self, spec: &StepSpec) -> Vec<Arc<Sample>> {
        self.bindings
            .values()
            .filter(|binding| !self.is_dropped(spec, &binding.bound))
            .filter_map(|binding| binding.sample.clone())
            .collect()
    }

    pub(crate) fn into_restored(self) -> Result<Restored, IncompleteCopy> {
        ensure!(self.is_complete(), IncompleteCopySnafu);
        let begin = self.begin.as_ref().context(IncompleteCopySnafu)?;
        let mut done = self.acknowledged_slots(begin);
        done.extend(&begin.done);
        let used = self.highest_sequence.max(self.acknowledged).next();
        Ok(Restored {
            spec: begin.spec.clone(),
            lineage: begin.lineage.clone(),
            done,
            bindings: self.unacknowledged(&begin.spec),
            acknowledged: self.acknowledged,
            next_sequence: used.max(begin.next_sequence),
            namings: self.namings,
        })
    }
}
