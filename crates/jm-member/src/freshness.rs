//! Determines whether the configuration of this daemon is known to be current; see section 4.2 of `docs/design.md`.
//!
//! A contact records that a member had no revision above R at time T or later, where T is on the clock of this daemon.
//! A daemon that has applied R is fresh when it has such contacts with a majority of the members, none older than the
//! freshness bound. It has then applied every change that a majority had applied one bound ago, because any two
//! majorities share a member. `docs/membership.md` gives the full argument.

use std::collections::{BTreeSet, HashMap};

use jm_types::{DurationMs, MemberId, Revision, Timestamp, ZoneId};

use crate::MemberView;

/// Maximum age of a contact that counts as evidence.
pub const FRESHNESS_BOUND: DurationMs = DurationMs::new(3_000);

/// Maximum number of contacts kept for each member, each zone and the store. With more revisions than this within the
/// freshness bound, a daemon may lose freshness without need but is never wrongly fresh.
const MAX_CONTACTS: usize = 8;

/// A contact with `count` members, none of which had a revision above `max_revision` at `at` or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Contact {
    pub(crate) max_revision: Revision,
    pub(crate) at: Timestamp,
    pub(crate) count: usize,
}

impl Contact {
    fn covers(&self, other: &Self) -> bool {
        self.max_revision <= other.max_revision && self.at >= other.at && self.count >= other.count
    }
}

/// Contacts that are not covered by a better one.
#[derive(Debug, Clone, Default)]
struct Contacts(Vec<Contact>);

impl Contacts {
    fn insert(&mut self, contact: Contact) {
        if self.0.iter().any(|known| known.covers(&contact)) {
            return;
        }
        self.0.retain(|known| !contact.covers(known));
        self.0.push(contact);
        if self.0.len() > MAX_CONTACTS {
            let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].at);
            oldest.map(|index| self.0.swap_remove(index));
        }
    }

    fn usable(&self, revision: Revision) -> impl Iterator<Item = &Contact> {
        self.0
            .iter()
            .filter(move |contact| contact.max_revision <= revision)
    }

    fn newest(&self, revision: Revision) -> Option<Contact> {
        self.usable(revision).max_by_key(|contact| contact.at).copied()
    }
}

/// Collects contacts and determines whether the daemon is fresh.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    applied: Revision,
    store: Contacts,
    members: HashMap<MemberId, Contacts>,
    zones: HashMap<ZoneId, Contacts>,
}

impl Freshness {
    /// Creates a tracker without contacts for a daemon that has applied `applied`.
    pub fn new(applied: Revision) -> Self {
        Self {
            applied,
            ..Self::default()
        }
    }

    /// Revision that this daemon has applied.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Records that this daemon has applied a revision. An older revision is ignored.
    pub fn set_applied(&mut self, revision: Revision) {
        self.applied = self.applied.max(revision);
    }

    /// Records an answer of the store to a request sent at `requested_at`, with `current` as the newest accepted
    /// revision.
    pub fn record_store_contact(&mut self, requested_at: Timestamp, current: Revision) {
        self.store.insert(Contact {
            max_revision: current,
            at: requested_at,
            count: 1,
        });
    }

    /// Records that a member had no revision above `revision` at `at` or later. For an answer to a request, `at` is
    /// the time at which the request was sent. For a relayed contact, the reported age is subtracted from that time.
    pub fn record_member_contact(&mut self, member: &MemberId, at: Timestamp, revision: Revision) {
        let contact = Contact {
            max_revision: revision,
            at,
            count: 1,
        };
        insert(&mut self.members, member, contact);
    }

    /// Records that `count` members of a zone had no revision above `revision` at `at` or later.
    pub fn record_zone_contact(&mut self, zone: &ZoneId, at: Timestamp, revision: Revision, count: usize) {
        let contact = Contact {
            max_revision: revision,
            at,
            count,
        };
        insert(&mut self.zones, zone, contact);
    }

    /// Returns whether the daemon is fresh at `now`.
    pub fn is_fresh(&self, now: Timestamp, members: &MemberView) -> bool {
        self.fresh_until(now, members).is_some_and(|until| now < until)
    }

