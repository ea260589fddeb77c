//! Builds and applies the contact reports in answers to pings.

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use crate::{
    AppliedRevisions, ContactReport, FRESHNESS_BOUND, Freshness, MemberRow, MemberState, MemberView, ZoneRow,
    contact_report::{MAX_MEMBER_ROWS, MAX_ZONE_ROWS, ZoneApplied, ZoneContact},
    freshness::Contact,
};

/// Maximum age of a zone total that is relayed. An older one would reach the freshness bound shortly after its
/// arrival.
const MAX_RELAYED_AGE_MS: u64 = 2_600;

/// Fraction of a zone's live members that a total covers. A total of all members would be as old as the oldest
/// contact.
const ZONE_TOTAL_FRACTION: (usize, usize) = (3, 4);

/// Contacts and revisions of this daemon from which reports are built.
pub(crate) struct ReportBuilder<'a> {
    pub(crate) view: &'a MemberView,
    pub(crate) freshness: &'a Freshness,
    pub(crate) applied_revisions: &'a AppliedRevisions,
    pub(crate) base: Revision,
    pub(crate) now: Timestamp,
}

impl ReportBuilder<'_> {
    /// Builds a report for a member that has applied `revision_limit`. Contacts with a newer revision are omitted,
    /// because the receiver cannot use them. `zone` is the common zone of both members, whose member rows are
    /// included, or `None` if their zones differ.
    pub(crate) fn build(
        &self,
        revision_limit: Revision,
        zone: Option<&ZoneId>,
        report_number: usize,
    ) -> ContactReport {
        let (rows, max_revision) = match zone {
            Some(zone) => self.member_rows(zone, revision_limit, report_number),
            None => (Vec::new(), self.base),
        };
        let zones = self.view.short_zones();
        let zones = zones.map(|(short_id, zone, ids)| self.zone_row(short_id, zone, ids, revision_limit));
        let zones = zones.filter(|row| row.contact.is_some() || row.applied.is_some());
        let zones: Vec<_> = zones.take(MAX_ZONE_ROWS).collect();
        ContactReport::new(self.base, max_revision, &rows, &zones)
    }

    fn member_rows(
        &self,
        zone: &ZoneId,
        revision_limit: Revision,
        report_number: usize,
    ) -> (Vec<MemberRow>, Revision) {
        let ids = self.view.zone_members(zone).unwrap_or_default();
        let start = (report_number * MAX_MEMBER_ROWS)
            .checked_rem(ids.len())
            .unwrap_or(0);
        let mut max_revision = Revision::default();
        let mut rows = Vec::new();
        for step in 0..ids.len().min(MAX_MEMBER_ROWS) {
            let id = &ids[(start + step) % ids.len()];
            let Some(member) = self.view.get(id) else {
                continue;
            };
            let contact = self.recent_contact(id, revision_limit);
            max_revision = contact.map_or(max_revision, |contact| max_revision.max(contact.max_revision));
            let applied = self.applied_revisions.applied_by(id);
            if contact.is_some() || applied.is_some() {
                rows.push(MemberRow {
                    member: member.short_id,
                    age_ms: contact.map(|contact| self.age_ms(&contact)),
                    applied,
                });
            }
        }
        (rows, max_revision)
    }

    fn zone_row(&self, short_id: u16, zone: &ZoneId, ids: &[MemberId], revision_limit: Revision) -> ZoneRow {
        let max_members = self.members_per_total(ids);
        let contact = self.zone_total(zone, ids, revision_limit, max_members);
        let applied = self.applied_revisions.zone_total(zone, ids, max_members);
        ZoneRow {
            zone: short_id,
            contact: contact.map(|contact| ZoneContact {
                count: contact.count,
                age_ms: self.age_ms(&contact),
                max_revision: contact.max_revision,
            }),
            applied: applied.map(|applied| ZoneApplied {
                count: applied.count,
                min_revision: applied.min_revision,
            }),
        }
    }

    fn members_per_total(&self, ids: &[MemberId]) -> usize {
        let is_live = |id: &&MemberId| {
            self.view
                .get(id)
                .is_some_and(|member| member.state != MemberState::Failed)
        };
        let live = ids.iter().filter(is_live).count();
        (live * ZONE_TOTAL_FRACTION.0).div_ceil(ZONE_TOTAL_FRACTION.1)
    }

    /// Returns the better of the relayed total and the total computed from contacts with single members.
    fn zone_total(
        &self,
        zone: &ZoneId,
        ids: &[MemberId],
        revision_limit: Revision,
        max_members: usize,
    ) -> Option<Contact> {
        let since = Timestamp::new(self.now.get().saturating_sub(MAX_RELAYED_AGE_MS));
        let relayed = self.freshness.zone_contact(zone, since, revision_limit);
        let own = self.own_total(ids, revision_limit, max_members);
        let rank = |contact: &Contact| (contact.count.min(max_members), contact.at);
        relayed.into_iter().chain(own).max_by_key(rank)
    }

    fn own_total(&self, ids: &[MemberId], revision_limit: Revision, max_members: usize) -> Option<Contact> {
        let mut contacts: Vec<_> = ids
            .iter()
            .filter_map(|id| self.recent_contact(id, revision_limit))
            .collect();
        contacts.retain(|contact| self.age_ms(contact) <= MAX_RELAYED_AGE_MS);
        contacts.sort_unstable_by_key(|contact| std::cmp::Reverse(contact.at));
        contacts.truncate(max_members);
        Some(Contact {
            max_revision: contacts.iter().map(|contact| contact.max_revision).max()?,
            at: contacts.last()?.at,
            count: contacts.len(),
        })
    }

    fn recent_contact(&self, id: &MemberId, revision_limit: Revision) -> Option<Contact> {
        self.freshness
            .member_contact(id, self.now, self.view.own(), revision_limit)
            .filter(|contact| self.age_ms(contact) < FRESHNESS_BOUND.get())
    }

    fn age_ms(&self, contact: &Contact) -> u64 {
        self.now.since(contact.at).get()
    }
}

/// Applies the report in an answer whose ping was sent at `sent_at`.
pub(crate) fn apply_report(
    report: &ContactReport,
    sent_at: Timestamp,
    view: &MemberView,
    freshness: &mut Freshness,
    applied_revisions: &mut AppliedRevisions,
) {
    let own = view.get(view.own());
    for row in report.members() {
        let id = own.and_then(|own| view.by_short_id(&own.record.zone, row.member));
        let Some(id) = id.filter(|id| *id != view.own()) else {
            continue;
        };
        if let Some(at) = row.age_ms.and_then(|age| time_before(sent_at, age)) {
            freshness.record_member_contact(id, at, report.max_revision());
        }
        if let Some(applied) = row.applied {
            applied_revisions.record_applied(id, applied);
        }
    }
    for row in report.zones() {
        apply_zone_row(&row, sent_at, view, freshness, applied_revisions);
    }
}

fn apply_zone_row(
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
        && let Some(at) = time_before(sent_at, contact.age_ms)
    {
        freshness.record_zone_contact(zone, at, contact.max_revision, contact.count);
    }
    if let Some(applied) = row.applied {
        applied_revisions.record_zone_applied(zone, applied.count, applied.min_revision);
    }
}

/// Returns the time `age_ms` before `at`. Returns `None` for a time before the start of the clock, because clamping it
/// to zero would make the contact too recent.
fn time_before(at: Timestamp, age_ms: u64) -> Option<Timestamp> {
    at.get().checked_sub(age_ms).map(Timestamp::new)
}
