//! What a daemon knows about the members.

use std::collections::HashMap;

use indexmap::IndexMap;
use jm_types::{MemberId, Timestamp, ZoneId};

use crate::{Epoch, MemberRecord, MemberRole, MemberState, Update, record::short_id};

/// One registered member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its registration; the address is that of the newest run that was heard.
    pub record: MemberRecord,
    /// Its state.
    pub state: MemberState,
    /// The epoch that the state is about.
    pub epoch: Epoch,
    /// When the state was learned.
    pub since: Timestamp,
    pub(crate) short_id: u16,
}

impl MemberStatus {
    fn new(record: MemberRecord, now: Timestamp) -> Self {
        let epoch = Epoch::first(record.incarnation);
        Self {
            short_id: short_id(record.id.as_str()),
            record,
            state: MemberState::Alive,
            epoch,
            since: now,
        }
    }

    /// The statement that describes the member.
    pub(crate) fn update(&self) -> Update {
        Update {
            member: self.record.id.clone(),
            epoch: self.epoch,
            state: self.state,
        }
    }
}

#[derive(Debug, Clone)]
struct Zone {
    short_id: u16,
    members: Vec<MemberId>,
    short_ids: HashMap<u16, MemberId>,
}

/// The registered members with their states.
#[derive(Debug, Clone)]
pub struct MemberView {
    own: MemberId,
    members: IndexMap<MemberId, MemberStatus>,
    zones: IndexMap<ZoneId, Zone>,
    short_zones: HashMap<u16, ZoneId>,
    version: u64,
}

impl MemberView {
    /// A view that knows no member yet.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            members: IndexMap::new(),
            zones: IndexMap::new(),
            short_zones: HashMap::new(),
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
    pub fn get(&self, member: &MemberId) -> Option<&MemberStatus> {
        self.members.get(member)
    }

    /// All registered members.
    pub fn iter(&self) -> impl Iterator<Item = &MemberStatus> {
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
        self.zones.iter().map(|(id, zone)| (id, zone.members.as_slice()))
    }

    /// The registered members of a zone.
    pub fn zone_members(&self, zone: &ZoneId) -> Option<&[MemberId]> {
        self.zones.get(zone).map(|zone| zone.members.as_slice())
    }

    /// Adds a member or a newer run of it; returns whether anything changed.
    pub fn register(&mut self, record: MemberRecord, now: Timestamp) -> bool {
        let known = self.members.get(&record.id);
        if known.is_some_and(|known| known.epoch.incarnation >= record.incarnation) {
            return false;
        }
        self.remove(&record.id);
        let (id, zone) = (record.id.clone(), record.zone.clone());
        let member = MemberStatus::new(record, now);
        self.add_to_zone(zone, &id, member.short_id);
        self.members.insert(id, member);
        self.version += 1;
        true
    }

    /// Removes a member; returns whether it was known.
    pub fn remove(&mut self, member: &MemberId) -> bool {
        let Some(removed) = self.members.swap_remove(member) else {
            return false;
        };
        self.remove_from_zone(&removed.record.zone, member);
        self.version += 1;
        true
    }

    fn add_to_zone(&mut self, zone: ZoneId, member: &MemberId, member_short_id: u16) {
        let short_id = short_id(zone.as_str());
        self.short_zones.entry(short_id).or_insert(zone.clone());
        let zone = self.zones.entry(zone).or_insert_with(|| Zone {
            short_id,
            members: Vec::new(),
            short_ids: HashMap::new(),
        });
        zone.members.push(member.clone());
        zone.short_ids.entry(member_short_id).or_insert(member.clone());
    }

    fn remove_from_zone(&mut self, id: &ZoneId, member: &MemberId) {
        let Some(zone) = self.zones.get_mut(id) else {
            return;
        };
        zone.members.retain(|id| id != member);
        zone.short_ids.retain(|_, id| id != member);
        if zone.members.is_empty() {
            let short_id = zone.short_id;
            self.zones.swap_remove(id);
            if self.short_zones.get(&short_id) == Some(id) {
                self.short_zones.remove(&short_id);
            }
        }
    }

    /// The zones with their short ids and members.
    pub(crate) fn short_zones(&self) -> impl Iterator<Item = (u16, &ZoneId, &[MemberId])> {
        self.zones
            .iter()
            .map(|(id, zone)| (zone.short_id, id, zone.members.as_slice()))
    }

    pub(crate) fn by_short_id(&self, zone: &ZoneId, short_id: u16) -> Option<&MemberId> {
        self.zones.get(zone)?.short_ids.get(&short_id)
    }

    pub(crate) fn zone_by_short_id(&self, short_id: u16) -> Option<&ZoneId> {
        self.short_zones.get(&short_id)
    }

    /// Takes a statement that is newer than the known one; returns whether it was taken. A statement about a member
    /// without a registration waits for it.
    pub(crate) fn apply(&mut self, update: &Update, now: Timestamp) -> bool {
        let Some(known) = self.members.get_mut(&update.member) else {
            return false;
        };
        let is_newer = (update.epoch, update.state) > (known.epoch, known.state);
        if is_newer {
            known.epoch = update.epoch;
            known.state = update.state;
            known.since = now;
            self.version += 1;
        }
        is_newer
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
