//! Which hosts try to acquire the lease of the shared duties.
//!
//! Load pattern: hosts are restarted in turn, or several are killed, while steps are open. No weights are loaded while
//! the lease has no live holder. If every host polled the lease, the store calls would grow with the number of hosts.
//! Few hosts are therefore candidates. The last holder is one as well, because after a restart it may take the lease at
//! once, while all others have to wait for the end of its term.

use jm_route::owner_by_key;
use jm_types::MemberId;

/// Number of hosts that try to acquire the lease, in addition to its last holder.
const CANDIDATE_COUNT: usize = 2;

/// What a host does about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// Acquires or renews the lease.
    Candidate,
    /// Only looks up the holder.
    Observer,
}

/// The role of the host `own`. `last_holder` is the last known holder of the lease.
pub fn lease_role(key: &str, own: &MemberId, live: &[MemberId], last_holder: Option<&MemberId>) -> LeaseRole {
    match last_holder == Some(own) || lease_candidates(key, live).contains(own) {
        true => LeaseRole::Candidate,
        false => LeaseRole::Observer,
    }
}

/// The hosts that try to acquire the lease, chosen by rendezvous hashing.
pub(crate) fn lease_candidates(key: &str, live: &[MemberId]) -> Vec<MemberId> {
    let mut live = live.to_vec();
    let mut candidates = Vec::new();
    while candidates.len() < CANDIDATE_COUNT {
        let Some(first) = owner_by_key(key, &live).cloned() else {
            break;
        };
        live.retain(|member| *member != first);
        candidates.push(first);
    }
    candidates
}
