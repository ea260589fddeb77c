//! Selection of the host that gets a batch from a host that stops.
//!
//! Load pattern: all hosts are stopped and started in turn, a few seconds apart. A next owner that is selected by
//! rendezvous alone is often the host that stops next, so that a batch is handed over several times within one step. Hosts
//! that have just been restarted are not stopped again soon.

use jm_route::owner_by_key;
use jm_types::{DurationMs, Incarnation, MemberId};

/// Maximum age of a host that counts as restarted by the rolling restart in progress.
const RECENT_START_MS: DurationMs = DurationMs::new(60_000);

/// Age below which a host may not know the configuration and the engines yet.
const SETTLE_MS: DurationMs = DurationMs::new(1_000);

/// Minimum number of recently started hosts that indicate a rolling restart. A single one may have crashed.
const MIN_RECENT_STARTS: usize = 2;

/// A live host that is not stopping.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the host.
    pub member: MemberId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Time since its start.
    pub age_ms: DurationMs,
    /// Number of running batches of other models that it owns. Batches of the same model do not count, because one host
    /// runs all batches of a model.
    pub other_batches: usize,
}

/// Selects the next owner of a batch. `key` is the batch's owner key, and `own_age_ms` is the time since the start of the
/// host that stops, which is part of the fleet. `None` if there is no candidate.
pub fn next_owner<'a>(
    key: &str,
    candidates: &'a [Candidate],
    own_age_ms: DurationMs,
) -> Option<&'a Candidate> {
    let is_settled = |candidate: &&Candidate| candidate.age_ms >= SETTLE_MS;
    let mut eligible: Vec<&Candidate> = candidates.iter().filter(is_settled).collect();
    if eligible.is_empty() {
        eligible = candidates.iter().collect();
    }
    if is_rolling_restart(candidates, own_age_ms) {
        let is_recent = |candidate: &&Candidate| candidate.age_ms <= RECENT_START_MS;
        let recent: Vec<&Candidate> = eligible.iter().copied().filter(is_recent).collect();
        let fewest = recent.iter().map(|candidate| candidate.other_batches).min();
        if let Some(fewest) = fewest {
            eligible = recent;
            eligible.retain(|candidate| candidate.other_batches == fewest);
        }
    }
    let members: Vec<MemberId> = eligible
        .iter()
        .map(|candidate| candidate.member.clone())
        .collect();
    let next = owner_by_key(key, &members)?;
    eligible.into_iter().find(|candidate| candidate.member == *next)
}

/// Whether some hosts, but not the whole fleet, started recently.
fn is_rolling_restart(candidates: &[Candidate], own_age_ms: DurationMs) -> bool {
    let ages = candidates.iter().map(|candidate| candidate.age_ms);
    let recent = ages.chain([own_age_ms]).filter(|age| *age <= RECENT_START_MS);
    let recent = recent.count();
    (MIN_RECENT_STARTS..=candidates.len()).contains(&recent)
}
