//! The other daemons: who is registered, who answers, and whether a majority has confirmed a revision.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use jm_config::Role;
use jm_route::Member;
use jm_types::{DurationMs, Incarnation, MemberId, RegionId, Revision, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Time for which an answer of the store or of a majority proves that the configuration is current; see section 4.2 of
/// `docs/design.md`.
pub const FRESHNESS_MS: DurationMs = DurationMs::new(3_000);

/// Time without an answer after which a member counts as failed.
const FAILURE_MS: DurationMs = DurationMs::new(4_000);

/// What a daemon registers in the store at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon.
    pub id: MemberId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Names of its roles.
    pub roles: Vec<String>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where other daemons connect; absent for a process that only has the role entry.
    pub link_address: Option<String>,
    /// Where callers connect; absent without the role entry.
    pub entry_address: Option<String>,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether the daemon has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.iter().any(|name| *name == role.to_string())
    }
}

/// A registered daemon and what is known of its state.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its registration.
    pub record: MemberRecord,
    /// Whether it answers.
    pub live: bool,
    /// The newest revision that it said to have in force.
    pub revision: Revision,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    contact: Option<Timestamp>,
    confirmed: Option<Timestamp>,
    registered: Timestamp,
    revision: Revision,
}

/// Registered daemons, the own one included.
#[derive(Debug)]
pub struct Peers {
    own: MemberId,
    entries: Mutex<IndexMap<MemberId, Entry>>,
    /// When the newest list of the registered daemons was requested; none before the first list.
    listed: Mutex<Option<Timestamp>>,
}

impl Peers {
    /// Only the own daemon is known.
    pub fn new(own: MemberRecord, now: Timestamp) -> Self {
        let id = own.id.clone();
        let entry = Entry {
            record: own,
            contact: None,
            confirmed: None,
            registered: now,
            revision: Revision::default(),
        };
        Self {
            own: id.clone(),
            entries: Mutex::new(IndexMap::from([(id, entry)])),
            listed: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<MemberId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The own daemon's id.
    pub fn own_id(&self) -> &MemberId {
        &self.own
    }

    /// The own registration.
    pub fn own_record(&self) -> MemberRecord {
        self.lock()[&self.own].record.clone()
    }

    /// Marks the own daemon as about to stop.
    pub fn set_leaving(&self) -> MemberRecord {
        let mut entries = self.lock();
        let own = &mut entries[&self.own];
        own.record.leaving = true;
        own.record.clone()
    }

    /// Sets the registered daemons as the store lists them in the answer to a request of the time `requested`. The own
    /// daemon stays known whatever the list says.
    pub fn set_registered(&self, records: Vec<MemberRecord>, requested: Timestamp, now: Timestamp) {
        let mut entries = self.lock();
        let own = self.own.clone();
        entries.retain(|id, _| *id == own || records.iter().any(|record| record.id == *id));
        for record in records.into_iter().filter(|record| record.id != own) {
            update(&mut entries, record, now);
        }
        drop(entries);
        let mut listed = self.listed();
        *listed = listed.max(Some(requested));
    }

    fn listed(&self) -> MutexGuard<'_, Option<Timestamp>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the registered daemons are known as of a time at or after `at`.
    pub fn listed_since(&self, at: Timestamp) -> bool {
        self.listed().is_some_and(|requested| requested >= at)
    }

    /// Records that a daemon answered a question which was asked at `asked`. Only this proves freshness: a message
    /// that the other daemon sent by itself may have waited in a socket while this process was frozen.
    pub fn record_answer(
        &self,
        id: &MemberId,
        revision: Revision,
        leaving: bool,
        asked: Timestamp,
        now: Timestamp,
    ) {
        self.record_contact(id, revision, leaving, now);
        if let Some(entry) = self.lock().get_mut(id) {
            entry.confirmed = entry.confirmed.max(Some(asked));
        }
    }

    /// Records what a daemon said of itself.
    pub fn record_contact(&self, id: &MemberId, revision: Revision, leaving: bool, now: Timestamp) {
        if let Some(entry) = self.lock().get_mut(id) {
            entry.contact = entry.contact.max(Some(now));
            entry.revision = entry.revision.max(revision);
            entry.record.leaving |= leaving;
        }
    }

    /// Records the own revision.
    pub fn set_own_revision(&self, revision: Revision) {
        let mut entries = self.lock();
        let own = &mut entries[&self.own];
        own.revision = own.revision.max(revision);
    }

    /// Every registered daemon.
    pub fn all(&self, now: Timestamp) -> Vec<Peer> {
        let entries = self.lock();
        entries.values().map(|entry| self.peer(entry, now)).collect()
    }

    /// One daemon.
    pub fn get(&self, id: &MemberId, now: Timestamp) -> Option<Peer> {
        self.lock().get(id).map(|entry| self.peer(entry, now))
    }

    fn peer(&self, entry: &Entry, now: Timestamp) -> Peer {
        let last = entry.contact.unwrap_or(entry.registered);
        let live = entry.record.id == self.own || now.since(last) <= FAILURE_MS;
        Peer {
            record: entry.record.clone(),
            live,
            revision: entry.revision,
        }
    }

    /// Dispatch daemons for ownership decisions; leaving ones do not count as live unless no other is left.
    pub fn dispatchers(&self, now: Timestamp) -> Vec<Member> {
        let peers: Vec<Peer> = self
            .all(now)
            .into_iter()
            .filter(|peer| peer.record.has_role(Role::Dispatch))
            .collect();
        let staying = peers.iter().any(|peer| peer.live && !peer.record.leaving);
        peers
            .into_iter()
            .map(|peer| Member {
                live: peer.live && (!staying || !peer.record.leaving),
                id: peer.record.id,
                zone: peer.record.zone,
            })
            .collect()
    }

    /// Whether a majority of the registered daemons, the own one included, answered within the freshness time and had
    /// nothing newer than `revision` in force. A daemon that is ahead proves that the own configuration is not current.
    pub fn majority_confirms(&self, revision: Revision, now: Timestamp) -> bool {
        self.is_majority(|entry| {
            let is_recent = |asked| now.since(asked) <= FRESHNESS_MS;
            entry.confirmed.is_some_and(is_recent) && entry.revision <= revision
        })
    }

    /// Whether a majority of the registered daemons has `revision` in force.
    pub fn majority_applied(&self, revision: Revision) -> bool {
        self.is_majority(|entry| entry.revision >= revision)
    }

    fn is_majority(&self, holds: impl Fn(&Entry) -> bool) -> bool {
        // Before the first list only the own daemon is known, and it is no majority of daemons that it has not heard of.
        if self.listed().is_none() {
            return false;
        }
        let entries = self.lock();
        let count = entries
            .values()
            .filter(|entry| entry.record.id == self.own || holds(entry))
            .count();
        count * 2 > entries.len()
    }
}

fn update(entries: &mut IndexMap<MemberId, Entry>, record: MemberRecord, now: Timestamp) {
    match entries.get_mut(&record.id) {
        Some(entry) if entry.record.incarnation == record.incarnation => {
            let leaving = entry.record.leaving || record.leaving;
            entry.record = MemberRecord { leaving, ..record };
        }
        _ => {
            let entry = Entry {
                contact: None,
                confirmed: None,
                registered: now,
                revision: Revision::default(),
                record,
            };
            entries.insert(entry.record.id.clone(), entry);
        }
    }
}
