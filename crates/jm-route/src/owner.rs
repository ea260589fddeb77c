//! Assignment of targets to the dispatch daemons that own them.

use jm_types::{MemberId, TargetId, ZoneId};

use crate::hash::{rendezvous_weight, stable_hash};

/// A dispatch daemon in the membership view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The daemon's id, which is an input of the rendezvous hash.
    pub id: MemberId,
    /// The availability zone in which the daemon runs.
    pub zone: ZoneId,
    /// Whether the daemon is presumed alive and is not leaving; only live members own targets.
    pub live: bool,
}

/// The dispatch daemon that owns a target: rendezvous hashing over the live members of the target's zone, or over
/// all live members when that zone has none. `None` when no member is live.
///
/// When a member joins or leaves, the owner changes only for the targets that this member gains or loses.
pub fn owner_of(target: &TargetId, zone: &ZoneId, members: &[Member]) -> Option<MemberId> {
    let key = stable_hash(target.as_str().as_bytes());
    members
        .iter()
        .filter(|member| member.live)
        .max_by_key(|member| {
            let weight = rendezvous_weight(stable_hash(member.id.as_str().as_bytes()), key);
            (member.zone == *zone, weight, &member.id)
        })
        .map(|member| member.id.clone())
}

/// Position of `member` among `others` in the rendezvous order of `key`; 0 is the first. `others` may contain `member`
/// itself.
pub fn rank_by_key(key: &str, member: &MemberId, others: &[MemberId]) -> usize {
    let key = stable_hash(key.as_bytes());
    let rank = |member: &MemberId| rendezvous_weight(stable_hash(member.as_str().as_bytes()), key);
    let own = (rank(member), member);
    others.iter().filter(|other| (rank(other), *other) > own).count()
}

/// The member that owns `key` by rendezvous hashing; `None` when `members` is empty.
pub fn owner_by_key<'a>(key: &str, members: &'a [MemberId]) -> Option<&'a MemberId> {
    let key = stable_hash(key.as_bytes());
    members.iter().max_by_key(|member| {
        let weight = rendezvous_weight(stable_hash(member.as_str().as_bytes()), key);
        (weight, *member)
    })
}
