//! A daemon's view of the membership.

use std::collections::HashMap;

use indexmap::IndexMap;
use jm_types::{MemberId, Timestamp, ZoneId};

use crate::{Epoch, MemberRecord, MemberRole, MemberState, Update, record::short_id};

/// Registration and last reported state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Registration of the member. The address is updated from datagrams of the newest run.
    pub record: MemberRecord,
    /// Last reported state.
    pub state: MemberState,
    /// Epoch that the state belongs to.
    pub epoch: Epoch,
    /// Time at which this daemon received the state.
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

    /// Returns the update that describes the current state.
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

/// Registered members with their states, grouped by zone.
#[derive(Debug, Clone)]
pub struct MemberView {
    own: MemberId,
    members: IndexMap<MemberId, MemberStatus>,
    zones: IndexMap<ZoneId, Zone>,
    short_zones: HashMap<u16, ZoneId>,
    version: u64,
}

impl MemberView {
    /// Returns an empty view of the daemon `own`.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            members: IndexMap::new(),
            zones: IndexMap::new(),
            short_zones: HashMap::new(),
            version: 0,
        }
    }

    /// Id of the daemon that holds this view.
    pub fn own(&self) -> &MemberId {
        &self.own
    }

    /// Counter that is incremented with every change of a member.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of registered members, including failed ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if no member is registered.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Smallest number of members that forms a majority of the registered ones.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns a registered member, or `None` if it is not registered.
    pub fn get(&self, member: &MemberId) -> Option<&MemberStatus> {
        self.members.get(member)
    }

    /// Iterates over all registered members, including failed ones.
    pub fn iter(&self) -> impl Iterator<Item = &MemberStatus> {
        self.members.values()
    }

    /// Iterates over the members of a role in all zones that are neither failed nor leaving.
    pub fn live(&self, role: MemberRole) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .filter(move |member| {
                member.record.role == role
                    && matches!(member.state, MemberState::Alive | MemberState::Suspected)
            })
            .map(|member| &member.record)
    }

    /// Iterates over the members of a role in a zone that are neither failed nor leaving.
    pub fn live_in_zone(&self, role: MemberRole, zone: &ZoneId) -> impl Iterator<Item = &MemberRecord> {
        self.live(role).filter(move |record| &record.zone == zone)
    }

    /// Iterates over members that announced that they are about to stop.
    pub fn leaving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| &member.record)
    }

    /// Iterates over the zones that have registered members.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &[MemberId])> {
        self.zones.iter().map(|(id, zone)| (id, zone.members.as_slice()))
    }

    /// Returns the registered members of a zone, or `None` if the zone has none.
    pub fn zone_members(&self, zone: &ZoneId) -> Option<&[MemberId]> {
        self.zones.get(zone).map(|zone| zone.members.as_slice())
    }

    /// Adds a member or a newer run of a known member. Returns whether the view changed.
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

    /// Removes a member. Returns whether it was registered.
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

    /// Iterates over the zones with their short ids and members.
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

    /// Applies an update if it is newer than the known state, and returns whether it was applied. An update about an
    /// unregistered member is ignored, and a later synchronisation delivers it again.
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

    /// Sets the address at which a registered member receives datagrams.
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

    /// Restarts the suspicion timeout of every suspected member.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        let members = self.members.values_mut();
        for member in members.filter(|member| member.state == MemberState::Suspected) {
            member.since = now;
        }
    }
}
