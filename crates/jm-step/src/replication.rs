//! Replication of a step from its owner to the copy holder.

use std::sync::Arc;

use jm_types::Sequence;

use crate::{CopyBody, CopyMessage, CopyPart, CopyReceipt, Snapshot, StepAssembly, slots::Slot};

/// What the copy holder has confirmed in the current term.
#[derive(Debug, Default)]
pub(crate) struct CopyProgress {
    pub(crate) begin: bool,
    pub(crate) namings: usize,
    pub(crate) acknowledged: Sequence,
}

/// How an owner responds to copy messages for its own step from another owner. Two owners exist after a takeover
/// from a daemon that was suspended or partitioned and then resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipDecision {
    /// The sender is a former owner and must give up the step.
    Reject,
    /// The message does not contain the lineage of its term. The decision needs the first message of the term.
    Defer,
    /// The sender remains the owner, and this owner gives up the step.
    Yield,
}

impl StepAssembly {
    /// Decides which owner remains when another daemon sends copy messages as owner of the same step. The owner
    /// whose lineage includes the other's current term remains. If neither lineage does, the owner with the larger
    /// term remains, so both sides reach the same result. Reads of a trainer that read from the other owner are
    /// then rejected because of their term.
    pub fn decide_ownership(&self, message: &CopyMessage) -> OwnershipDecision {
        if self.descends_from(message.term) {
            return OwnershipDecision::Reject;
        }
        match &message.body {
            CopyBody::Begin(snapshot) if snapshot.lineage.contains(&self.term()) => OwnershipDecision::Yield,
            CopyBody::Begin(_) if message.term > self.term() => OwnershipDecision::Yield,
            CopyBody::Begin(_) => OwnershipDecision::Reject,
            _ => OwnershipDecision::Defer,
        }
    }

    /// Records what the copy holder has confirmed. A receipt of an earlier term is ignored.
    pub fn on_copy_receipt(&mut self, receipt: CopyReceipt) {
        if receipt.term != self.term() {
            return;
        }
        match receipt.part {
            CopyPart::Begin => self.copy_progress.begin = true,
            CopyPart::Named(count) => self.copy_progress.namings = self.copy_progress.namings.max(count),
            CopyPart::Acknowledged(through) => {
                self.copy_progress.acknowledged = self.copy_progress.acknowledged.max(through);
            }
            CopyPart::Binding(sequence) => {
                if let Some(bound) = self.bound.get_mut(&sequence) {
                    bound.copied = true;
                }
            }
        }
    }

    /// Records that another daemon became the copy holder. Everything is sent to it in a new term, and no sample
    /// is delivered until the new holder has confirmed it.
    pub fn on_copy_holder_changed(&mut self) {
        self.begin_term(false);
    }

    /// Records that no other daemon can hold a copy. Samples are then delivered without a replica. This starts a
    /// new term, so that a takeover from an earlier copy is detected by its term.
    pub fn on_copy_holder_lost(&mut self) {
        if !self.degraded {
            self.begin_term(true);
        }
    }

    fn begin_term(&mut self, degraded: bool) {
        let term = self.term().next(self.options.owner);
        self.lineage.push(term);
        self.degraded = degraded;
        self.copy_progress = CopyProgress::default();
        for bound in self.bound.values_mut() {
            bound.copied = false;
        }
    }

    /// Returns every message that the copy holder has not confirmed. The caller resends them periodically.
    pub fn pending_copies(&self) -> Vec<CopyMessage> {
        let mut bodies = Vec::new();
        if !self.copy_progress.begin {
            bodies.push(CopyBody::Begin(Box::new(self.snapshot())));
        }
        if self.copy_progress.namings < self.namings.len() {
            bodies.push(CopyBody::Named(self.namings.clone()));
        }
        if self.copy_progress.acknowledged < self.acknowledged {
            bodies.push(CopyBody::Acknowledged(self.acknowledged));
        }
        let uncopied = self.bound.values().filter(|bound| !bound.copied);
        bodies.extend(uncopied.map(|bound| CopyBody::Binding(Arc::clone(&bound.sample))));
        bodies.into_iter().map(|body| self.message(body)).collect()
    }

    fn snapshot(&self) -> Snapshot {
        let done = self.slots.iter().filter(|(_, slot)| **slot == Slot::Done);
        Snapshot {
            spec: self.spec.clone(),
            lineage: self.lineage.clone(),
            done: done.map(|(index, _)| index).collect(),
            acknowledged: self.acknowledged,
            next_sequence: self.next_sequence,
            namings: self.namings.clone(),
            bound: self.bindings(),
        }
    }

    pub(crate) fn message(&self, body: CopyBody) -> CopyMessage {
        CopyMessage {
            step: self.spec.step.clone(),
            term: self.term(),
            body,
        }
    }
}
