//! Notices of hosts that run a batch although the store does not name them yet.
//!
//! Load pattern: the store does not respond for longer than a stopped host takes to be observed as failed. Without a notice,
//! its successor by rendezvous would claim the batch from the host that already runs it as soon as the store responds, and
//! readers would ask the stopped host.

use std::sync::Arc;

use async_std::task;
use jm_types::{Incarnation, MemberId};

use super::{BatchService, CachedState, insert_bounded};
use crate::{BatchState, OwnerNotice, PendingHandover};

/// Maximum number of batches whose notices are kept. They are needed only until the store responds.
const MAX_NOTICES: usize = 64;

impl BatchService {
    /// Sends a notice for a handover that this host accepted to all other hosts, without waiting for their answers.
    pub(super) fn notify_hosts(&self, pending: &PendingHandover) {
        let notice = OwnerNotice {
            state: pending.state.clone(),
            version: pending.version,
        };
        let peers = Arc::clone(&self.deps.peers);
        task::spawn(async move { peers.notify(notice).await });
    }

    /// Handles a notice of another host.
    pub fn receive_notice(&self, notice: OwnerNotice) {
        let batch = notice.state.batch.clone();
        let mut state = self.state();
        // Notices of successive handovers may arrive in any order.
        let is_newer = state.notices.get(&batch).is_none_or(|known| {
            (known.version, known.state.earlier_owners) < (notice.version, notice.state.earlier_owners)
        });
        if is_newer {
            insert_bounded(&mut state.notices, &batch, notice, MAX_NOTICES);
        }
    }

    /// The live host that runs a batch without being named by the stored state; `None` if there is no such host.
    pub(super) fn noticed_owner(&self, cached: &CachedState) -> Option<(MemberId, Incarnation)> {
        let state = self.state();
        let notice = state.notices.get(&cached.state.batch)?;
        let is_current = notice.version == cached.version && notice.state.phase == cached.state.phase;
        let owner = (notice.state.owner.clone(), notice.state.owner_incarnation);
        drop(state);
        let is_other = owner.0 != self.options.local_member;
        (is_current && is_other && self.deps.members.is_running(&owner.0, owner.1)).then_some(owner)
    }

    /// The live host that is asked for the results of a batch; `None` if there is none.
    pub(super) fn host_to_ask(&self, state: &BatchState) -> Option<MemberId> {
        let noticed = self.cached_state(&state.batch);
        if let Some((owner, _)) = noticed.and_then(|cached| self.noticed_owner(&cached)) {
            return Some(owner);
        }
        let is_running = self
            .deps
            .members
            .is_running(&state.owner, state.owner_incarnation);
        is_running.then(|| state.owner.clone())
    }
}
