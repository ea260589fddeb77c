//! Who takes a batch over when its owner is gone.
//!
//! Load pattern: one or many hosts die in the middle of a step, and its due time is seconds away. Each live host
//! computes the same successor from what it knows; when their views differ, the conditional update of the state object
//! lets one of them win, and a moment with two owners only costs work because results are written under their
//! position.

use jm_route::owner_by_key;
use jm_types::{Incarnation, MemberId};

use crate::{BatchPhase, BatchState};

/// What is known about the hosts.
pub trait BatchMembers: Send + Sync {
    /// Whether this run of a host is believed to be alive.
    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool;

    /// Live hosts that are not leaving, with their runs.
    fn live(&self) -> Vec<(MemberId, Incarnation)>;
}

/// What a host does about a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takeover {
    /// Nothing: somebody else runs it, or it needs no owner.
    None,
    /// This run of this host is its owner.
    Own,
    /// Its owner is gone and this host comes next.
    Claim,
}

/// Decides what the host `own` does about a batch.
pub fn takeover(
    state: &BatchState,
    own: &MemberId,
    incarnation: Incarnation,
    members: &dyn BatchMembers,
) -> Takeover {
    if state.phase != BatchPhase::Running {
        return Takeover::None;
    }
    if state.is_owned_by(own, incarnation) {
        return Takeover::Own;
    }
    if members.is_running(&state.owner, state.owner_incarnation) {
        return Takeover::None;
    }
    let live: Vec<MemberId> = members.live().into_iter().map(|(member, _)| member).collect();
    match owner_by_key(state.owner_key(), &live) {
        Some(next) if next == own => Takeover::Claim,
        _ => Takeover::None,
    }
}
