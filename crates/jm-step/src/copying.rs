//! The owner's side of keeping a copy of the step at another daemon.

use std::sync::Arc;

use jm_types::Sequence;

use crate::{CopyBody, CopyMessage, CopyPart, CopyReceipt, Snapshot, StepAssembly, slots::Slot};

/// What the copy holder has confirmed in the present term.
#[derive(Debug, Default)]
pub(crate) struct Copied {
    pub(crate) begin: bool,
    pub(crate) namings: usize,
    pub(crate) acknowledged: Sequence,
}

/// What an owner does when another daemon sends it copies of the same step, after a takeover from a daemon that
/// was frozen or cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipDecision {
    /// The sender is a former owner and has to end.
    Reject,
    /// The message does not tell the history of its term; the first message of the term will.
    Defer,
    /// The sender goes on, and this owner ends.
    Yield,
}

impl StepAssembly {
    /// Judges a message of another daemon that takes itself for the owner. The one whose history includes the
    /// other's present term goes on. When neither does, the larger term goes on, which both sides decide alike; a
    /// trainer that read from the other one is refused by its term.
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

    /// Records a confirmation of the copy holder. One of an earlier term is ignored.
    pub fn on_copy_receipt(&mut self, receipt: CopyReceipt) {
        if receipt.term != self.term() {
            return;
        }
        match receipt.part {
            CopyPart::Begin => self.copied.begin = true,
            CopyPart::Named(count) => self.copied.namings = self.copied.namings.max(count),
            CopyPart::Acknowledged(through) => {
                self.copied.acknowledged = self.copied.acknowledged.max(through);
            }
            CopyPart::Binding(sequence) => {
                if let Some(bound) = self.bound.get_mut(&sequence) {
                    bound.copied = true;
                }
            }
        }
    }

    /// Records that another daemon holds the copy from now on. Everything is sent to it again in a new term,
    /// and nothing new is handed out until it has confirmed.
    pub fn on_copy_holder_changed(&mut self) {
        self.begin_term(false);
    }

    /// Records that no other daemon can hold a copy. Samples are then handed out with one copy only, in a new
    /// term, so that nobody takes over from an earlier copy unnoticed.
    pub fn on_copy_holder_lost(&mut self) {
        if !self.degraded {
            self.begin_term(true);
        }
    }

    fn begin_term(&mut self, degraded: bool) {
        let term = self.term().next(self.options.owner);
        self.lineage.push(term);
        self.degraded = degraded;
        self.copied = Copied::default();
        for bound in self.bound.values_mut() {
            bound.copied = false;
        }
    }

    /// Every message that the copy holder has not confirmed, to be sent again from time to time.
    pub fn pending_copies(&self) -> Vec<CopyMessage> {
        let mut bodies = Vec::new();
        if !self.copied.begin {
            bodies.push(CopyBody::Begin(Box::new(self.snapshot())));
        }
        if self.copied.namings < self.namings.len() {
            bodies.push(CopyBody::Named(self.namings.clone()));
        }
        if self.copied.acknowledged < self.acknowledged {
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
