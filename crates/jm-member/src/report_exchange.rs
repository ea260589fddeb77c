//! Builds and reads the evidence in answers to pings.

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use crate::{
    AppliedRevisions, ContactReport, FRESHNESS_BOUND, Freshness, MemberRow, MemberState, MemberView, ZoneRow,
    contact_report::{MAX_MEMBER_ROWS, MAX_ZONE_ROWS, ZoneApplied, ZoneContact},
    freshness::Contact,
};

/// Zone totals of a greater age are not passed on: the receiver could use them for a moment only.
const MAX_PASSED_AGE_MS: u64 = 2_600;

/// Part of a zone's live members that a total waits for, as a fraction. A total of all members would be as old as the
/// oldest contact.
const TOTAL_SHARE: (usize, usize) = (3, 4);

/// What a daemon knows about contacts and revisions.
pub(crate) struct ReportBuilder<'a> {
    pub(crate) view: &'a MemberView,
    pub(crate) freshness: &'a Freshness,
    pub(crate) applied_revisions: &'a AppliedRevisions,
    pub(crate) base: Revision,
    pub(crate) now: Timestamp,
}

impl ReportBuilder<'_> {
    /// ContactReport for a member at revision `usable`; contacts that showed a newer revision are of no use to it. Member
    /// rows are added if `zone` is that of both.
    pub(crate) fn report(&self, usable: Revision, zone: Option<&ZoneId>, turn: usize) -> ContactReport {
        let (rows, max_revision) = match zone {
            Some(zone) => self.member_rows(zone, usable, turn),
            None => (Vec::new(), self.base),
        };
        let zones = self.view.short_zones();
        let zones = zones.map(|(short_id, zone, ids)| self.zone_row(short_id, zone, ids, usable));
        let zones = zones.filter(|row| row.contact.is_some() || row.applied.is_some());
        let zones: Vec<_> = zones.take(MAX_ZONE_ROWS).collect();
        ContactReport::new(self.base, max_revision, &rows, &zones)
    }

    fn member_rows(&self, zone: &ZoneId, usable: Revision, turn: usize) -> (Vec<MemberRow>, Revision) {
        let ids = self.view.zone_members(zone).unwrap_or_default();
        let start = (turn * MAX_MEMBER_ROWS).checked_rem(ids.len()).unwrap_or(0);
        let mut max_revision = Revision::default();
        let mut rows = Vec::new();
        for step in 0..ids.len().min(MAX_MEMBER_ROWS) {
            let id = &ids[(start + step) % ids.len()];
            let Some(member) = self.view.get(id) else {
                continue;
            };
            let contact = self.recent_contact(id, usable);
            max_revision = contact.map_or(max_revision, |contact| max_revision.max(contact.max_revision));
            let applied = self.applied_revisions.applied_by(id);
            if contact.is_some() || applied.is_some() {
                rows.push(MemberRow {
                    member: member.short_id,
                    age_ms: contact.map(|contact| self.age(&contact)),
                    applied,
                });
            }
        }
        (rows, max_revision)
    }

    fn zone_row(&self, short_id: u16, zone: &ZoneId, ids: &[MemberId], usable: Revision) -> ZoneRow {
        let wanted = self.wanted(ids);
        let contact = self.zone_total(zone, ids, usable, wanted);
        let applied = self.applied_revisions.zone_statement(zone, ids, wanted);
        ZoneRow {
            zone: short_id,
            contact: contact.map(|contact| ZoneContact {
                count: contact.count,
                age_ms: self.age(&contact),
                max_revision: contact.max_revision,
            }),
            applied: applied.map(|applied| ZoneApplied {
                count: applied.count,
                min_revision: applied.min_revision,
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
            max_revision: contacts.iter().map(|contact| contact.max_revision).max()?,
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
pub(crate) fn apply_report(
    evidence: &ContactReport,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    applied_revisions: &mut AppliedRevisions,
) {
    let own = view.get(view.own());
    for row in evidence.members() {
        let id = own.and_then(|own| view.by_short_id(&own.record.zone, row.member));
        let Some(id) = id.filter(|id| *id != view.own()) else {
            continue;
        };
        if let Some(at) = row.age_ms.and_then(|age| earlier(sent_at, age)) {
            freshness.record_member_contact(id, at, evidence.max_revision());
        }
        if let Some(applied) = row.applied {
            applied_revisions.applied(id, applied);
        }
    }
    for row in evidence.zones() {
        read_zone(&row, sent_at, view, freshness, applied_revisions);
    }
}

fn read_zone(
    row: &ZoneRow,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    applied_revisions: &mut AppliedRevisions,
) {
    let Some(zone) = view.zone_by_short_id(row.zone) else {
        return;
    };
    if let Some(contact) = row.contact
        && let Some(at) = earlier(sent_at, contact.age_ms)
    {
        freshness.record_zone_contact(zone, at, contact.max_revision, contact.count);
    }
    if let Some(applied) = row.applied {
        applied_revisions.zone_applied(zone, applied.count, applied.min_revision);
    }
}

/// The time `age_ms` before `at`; none before the clock's start, where it would come out too young.
fn earlier(at: Timestamp, age_ms: u64) -> Option<Timestamp> {
    at.get().checked_sub(age_ms).map(Timestamp::new)
}
