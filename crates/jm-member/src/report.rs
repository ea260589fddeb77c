//! Builds and reads the evidence in answers to pings.

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use crate::{
    Evidence, FRESHNESS_BOUND, Freshness, InForce, MemberRow, MemberState, MemberView, ZoneRow,
    evidence::{MAX_MEMBER_ROWS, MAX_ZONE_ROWS, ZoneApplied, ZoneContact},
    freshness::Contact,
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
        let zones = self.view.short_zones();
        let zones = zones.map(|(short_id, zone, ids)| self.zone_row(short_id, zone, ids, usable));
        let zones = zones.filter(|row| row.contact.is_some() || row.applied.is_some());
        let zones: Vec<_> = zones.take(MAX_ZONE_ROWS).collect();
        Evidence::new(self.base, bound, &rows, &zones)
    }

    fn member_rows(&self, zone: &ZoneId, usable: Revision, turn: usize) -> (Vec<MemberRow>, Revision) {
        let ids = self.view.zone_members(zone).unwrap_or_default();
        let start = (turn * MAX_MEMBER_ROWS).checked_rem(ids.len()).unwrap_or(0);
        let mut bound = Revision::default();
        let mut rows = Vec::new();
        for step in 0..ids.len().min(MAX_MEMBER_ROWS) {
            let id = &ids[(start + step) % ids.len()];
            let Some(member) = self.view.get(id) else {
                continue;
            };
            let contact = self.recent_contact(id, usable);
            bound = contact.map_or(bound, |contact| bound.max(contact.bound));
            let applied = self.in_force.applied_by(id);
            if contact.is_some() || applied.is_some() {
                rows.push(MemberRow {
                    member: member.short_id,
                    age_ms: contact.map(|contact| self.age(&contact)),
                    applied,
                });
            }
        }
        (rows, bound)
    }

    fn zone_row(&self, short_id: u16, zone: &ZoneId, ids: &[MemberId], usable: Revision) -> ZoneRow {
        let wanted = self.wanted(ids);
        let contact = self.zone_total(zone, ids, usable, wanted);
        let applied = self.in_force.zone_statement(zone, ids, wanted);
        ZoneRow {
            zone: short_id,
            contact: contact.map(|contact| ZoneContact {
                count: contact.count,
                age_ms: self.age(&contact),
                bound: contact.bound,
            }),
            applied: applied.map(|applied| ZoneApplied {
                count: applied.count,
                floor: applied.floor,
            }),
        }
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
}

/// Takes the evidence of an answer whose ping was sent at `sent_at`.
pub(crate) fn read_evidence(
    evidence: &Evidence,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    in_force: &mut InForce,
) {
    let own = view.get(view.own());
    for row in evidence.members() {
        let id = own.and_then(|own| view.by_short_id(&own.record.zone, row.member));
        let Some(id) = id.filter(|id| *id != view.own()) else {
            continue;
        };
        if let Some(at) = row.age_ms.and_then(|age| earlier(sent_at, age)) {
            freshness.peer_answered(id, at, evidence.bound());
        }
        if let Some(applied) = row.applied {
            in_force.applied(id, applied);
        }
    }
    for row in evidence.zones() {
        read_zone(&row, sent_at, view, freshness, in_force);
    }
}

fn read_zone(
    row: &ZoneRow,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    in_force: &mut InForce,
) {
    let Some(zone) = view.zone_by_short_id(row.zone) else {
        return;
    };
    if let Some(contact) = row.contact
        && let Some(at) = earlier(sent_at, contact.age_ms)
    {
        freshness.zone_answered(zone, at, contact.bound, contact.count);
    }
    if let Some(applied) = row.applied {
        in_force.zone_applied(zone, applied.count, applied.floor);
    }
}

/// The time `age_ms` before `at`; none before the clock's start, where it would come out too young.
fn earlier(at: Timestamp, age_ms: u64) -> Option<Timestamp> {
    at.get().checked_sub(age_ms).map(Timestamp::new)
}