    /// Returns the time at which the daemon stops being fresh without further contacts, or `None` when the contacts do
    /// not suffice. A contact time after `now` is treated as `now`.
    pub fn fresh_until(&self, now: Timestamp, members: &MemberView) -> Option<Timestamp> {
        let store = self.store.newest(self.applied).map(|contact| contact.at);
        let peers = self.majority_contacted_at(now, members);
        store.max(peers).map(|at| at.min(now).after(FRESHNESS_BOUND))
    }

    /// Returns the latest time at or after which a majority of the registered members is known to have had no revision
    /// above the applied one.
    fn majority_contacted_at(&self, now: Timestamp, members: &MemberView) -> Option<Timestamp> {
        let mut contacts = Vec::new();
        let mut times = BTreeSet::new();
        for (zone, ids) in members.zones() {
            let of_zone = self.zone_contacts(zone, ids, now, members.own());
            times.extend(of_zone.iter().flatten().map(|contact| contact.at));
            contacts.push((ids.len(), of_zone));
        }
        let majority = members.majority();
        let times: Vec<_> = times.into_iter().rev().collect();
        let reached = |at: Timestamp| count_contacted(&contacts, at) >= majority;
        let index = times.partition_point(|at| !reached(*at));
        times.get(index).copied()
    }

    /// Returns the usable contacts of a zone: first those with single members, then the zone totals.
    fn zone_contacts(
        &self,
        zone: &ZoneId,
        ids: &[MemberId],
        now: Timestamp,
        own: &MemberId,
    ) -> [Vec<Contact>; 2] {
        let singles = ids
            .iter()
            .filter_map(|id| self.member_contact(id, now, own, self.applied));
        let totals = self.zones.get(zone);
        let totals = totals
            .into_iter()
            .flat_map(|zone| zone.usable(self.applied).copied());
        [singles.collect(), totals.collect()]
    }

    /// Returns the newest contact in which a member had no revision above `revision`. A daemon is always in contact
    /// with itself.
    pub(crate) fn member_contact(
        &self,
        member: &MemberId,
        now: Timestamp,
        own: &MemberId,
        revision: Revision,
    ) -> Option<Contact> {
        if member != own {
            return self.members.get(member)?.newest(revision);
        }
        let contact = Contact {
            max_revision: self.applied,
            at: now,
            count: 1,
        };
        (self.applied <= revision).then_some(contact)
    }

    /// Returns the contact with the most members of a zone that is not older than `since`, and the newest one of
    /// those.
    pub(crate) fn zone_contact(
        &self,
        zone: &ZoneId,
        since: Timestamp,
        revision: Revision,
    ) -> Option<Contact> {
        let usable = self.zones.get(zone)?.usable(revision);
        usable
            .filter(|contact| contact.at >= since)
            .max_by_key(|contact| (contact.count, contact.at))
            .copied()
    }

    /// Removes the contacts of members and zones that are no longer registered.
    pub(crate) fn retain(&mut self, members: &MemberView) {
        self.members.retain(|id, _| members.get(id).is_some());
        self.zones.retain(|zone, _| members.zone_members(zone).is_some());
    }
}

fn insert<K: Clone + Eq + std::hash::Hash>(map: &mut HashMap<K, Contacts>, key: &K, contact: Contact) {
    match map.get_mut(key) {
        Some(contacts) => contacts.insert(contact),
        None => {
            map.insert(key.clone(), Contacts(vec![contact]));
        }
    }
}

/// Returns the number of members contacted at `at` or later. Within a zone the larger of the two counts applies,
/// because both may include the same members.
fn count_contacted(zones: &[(usize, [Vec<Contact>; 2])], at: Timestamp) -> usize {
    let of_zone = |(size, [singles, totals]): &(usize, [Vec<Contact>; 2])| {
        let single = singles.iter().filter(|contact| contact.at >= at).count();
        let recent = totals.iter().filter(|contact| contact.at >= at);
        let total = recent.map(|contact| contact.count).max().unwrap_or(0);
        single.max(total).min(*size)
    };
    zones.iter().map(of_zone).sum()
}
