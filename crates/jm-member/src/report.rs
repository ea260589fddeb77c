//! Builds and reads the evidence in answers to pings.

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use crate::{
    Evidence, FRESHNESS_BOUND, Freshness, InForce, MemberRow, MemberState, MemberView, ZoneRow,
    evidence::{MAX_MEMBER_ROWS, MAX_ZONE_ROWS, ZoneApplied, ZoneContact},
    freshness::Contact,
    in_force::Applied,
    record::short_id,
};

/// Zone totals of a greater age are not passed on: the receiver could use them for a moment only.
const MAX_PASSED_AGE_MS: u64 = 2_600;

/// Part of a zone's live members that a total waits for, as a fraction. A total of all members would be as old as the
/// oldest contact.
const TOTAL_SHARE: (usize, usize) = (3, 4);

/// What a daemon knows about contacts and revisions.
pub(crate) struct Knowledge<'a> {
    pub(crate) view: &'a MemberView,
    pub(crate) freshness: &'a Freshness,
    pub(crate) in_force: &'a InForce,
    pub(crate) base: Revision,
    pub(crate) now: Timestamp,
}

impl Knowledge<'_> {
    /// Evidence for a member at revision `usable`; contacts that showed a newer revision are of no use to it. Member
    /// rows are added if `zone` is that of both.
    pub(crate) fn report(&self, usable: Revision, zone: Option<&ZoneId>, turn: usize) -> Evidence {
        let (rows, bound) = match zone {
            Some(zone) => self.member_rows(zone, usable, turn),
            None => (Vec::new(), self.base),
        };
        let zones = self
            .view
            .zones()
            .map(|(zone, ids)| self.zone_row(zone, ids, usable));
        let zones = zones.filter(|row| row.1.is_some() || row.2.is_some());
        Evidence::new(self.base, bound, &rows, zones.take(MAX_ZONE_ROWS).collect())
    }

    fn member_rows(&self, zone: &ZoneId, usable: Revision, turn: usize) -> (Vec<MemberRow>, Revision) {
        let ids = self.view.zone_members(zone).unwrap_or_default();
        let start = (turn * MAX_MEMBER_ROWS).checked_rem(ids.len()).unwrap_or(0);
        let mut bound = Revision::default();
        let mut rows = Vec::new();
        for step in 0..ids.len().min(MAX_MEMBER_ROWS) {
            let id = &ids[(start + step) % ids.len()];
            let contact = self.recent_contact(id, usable);
            bound = contact.map_or(bound, |contact| bound.max(contact.bound));
            let applied = self.in_force.applied_by(id);
            if contact.is_some() || applied.is_some() {
                rows.push(MemberRow {
                    member: short_id(id.as_str()),
                    age_ms: contact.map(|contact| self.age(&contact)),
                    applied_behind: applied.map(|applied| self.behind(applied)),
                });
            }
        }
        (rows, bound)
    }

    fn zone_row(&self, zone: &ZoneId, ids: &[MemberId], usable: Revision) -> ZoneRow {
        let wanted = self.wanted(ids);
        let contact = self.zone_total(zone, ids, usable, wanted);
        let applied = self.in_force.zone_statement(zone, ids, wanted);
        ZoneRow(
            short_id(zone.as_str()),
            contact.map(|contact| self.zone_contact(&contact)),
            applied.map(|applied| self.zone_applied(applied)),
        )
    }

    fn zone_contact(&self, contact: &Contact) -> ZoneContact {
        ZoneContact(
            u16::try_from(contact.count).unwrap_or(u16::MAX),
            u16::try_from(self.age(contact)).unwrap_or(u16::MAX),
            self.behind(contact.bound),
        )
    }

    fn zone_applied(&self, applied: Applied) -> ZoneApplied {
        let count = u16::try_from(applied.count).unwrap_or(u16::MAX);
        ZoneApplied(count, self.behind(applied.floor))
    }

    fn wanted(&self, ids: &[MemberId]) -> usize {
        let is_live = |id: &&MemberId| {
            self.view
                .get(id)
                .is_some_and(|member| member.state != MemberState::Failed)
        };
        let live = ids.iter().filter(is_live).count();
        (live * TOTAL_SHARE.0).div_ceil(TOTAL_SHARE.1)
    }

    /// The better of the total that was passed on and the total of the known single contacts.
    fn zone_total(
        &self,
        zone: &ZoneId,
        ids: &[MemberId],
        usable: Revision,
        wanted: usize,
    ) -> Option<Contact> {
        let since = Timestamp::new(self.now.get().saturating_sub(MAX_PASSED_AGE_MS));
        let passed_on = self.freshness.zone_contact(zone, since, usable);
        let counted = self.counted_total(ids, usable, wanted);
        let rank = |contact: &Contact| (contact.count.min(wanted), contact.at);
        passed_on.into_iter().chain(counted).max_by_key(rank)
    }

    fn counted_total(&self, ids: &[MemberId], usable: Revision, wanted: usize) -> Option<Contact> {
        let mut contacts: Vec<_> = ids
            .iter()
            .filter_map(|id| self.recent_contact(id, usable))
            .collect();
        contacts.retain(|contact| self.age(contact) <= MAX_PASSED_AGE_MS);
        contacts.sort_unstable_by_key(|contact| std::cmp::Reverse(contact.at));
        contacts.truncate(wanted);
        Some(Contact {
            bound: contacts.iter().map(|contact| contact.bound).max()?,
            at: contacts.last()?.at,
            count: contacts.len(),
        })
    }

    fn recent_contact(&self, id: &MemberId, usable: Revision) -> Option<Contact> {
        self.freshness
            .member_contact(id, self.now, self.view.own(), usable)
            .filter(|contact| self.age(contact) < FRESHNESS_BOUND.get())
    }

    fn age(&self, contact: &Contact) -> u64 {
        self.now.since(contact.at).get()
    }

    fn behind(&self, revision: Revision) -> u64 {
        self.base.saturating_sub(revision).get()
    }
}

