//! Queue of membership updates to be piggybacked on datagrams.

use indexmap::IndexMap;
use jm_types::MemberId;

use crate::Update;

#[derive(Debug, Clone)]
struct Queued {
    update: Update,
    sent: u32,
}

/// Newest update of each member. Each update is sent a limited number of times.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    queued: IndexMap<MemberId, Queued>,
}

impl UpdateQueue {
    pub(crate) fn push(&mut self, update: Update) {
        let member = update.member.clone();
        self.queued.insert(member, Queued { update, sent: 0 });
    }

    pub(crate) fn remove(&mut self, member: &MemberId) {
        self.queued.swap_remove(member);
    }

    /// Returns the updates that were sent least often, up to `budget_bytes`, and counts them as sent. Each update is
    /// sent `retransmits` times.
    pub(crate) fn take(&mut self, budget_bytes: usize, retransmits: u32) -> Vec<Update> {
        let mut due: Vec<_> = self.queued.values_mut().collect();
        due.sort_by_key(|queued| queued.sent);
        let mut left = budget_bytes;
        let mut taken = Vec::new();
        for queued in due {
            let Some(rest) = left.checked_sub(queued.update.bytes()) else {
                break;
            };
            left = rest;
            queued.sent += 1;
            taken.push(queued.update.clone());
        }
        self.queued.retain(|_, queued| queued.sent < retransmits);
        taken
    }
}
