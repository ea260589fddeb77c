//! Ownership of targets by dispatch daemons.

use jm_types::{MemberId, TargetId, ZoneId};

use crate::hash::{rendezvous_weight, stable_hash};

/// A dispatch daemon as the member view shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The daemon.
    pub id: MemberId,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// Whether it is believed to be alive and not leaving.
    pub live: bool,
}

/// The dispatch daemon that owns a target, by rendezvous hash over the live members of the target's zone, or over
/// all live members when that zone has none. `None` when no member is live.
///
/// When a member joins or leaves, only the targets that it gains or loses change owner.
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

/// The member that owns `key`, by rendezvous hash; `None` when there is no member.
pub fn owner_by_key<'a>(key: &str, members: &'a [MemberId]) -> Option<&'a MemberId> {
    let key = stable_hash(key.as_bytes());
    members.iter().max_by_key(|member| {
        let weight = rendezvous_weight(stable_hash(member.as_str().as_bytes()), key);
        (weight, *member)
    })
}