/// Takes the evidence of an answer whose ping was sent at `sent_at`.
pub(crate) fn read_evidence(
    evidence: &Evidence,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    in_force: &mut InForce,
) {
    let own_zone = view.get(view.own()).map(|own| &own.record.zone);
    let neighbours = own_zone
        .and_then(|zone| view.zone_members(zone))
        .unwrap_or_default();
    for row in evidence.rows() {
        let mut ids = neighbours.iter().filter(|id| *id != view.own());
        let Some(id) = ids.find(|id| short_id(id.as_str()) == row.member) else {
            continue;
        };
        if let Some(at) = row.age_ms.and_then(|age| earlier(sent_at, age)) {
            freshness.peer_answered(id, at, evidence.bound());
        }
        if let Some(behind) = row.applied_behind {
            in_force.applied(id, evidence.before_base(behind));
        }
    }
    for row in &evidence.zones {
        read_zone(evidence, row, sent_at, view, freshness, in_force);
    }
}

fn read_zone(
    evidence: &Evidence,
    row: &ZoneRow,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    in_force: &mut InForce,
) {
    let mut zones = view.zones().map(|(zone, _)| zone);
    let Some(zone) = zones.find(|zone| short_id(zone.as_str()) == row.0) else {
        return;
    };
    if let Some(ZoneContact(count, age, behind)) = row.1
        && let Some(at) = earlier(sent_at, u64::from(age))
    {
        freshness.zone_answered(zone, at, evidence.before_base(behind), usize::from(count));
    }
    if let Some(ZoneApplied(count, behind)) = row.2 {
        in_force.zone_applied(zone, usize::from(count), evidence.before_base(behind));
    }
}

/// The time `age_ms` before `at`; none before the clock's start, where it would come out too young.
fn earlier(at: Timestamp, age_ms: u64) -> Option<Timestamp> {
    at.get().checked_sub(age_ms).map(Timestamp::new)
}
