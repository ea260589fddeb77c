//! Crashes and suspensions of the owner, and changes of the copy holder.

use jm_step::{StepAssembly, StepCopy};
use jm_types::Sequence;

use super::{StepModel, new_step, ops::InFlight, options};

/// Number of a copy holder that has become an owner and rejects copy messages.
pub(super) const REJECTING_HOLDER: u64 = u64::MAX;

/// A suspended owner with its copy holder.
pub(super) struct SuspendedOwner {
    owner: StepAssembly,
    holder: StepCopy,
    holder_number: u64,
}

impl StepModel {
    /// Assigns a new holder number, so that messages to the earlier holder do not arrive at the new one.
    fn new_holder(&mut self) {
        self.last_holder += 1;
        self.holder_number = self.last_holder;
    }

    /// The copy holder takes over, and the suspended owner may resume later. The holder has then become an owner, so
    /// it rejects the messages of the former owner.
    pub(super) fn suspend_owner(&mut self) {
        let copy = std::mem::take(&mut self.holder);
        self.owner_number += 1;
        let Ok(owner) = StepAssembly::restore(copy, options(self.owner_number)) else {
            self.recreate_step();
            self.resend_copies();
            return;
        };
        self.suspended.push(SuspendedOwner {
            owner: std::mem::replace(&mut self.owner, owner),
            holder: StepCopy::default(),
            holder_number: REJECTING_HOLDER,
        });
        self.new_holder();
        self.coverage.takeovers += 1;
        self.resend_copies();
    }

    /// Resumes a suspended owner, which receives the reads again, and suspends the current one.
    pub(super) fn resume_owner(&mut self, pick: usize) {
        if self.suspended.is_empty() {
            return;
        }
        self.coverage.resumed += 1;
        let index = pick % self.suspended.len();
        let suspended = &mut self.suspended[index];
        std::mem::swap(&mut self.owner, &mut suspended.owner);
        std::mem::swap(&mut self.holder, &mut suspended.holder);
        std::mem::swap(&mut self.holder_number, &mut suspended.holder_number);
        self.resend_copies();
    }

    /// The copy holder takes over, or for a third of the picks a daemon with a replaced copy.
    pub(super) fn crash_owner(&mut self, pick: usize) {
        let mut copy = std::mem::take(&mut self.holder);
        self.new_holder();
        if pick.is_multiple_of(3) && !self.stale.is_empty() {
            let index = pick / 3 % self.stale.len();
            std::mem::swap(&mut copy, &mut self.stale[index]);
            self.coverage.stale_takeovers += 1;
        }
        self.owner_number += 1;
        match StepAssembly::restore(copy, options(self.owner_number)) {
            Ok(owner) => {
                self.owner = owner;
                self.coverage.takeovers += 1;
            }
            Err(_) => self.recreate_step(),
        }
        self.resend_copies();
    }

    /// The trainer recreates a lost step under a new name, so messages of the old step do not reach it.
    pub(super) fn recreate_step(&mut self) {
        self.coverage.lost_steps += 1;
        let held = self.trainer.held.iter().copied().collect();
        self.owner = new_step(self.trainer.version, held);
        self.holder = StepCopy::default();
        self.stale.clear();
        self.suspended.clear();
        self.new_holder();
        self.trainer.term = None;
        self.trainer.after = Sequence::default();
        self.trainer.reads += 1;
        self.drafts = InFlight::new();
        self.copies = InFlight::new();
        self.receipts = InFlight::new();
        self.reads = InFlight::new();
        self.replies = InFlight::new();
        self.acknowledgements = InFlight::new();
        self.produced.clear();
        self.delivered.clear();
    }

    /// The step has no copy holder, and no copy messages are sent until it has one again.
    pub(super) fn lose_holder(&mut self) {
        self.coverage.degraded += 1;
        self.stale.push(std::mem::take(&mut self.holder));
        self.new_holder();
        self.owner.on_copy_holder_lost();
    }

    pub(super) fn change_holder(&mut self) {
        self.coverage.holder_changes += 1;
        self.stale.push(std::mem::take(&mut self.holder));
        self.new_holder();
        self.owner.on_copy_holder_changed();
        self.resend_copies();
    }
}
