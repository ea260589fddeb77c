//! Selection of the host that takes over a batch after its owner failed, and what an earlier owner does with its copy.
//!
//! Load pattern: one or many hosts die in the middle of a step that is due within seconds. Each live host computes the
//! successor from its own membership view. When the views differ, the conditional update of the state object lets only
//! one host succeed. Two owners at the same time cost only duplicate work, because each piece of results is created
//! under its position.
//!
//! A host that was frozen or cut off receives the states of that time late, in any order, or only the newest one. What it
//! does with its copy of a batch therefore follows from the newest state alone, whatever the phase.

use jm_route::owner_by_key;
use jm_types::{DurationMs, Incarnation, MemberId};

use crate::{BatchPhase, BatchState};

/// How long a host does not reclaim a batch that another host has just taken from it. The claim proves that the other
/// host is alive, whatever the failure detector reports. Without this delay, two hosts that cannot reach each other
/// would take the batch from one another with each state change that the store delivers.
const RECLAIM_MS: DurationMs = DurationMs::new(2_500);

/// Replaces `RECLAIM_MS` on a host that presumes more than half of the hosts failed. That host is probably isolated
/// itself, and the other hosts run the batch.
const ISOLATED_RECLAIM_MS: DurationMs = DurationMs::new(10_000);

/// The membership as this host sees it.
pub trait MembershipView: Send + Sync {
    /// Whether this incarnation of a host is presumed alive.
    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool;

    /// Live hosts that are not shutting down, with their incarnations.
    fn live(&self) -> Vec<(MemberId, Incarnation)>;

    /// The live hosts among which the owners of batches are chosen. An owner handles each event of its items, so hosts with
    /// little processor time are left out where there are enough others.
    fn owner_candidates(&self) -> Vec<(MemberId, Incarnation)> {
        self.live()
    }

    /// Whether this host presumes more than half of the hosts failed, which indicates that it is isolated itself.
    fn is_isolated(&self) -> bool;
}

/// What a host has to do for a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takeover {
    /// Nothing, because another host runs it or it needs no owner.
    None,
    /// This incarnation of the host owns the batch.
    Own,
    /// The owner failed and this host is its successor.
    Claim,
}

/// Decides what the host `own` does for a batch. `displaced` is the time since another host took the batch from it;
/// `None` if that never happened.
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
    let candidates = members.owner_candidates().into_iter();
    let candidates: Vec<MemberId> = candidates.map(|(member, _)| member).collect();
    match owner_by_key(state.owner_key(), &candidates) {
        Some(next) if next == own => Takeover::Claim,
        _ => Takeover::None,
    }
}

/// What a host does with the copy of a batch that it holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyDecision {
    /// The copy is current.
    Keep,
    /// The batch is closed. Its items stop, and the copy remains for readers.
    Stop,
    /// Another host had the batch later, so results may be stored that the copy lacks.
    Release,
}

/// Decides what the host `own` does with its copy of a batch. `earlier_owners` is the number of owners that the batch had
/// before it came to this host.
pub fn copy_decision(
    state: &BatchState,
    own: &MemberId,
    incarnation: Incarnation,
    earlier_owners: u32,
) -> CopyDecision {
    let is_own = state.is_owned_by(own, incarnation);
    let is_outdated = match (is_own, state.phase) {
        // The batch has been at another host and came back.
        (true, _) => state.earlier_owners > earlier_owners,
        (false, BatchPhase::Running) => true,
        // A batch that was handed over to this host may be closed before the store names this host.
        (false, _) => state.earlier_owners >= earlier_owners,
    };
    match state.phase {
        BatchPhase::Removing => CopyDecision::Release,
        _ if is_outdated => CopyDecision::Release,
        BatchPhase::Running => CopyDecision::Keep,
        // Only an owner that has read all results marks a batch as finished.
        BatchPhase::Finished if is_own => CopyDecision::Keep,
        BatchPhase::Finished | BatchPhase::Ended => CopyDecision::Stop,
    }
}
