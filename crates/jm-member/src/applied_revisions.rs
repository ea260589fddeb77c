//! Which members have applied which configuration revision.
//!
//! Applied revisions only grow, also across restarts, so statements about them do not age and can take any way.

use std::collections::HashMap;

use jm_types::{MemberId, Revision, ZoneId};

use crate::MemberView;

/// Statements kept about one zone.
const MAX_ZONE_STATEMENTS: usize = 4;

/// `count` members have applied at least `min_revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Applied {
    pub(crate) count: usize,
    pub(crate) min_revision: Revision,
}

/// Collects applied revisions and decides which revision is in force.
#[derive(Debug, Clone, Default)]
pub struct AppliedRevisions {
    members: HashMap<MemberId, Revision>,
    zones: HashMap<ZoneId, Vec<Applied>>,
}

impl AppliedRevisions {
    /// A member has applied a revision.
    pub fn applied(&mut self, member: &MemberId, revision: Revision) {
        match self.members.get_mut(member) {
            Some(known) => *known = revision.max(*known),
            None => {
                self.members.insert(member.clone(), revision);
            }
        }
    }

    /// `count` members of a zone have applied at least `min_revision`.
    pub fn zone_applied(&mut self, zone: &ZoneId, count: usize, min_revision: Revision) {
        let statements = self.zones.entry(zone.clone()).or_default();
        let covers = |a: &Applied, b: &Applied| a.count >= b.count && a.min_revision >= b.min_revision;
        let new = Applied { count, min_revision };
        if statements.iter().any(|known| covers(known, &new)) {
            return;
        }
        statements.retain(|known| !covers(&new, known));
        statements.push(new);
        if statements.len() > MAX_ZONE_STATEMENTS {
            statements.sort_by_key(|statement| statement.min_revision);
            statements.remove(0);
        }
    }

    /// The revision that a member is known to have applied.
    pub fn applied_by(&self, member: &MemberId) -> Option<Revision> {
        self.members.get(member).copied()
    }

    /// Number of registered members that are known to have applied `revision`.
    pub fn count(&self, revision: Revision, members: &MemberView) -> usize {
        let of_zone = |(zone, ids): (&ZoneId, &[MemberId])| {
            let has_applied = |id: &&MemberId| self.applied_by(id) >= Some(revision);
            let single = ids.iter().filter(has_applied).count();
            let statements = self.zones.get(zone).into_iter().flatten();
            let reached = statements.filter(|statement| statement.min_revision >= revision);
            let total = reached.map(|statement| statement.count).max().unwrap_or(0);
            single.max(total).min(ids.len())
        };
        members.zones().map(of_zone).sum()
    }

    /// Whether a majority of the registered members has applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision, members: &MemberView) -> bool {
        self.count(revision, members) >= members.majority()
    }

    /// The statement about a zone with the newest revision that `wanted` members have reached.
    pub(crate) fn zone_statement(&self, zone: &ZoneId, ids: &[MemberId], wanted: usize) -> Option<Applied> {
        let mut revisions: Vec<_> = ids.iter().filter_map(|id| self.applied_by(id)).collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        let count = wanted.min(revisions.len());
        let single = count.checked_sub(1).map(|last| Applied {
            count,
            min_revision: revisions[last],
        });
        let passed_on = self.zones.get(zone).into_iter().flatten().copied();
        passed_on
            .chain(single)
            .max_by_key(|statement| (statement.count.min(wanted), statement.min_revision))
    }

    pub(crate) fn retain(&mut self, members: &MemberView) {
        self.members.retain(|id, _| members.get(id).is_some());
        self.zones.retain(|zone, _| members.zone_members(zone).is_some());
    }
}
