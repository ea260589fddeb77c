//! The registered daemons: which of them respond, and whether a majority has confirmed a revision.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use jm_config::Role;
use jm_route::Member;
use jm_types::{DurationMs, Incarnation, MemberId, RegionId, Revision, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// Time for which a response of the store or of a majority proves that the configuration is current; see section 4.2 of
/// `docs/design.md`.
pub const FRESHNESS_MS: DurationMs = DurationMs::new(3_000);

/// Time without contact after which a daemon is presumed failed.
const FAILURE_MS: DurationMs = DurationMs::new(4_000);

/// The registration that a daemon writes to the store at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member id of the daemon.
    pub id: MemberId,
    /// The run of the daemon that wrote the registration.
    pub incarnation: Incarnation,
    /// Names of the roles of the daemon.
    pub roles: Vec<String>,
    /// The availability zone of the daemon.
    pub zone: ZoneId,
    /// The region of the daemon.
    pub region: RegionId,
    /// The address for links from other daemons; `None` for a process that has only the role entry.
    pub link_address: Option<String>,
    /// The address for callers; `None` for a process without the role entry.
    pub entry_address: Option<String>,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether the daemon has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.iter().any(|name| *name == role.to_string())
    }
}

/// A registered daemon and its last observed state.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The registration of the daemon.
    pub record: MemberRecord,
    /// Whether the daemon was in contact, or first listed, within the failure timeout. Always `true` for this daemon.
    pub live: bool,
    /// The newest revision that the daemon reported to have in force.
    pub revision: Revision,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    last_contact: Option<Timestamp>,
    /// Send time of the newest request that the daemon answered.
    last_confirmed: Option<Timestamp>,
    first_listed: Timestamp,
    revision: Revision,
}

/// The registered daemons, including this daemon.
#[derive(Debug)]
pub struct Peers {
    own: MemberId,
    entries: Mutex<IndexMap<MemberId, Entry>>,
    /// When the newest list of registered daemons was requested; `None` before the first list.
    listed: Mutex<Option<Timestamp>>,
}

impl Peers {
    /// Creates a list that contains only this daemon.
    pub fn new(own: MemberRecord, now: Timestamp) -> Self {
        let id = own.id.clone();
        let entry = Entry {
            record: own,
            last_contact: None,
            last_confirmed: None,
            first_listed: now,
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

    /// The member id of this daemon.
    pub fn own_id(&self) -> &MemberId {
        &self.own
    }

    /// The registration of this daemon.
    pub fn own_record(&self) -> MemberRecord {
        self.lock()[&self.own].record.clone()
    }

    /// Marks this daemon as about to stop. Returns the updated registration.
    pub fn set_leaving(&self) -> MemberRecord {
        let mut entries = self.lock();
        let own = &mut entries[&self.own];
        own.record.leaving = true;
        own.record.clone()
    }

    /// Replaces the list of registered daemons with a list from the store, which was requested at `requested`. This
    /// daemon remains in the list even if `records` does not contain it.
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

    /// Whether the current list of registered daemons was requested at or after `at`.
    pub fn listed_since(&self, at: Timestamp) -> bool {
        self.listed().is_some_and(|requested| requested >= at)
    }

    /// Records that a daemon answered a request that was sent at `requested`. Only an answer proves freshness. An
    /// unsolicited message may have waited in a socket buffer while this process was suspended.
    pub fn record_answer(
        &self,
        id: &MemberId,
        revision: Revision,
        leaving: bool,
        requested: Timestamp,
        now: Timestamp,
    ) {
        self.record_contact(id, revision, leaving, now);
        if let Some(entry) = self.lock().get_mut(id) {
            entry.last_confirmed = entry.last_confirmed.max(Some(requested));
        }
    }

    /// Records contact with a daemon and the state that the daemon reported.
    pub fn record_contact(&self, id: &MemberId, revision: Revision, leaving: bool, now: Timestamp) {
        if let Some(entry) = self.lock().get_mut(id) {
            entry.last_contact = entry.last_contact.max(Some(now));
            entry.revision = entry.revision.max(revision);
            entry.record.leaving |= leaving;
        }
    }

    /// Records the revision that this daemon has in force.
    pub fn set_own_revision(&self, revision: Revision) {
        let mut entries = self.lock();
        let own = &mut entries[&self.own];
        own.revision = own.revision.max(revision);
    }

    /// All registered daemons, including this daemon.
    pub fn all(&self, now: Timestamp) -> Vec<Peer> {
        let entries = self.lock();
        entries.values().map(|entry| self.peer(entry, now)).collect()
    }

    /// Finds a daemon by its id; `None` when the daemon is not registered.
    pub fn get(&self, id: &MemberId, now: Timestamp) -> Option<Peer> {
        self.lock().get(id).map(|entry| self.peer(entry, now))
    }

    fn peer(&self, entry: &Entry, now: Timestamp) -> Peer {
        let last = entry.last_contact.unwrap_or(entry.first_listed);
        let live = entry.record.id == self.own || now.since(last) <= FAILURE_MS;
        Peer {
            record: entry.record.clone(),
            live,
            revision: entry.revision,
        }
    }

    /// The dispatch daemons, for ownership decisions. A leaving daemon counts as live only if all live
    /// daemons are leaving.
    pub fn dispatchers(&self, now: Timestamp) -> Vec<Member> {
        let peers: Vec<Peer> = self
            .all(now)
            .into_iter()
            .filter(|peer| peer.record.has_role(Role::Dispatch))
            .collect();
        let any_not_leaving = peers.iter().any(|peer| peer.live && !peer.record.leaving);
        peers
            .into_iter()
            .map(|peer| Member {
                live: peer.live && (!any_not_leaving || !peer.record.leaving),
                id: peer.record.id,
                zone: peer.record.zone,
            })
            .collect()
    }

    /// Whether a majority of the registered daemons, including this daemon, answered within [`FRESHNESS_MS`] and had no
    /// revision newer than `revision` in force. A newer revision proves that the configuration of this daemon is
    /// outdated.
    pub fn majority_confirms(&self, revision: Revision, now: Timestamp) -> bool {
        self.is_majority(|entry| {
            let is_recent = |requested| now.since(requested) <= FRESHNESS_MS;
            entry.last_confirmed.is_some_and(is_recent) && entry.revision <= revision
        })
    }

    /// Whether a majority of the registered daemons has `revision` or a newer revision in force.
    pub fn majority_applied(&self, revision: Revision) -> bool {
        self.is_majority(|entry| entry.revision >= revision)
    }

    fn is_majority(&self, holds: impl Fn(&Entry) -> bool) -> bool {
        // Before the first list this daemon is the only entry. It must not count as a majority, because the
        // number of registered daemons is unknown.
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
                last_contact: None,
                last_confirmed: None,
                first_listed: now,
                revision: Revision::default(),
                record,
            };
            entries.insert(entry.record.id.clone(), entry);
        }
    }
}
