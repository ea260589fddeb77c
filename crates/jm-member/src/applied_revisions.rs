//! Tracks which members have applied which configuration revision.
//!
//! Applied revisions never decrease, not even across restarts. Reports about them therefore do not expire and may be
//! relayed by any member.

use std::collections::HashMap;

use jm_types::{MemberId, Revision, ZoneId};

use crate::MemberView;

/// Maximum number of totals kept for each zone.
const MAX_ZONE_TOTALS: usize = 4;

/// States that `count` members of a zone have applied at least `min_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AppliedTotal {
    pub(crate) count: usize,
    pub(crate) min_revision: Revision,
}

/// Collects applied revisions and determines whether a majority has applied a revision.
#[derive(Debug, Clone, Default)]
pub struct AppliedRevisions {
    members: HashMap<MemberId, Revision>,
    zones: HashMap<ZoneId, Vec<AppliedTotal>>,
}

impl AppliedRevisions {
    /// Records that a member has applied a revision. An older revision than the recorded one is ignored.
    pub fn record_applied(&mut self, member: &MemberId, revision: Revision) {
        match self.members.get_mut(member) {
            Some(known) => *known = revision.max(*known),
            None => {
                self.members.insert(member.clone(), revision);
            }
        }
    }

    /// Records that `count` members of a zone have applied at least `min_revision`.
    pub fn record_zone_applied(&mut self, zone: &ZoneId, count: usize, min_revision: Revision) {
        let totals = self.zones.entry(zone.clone()).or_default();
        let covers =
            |a: &AppliedTotal, b: &AppliedTotal| a.count >= b.count && a.min_revision >= b.min_revision;
        let new = AppliedTotal { count, min_revision };
        if totals.iter().any(|known| covers(known, &new)) {
            return;
        }
        totals.retain(|known| !covers(&new, known));
        totals.push(new);
        if totals.len() > MAX_ZONE_TOTALS {
            totals.sort_by_key(|total| total.min_revision);
            totals.remove(0);
        }
    }

    /// Returns the newest revision that a member reported as applied, or `None` without a report.
    pub fn applied_by(&self, member: &MemberId) -> Option<Revision> {
        self.members.get(member).copied()
    }

    /// Number of registered members that are known to have applied `revision` or a newer one.
    pub fn count(&self, revision: Revision, members: &MemberView) -> usize {
        let of_zone = |(zone, ids): (&ZoneId, &[MemberId])| {
            let has_applied = |id: &&MemberId| self.applied_by(id) >= Some(revision);
            let single = ids.iter().filter(has_applied).count();
            let totals = self.zones.get(zone).into_iter().flatten();
            let reached = totals.filter(|total| total.min_revision >= revision);
            let total = reached.map(|total| total.count).max().unwrap_or(0);
            single.max(total).min(ids.len())
        };
        members.zones().map(of_zone).sum()
    }

    /// Returns whether a majority of the registered members is known to have applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision, members: &MemberView) -> bool {
        self.count(revision, members) >= members.majority()
    }

    /// Returns the zone total that covers the most members, up to `max_members`, and among those the one with the
    /// newest revision.
    pub(crate) fn zone_total(
        &self,
        zone: &ZoneId,
        ids: &[MemberId],
        max_members: usize,
    ) -> Option<AppliedTotal> {
        let mut revisions: Vec<_> = ids.iter().filter_map(|id| self.applied_by(id)).collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        let count = max_members.min(revisions.len());
        let single = count.checked_sub(1).map(|last| AppliedTotal {
            count,
            min_revision: revisions[last],
        });
        let relayed = self.zones.get(zone).into_iter().flatten().copied();
        relayed
            .chain(single)
            .max_by_key(|total| (total.count.min(max_members), total.min_revision))
    }

    pub(crate) fn retain(&mut self, members: &MemberView) {
        self.members.retain(|id, _| members.get(id).is_some());
        self.zones.retain(|zone, _| members.zone_members(zone).is_some());
    }
}
