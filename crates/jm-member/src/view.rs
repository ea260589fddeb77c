//! What a daemon knows about the members.

use indexmap::IndexMap;
use jm_types::{MemberId, Timestamp, ZoneId};

use crate::{Epoch, MemberRecord, MemberRole, MemberState, Update};

/// One registered member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewedMember {
    /// Its registration; the address is that of the newest run that was heard.
    pub record: MemberRecord,
    /// Its state.
    pub state: MemberState,
    /// The epoch that the state is about.
    pub epoch: Epoch,
    /// When the state was learned.
    pub since: Timestamp,
}

impl ViewedMember {
    fn new(record: MemberRecord, now: Timestamp) -> Self {
        let epoch = Epoch::first(record.incarnation);
        Self {
            record,
            state: MemberState::Alive,
            epoch,
            since: now,
        }
    }

    /// The statement that describes the member.
    pub(crate) fn update(&self) -> Update {
        let is_first = self.epoch.statement == 0 && self.state == MemberState::Alive;
        Update {
            member: self.record.id.clone(),
            epoch: self.epoch,
            state: self.state,
            record: is_first.then(|| self.record.clone()),
        }
    }
}

/// The registered members with their states.
#[derive(Debug, Clone)]
pub struct MemberView {
    own: MemberId,
    members: IndexMap<MemberId, ViewedMember>,
    zones: IndexMap<ZoneId, Vec<MemberId>>,
    version: u64,
}

impl MemberView {
    /// A view that knows no member yet.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            members: IndexMap::new(),
            zones: IndexMap::new(),
            version: 0,
        }
    }

    /// The daemon that has this view.
    pub fn own(&self) -> &MemberId {
        &self.own
    }

    /// Raised with every change of a member.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of registered members, also of failed ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is registered.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Smallest number of members that is a majority of the registered ones.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// One member.
    pub fn get(&self, member: &MemberId) -> Option<&ViewedMember> {
        self.members.get(member)
    }

    /// All registered members.
    pub fn iter(&self) -> impl Iterator<Item = &ViewedMember> {
        self.members.values()
    }

    /// Live members of a role that are not leaving, in all zones.
    pub fn live(&self, role: MemberRole) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .filter(move |member| {
                member.record.role == role
                    && matches!(member.state, MemberState::Alive | MemberState::Suspected)
            })
            .map(|member| &member.record)
    }

    /// Live members of a role in a zone that are not leaving.
    pub fn live_in_zone(&self, role: MemberRole, zone: &ZoneId) -> impl Iterator<Item = &MemberRecord> {
        self.live(role).filter(move |record| &record.zone == zone)
    }

    /// Members that are about to stop.
    pub fn leaving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| &member.record)
    }

    /// The zones with their registered members.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &[MemberId])> {
        self.zones.iter().map(|(zone, ids)| (zone, ids.as_slice()))
    }

    /// The registered members of a zone.
    pub fn zone_members(&self, zone: &ZoneId) -> Option<&[MemberId]> {
        self.zones.get(zone).map(Vec::as_slice)
    }

    /// Adds a member or a newer run of it; returns whether anything changed.
    pub fn register(&mut self, record: MemberRecord, now: Timestamp) -> bool {
        let known = self.members.get(&record.id);
        if known.is_some_and(|known| known.epoch.incarnation >= record.incarnation) {
            return false;
        }
        self.remove(&record.id);
        let (id, zone) = (record.id.clone(), record.zone.clone());
        self.zones.entry(zone).or_default().push(id.clone());
        self.members.insert(id, ViewedMember::new(record, now));
        self.version += 1;
        true
    }

    /// Removes a member; returns whether it was known.
    pub fn remove(&mut self, member: &MemberId) -> bool {
        let Some(removed) = self.members.swap_remove(member) else {
            return false;
        };
        let zone = &removed.record.zone;
        if let Some(ids) = self.zones.get_mut(zone) {
            ids.retain(|id| id != member);
            if ids.is_empty() {
                self.zones.swap_remove(zone);
            }
        }
        self.version += 1;
        true
    }

    /// Takes a statement that is newer than the known one; returns whether it was taken. A statement about a newer run
    /// needs its registration unless only the run changed.
    pub(crate) fn apply(&mut self, update: &Update, now: Timestamp) -> bool {
        let mut changed = match &update.record {
            Some(record) if record.id == update.member => self.renew(record, now),
            _ => false,
        };
        let Some(known) = self.members.get_mut(&update.member) else {
            return changed;
        };
        if (update.epoch, update.state) > (known.epoch, known.state) {
            known.epoch = update.epoch;
            known.state = update.state;
            known.since = now;
            self.version += 1;
            changed = true;
        }
        changed
    }

    /// Takes a newer run of a member that is registered; an unknown member waits for its registration.
    fn renew(&mut self, record: &MemberRecord, now: Timestamp) -> bool {
        self.members.contains_key(&record.id) && self.register(record.clone(), now)
    }

    /// Sets where a member receives datagrams; returns whether it was known.
    pub(crate) fn set_address(&mut self, member: &MemberId, address: std::net::SocketAddr) {
        if let Some(known) = self.members.get_mut(member)
            && known.record.address != address
        {
            known.record.address = address;
            self.version += 1;
        }
    }

    pub(crate) fn suspected(&self) -> impl Iterator<Item = MemberId> {
        self.in_state(MemberState::Suspected)
    }

    pub(crate) fn failed(&self) -> impl Iterator<Item = MemberId> {
        self.in_state(MemberState::Failed)
    }

    fn in_state(&self, state: MemberState) -> impl Iterator<Item = MemberId> {
        self.iter()
            .filter(move |member| member.state == state)
            .map(|member| member.record.id.clone())
    }

    /// Starts the time for refutation of every suspicion again.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        let members = self.members.values_mut();
        for member in members.filter(|member| member.state == MemberState::Suspected) {
            member.since = now;
        }
    }
}
