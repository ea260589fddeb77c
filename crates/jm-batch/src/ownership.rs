//! Who takes a batch over when its owner is gone.
//!
//! Load pattern: one or many hosts die in the middle of a step, and its due time is seconds away. Each live host
//! computes the same successor from what it knows; when their views differ, the conditional update of the state object
//! lets one of them win, and a moment with two owners only costs work because results are written under their
//! position.

use jm_route::owner_by_key;
use jm_types::{DurationMs, Incarnation, MemberId};

use crate::{BatchPhase, BatchState};

/// Time for which a host leaves a batch to the host that has just taken it from this one. The claim shows that the
/// other host is alive, whatever the failure detector says; two hosts that cannot reach each other would otherwise
/// take the batch from one another with each message of the store.
const RECLAIM_MS: DurationMs = DurationMs::new(2_500);

/// The same for a host that sees fewer than half of the others alive. It is probably the one that is cut off, and the
/// others keep the batch between them.
const ISOLATED_RECLAIM_MS: DurationMs = DurationMs::new(10_000);

/// What is known about the hosts.
pub trait MembershipView: Send + Sync {
    /// Whether this run of a host is believed to be alive.
    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool;

    /// Live hosts that are not leaving, with their runs.
    fn live(&self) -> Vec<(MemberId, Incarnation)>;

    /// Whether this host sees fewer than half of the others alive.
    fn is_isolated(&self) -> bool;
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

/// Decides what the host `own` does about a batch. `displaced` is the time since another host took it from this one.
pub fn takeover(
    state: &BatchState,
    own: &MemberId,
    incarnation: Incarnation,
    members: &dyn MembershipView,
    displaced: Option<DurationMs>,
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
    let reclaim_ms = match members.is_isolated() {
        true => ISOLATED_RECLAIM_MS,
        false => RECLAIM_MS,
    };
    if displaced.is_some_and(|displaced| displaced < reclaim_ms) {
        return Takeover::None;
    }
    let live: Vec<MemberId> = members.live().into_iter().map(|(member, _)| member).collect();
    match owner_by_key(state.owner_key(), &live) {
        Some(next) if next == own => Takeover::Claim,
        _ => Takeover::None,
    }
}
