//! Deaths, freezes and changes of the copy holder.

use jm_step::{StepAssembly, StepCopy};
use jm_types::Sequence;

use super::{World, new_step, ops::Flight, options};

/// Number of a holder that has become the owner and refuses messages.
pub(super) const REFUSING_HOLDER: u64 = u64::MAX;

/// An owner that does not run at the moment.
pub(super) struct Frozen {
    owner: StepAssembly,
    holder: StepCopy,
    holder_number: u64,
}

impl World {
    /// Messages to the earlier holder do not arrive at the new one.
    fn new_holder(&mut self) {
        self.last_holder += 1;
        self.holder_number = self.last_holder;
    }

    /// The copy holder takes over and the owner goes on later. The holder is an owner then, so it no longer
    /// takes the earlier owner's messages.
    pub(super) fn owner_freezes(&mut self) {
        let copy = std::mem::take(&mut self.holder);
        self.owner_number += 1;
        let Ok(owner) = StepAssembly::restore(copy, options(self.owner_number)) else {
            self.create_again();
            self.resend_copies();
            return;
        };
        self.frozen.push(Frozen {
            owner: std::mem::replace(&mut self.owner, owner),
            holder: StepCopy::default(),
            holder_number: REFUSING_HOLDER,
        });
        self.new_holder();
        self.reached.takeovers += 1;
        self.resend_copies();
    }

    /// Reads go to a frozen owner again, and the present one freezes.
    pub(super) fn owner_resumes(&mut self, pick: usize) {
        if self.frozen.is_empty() {
            return;
        }
        self.reached.resumed += 1;
        let index = pick % self.frozen.len();
        let frozen = &mut self.frozen[index];
        std::mem::swap(&mut self.owner, &mut frozen.owner);
        std::mem::swap(&mut self.holder, &mut frozen.holder);
        std::mem::swap(&mut self.holder_number, &mut frozen.holder_number);
        self.resend_copies();
    }

    /// The copy holder takes over, or once in a while a daemon with a copy that was replaced.
    pub(super) fn owner_dies(&mut self, pick: usize) {
        let mut copy = std::mem::take(&mut self.holder);
        self.new_holder();
        if pick.is_multiple_of(3) && !self.stale.is_empty() {
            let index = pick / 3 % self.stale.len();
            std::mem::swap(&mut copy, &mut self.stale[index]);
            self.reached.stale_takeovers += 1;
        }
        self.owner_number += 1;
        match StepAssembly::restore(copy, options(self.owner_number)) {
            Ok(owner) => {
                self.owner = owner;
                self.reached.takeovers += 1;
            }
            Err(_) => self.create_again(),
        }
        self.resend_copies();
    }

    /// The trainer creates a lost step under a new name, so that no message of the old one arrives at it.
    pub(super) fn create_again(&mut self) {
        self.reached.lost_steps += 1;
        let held = self.trainer.held.iter().copied().collect();
        self.owner = new_step(self.trainer.version, held);
        self.holder = StepCopy::default();
        self.stale.clear();
        self.frozen.clear();
        self.new_holder();
        self.trainer.term = None;
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

    /// Nothing is sent to a holder until there is one again.
    pub(super) fn no_holder(&mut self) {
        self.reached.degraded += 1;
        self.stale.push(std::mem::take(&mut self.holder));
        self.new_holder();
        self.owner.on_copy_holder_lost();
    }

    pub(super) fn holder_changes(&mut self) {
        self.reached.holder_changes += 1;
        self.stale.push(std::mem::take(&mut self.holder));
        self.new_holder();
        self.owner.on_copy_holder_changed();
        self.resend_copies();
    }
}
