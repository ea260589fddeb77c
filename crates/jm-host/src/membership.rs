//! The other hosts: their registrations in the store, and whether they are alive.
//!
//! Hosts register in the store once per run and probe one another over UDP, so that store calls do not grow with
//! failures and a dead host is noticed within two seconds. `docs/membership.md` describes the detector.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use async_std::task;
use indexmap::IndexMap;
use jm_batch::MembershipView;
use jm_link::FleetSecret;
use jm_member::{
    AgentError, Detector, DetectorOptions, MemberAgent, MemberRecord, MemberRole, MemberState, MemberView,
};
use jm_platform::{Change, Condition, KeyedObject, ObjectStore};
use jm_types::{Clock, DurationMs, Incarnation, LogEvent, MemberId, Revision, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{HostSettings, follow::Follower};

/// Prefix of the keys of registrations.
pub(crate) const MEMBER_PREFIX: &str = "member/";

/// Wait before a registration that the store did not take is repeated.
const REGISTER_RETRY_MS: DurationMs = DurationMs::new(300);

/// Time for which a failed host keeps its registration.
const KEEP_FAILED_MS: DurationMs = DurationMs::new(60_000);

/// Time after the first list of hosts in which an unlisted one may still register.
const SETTLE_MS: DurationMs = DurationMs::new(2_000);

/// Time after which a host that sees less than half of the others alive takes them for dead all the same: all but a few
/// may really have stopped.
const ISOLATION_MS: DurationMs = DurationMs::new(3_000);

/// Registration of one run of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// What the failure detector needs.
    pub record: MemberRecord,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
}

/// Intervals of the failure detector: a host is taken for dead about 1.5 s after it stopped, because a step that has
/// to be taken over is due a few seconds later.
fn detector_options() -> DetectorOptions {
    DetectorOptions {
        probe_interval_ms: DurationMs::new(250),
        direct_timeout_ms: DurationMs::new(200),
        indirect_timeout_ms: DurationMs::new(500),
        suspicion_timeout_ms: DurationMs::new(800),
        failed_probe_interval_ms: DurationMs::new(500),
        sync_interval_ms: DurationMs::new(2_000),
        ..DetectorOptions::default()
    }
}

/// The hosts as this one knows them.
pub struct Membership {
    own: Registration,
    agent: MemberAgent,
    clock: Arc<dyn Clock>,
    registrations: Mutex<IndexMap<MemberId, Registration>>,
    on_change: Box<dyn Fn() + Send + Sync>,
    is_leaving: AtomicBool,
    /// When the registrations were first listed; zero before.
    listed_at_ms: AtomicU64,
}

impl Membership {
    /// Binds the socket of the detector. `on_change` is called when a registration changed.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        settings: &HostSettings,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
        on_change: Box<dyn Fn() + Send + Sync>,
    ) -> Result<Arc<Self>, AgentError> {
        let own = Registration {
            record: MemberRecord {
                id: settings.id.clone(),
                role: MemberRole::Entry,
                zone: settings.zone.clone(),
                address: settings.listen.members,
                incarnation,
            },
            callers: settings.listen.callers,
            peers: settings.announced_peers,
        };
        let detector = Detector::new(detector_options(), own.record.clone(), Revision::new(0));
        // The platform hands out no secret. This one keeps datagrams of other deployments apart.
        let secret = FleetSecret::new(settings.fleet.clone());
        let agent = MemberAgent::bind(settings.listen.members, detector, secret, Arc::clone(&clock)).await?;
        let registrations = IndexMap::from([(settings.id.clone(), own.clone())]);
        Ok(Arc::new(Self {
            own,
            agent,
            clock,
            registrations: Mutex::new(registrations),
            on_change,
            is_leaving: false.into(),
            listed_at_ms: 0.into(),
        }))
    }

    /// Probes the other hosts until the socket fails.
    pub async fn run(&self) {
        if let Err(error) = self.agent.run().await {
            LogEvent::DaemonFailed.write(format_args!("the failure detector ended: {error}"));
        }
    }

    /// Writes the registration of this run until the store takes it.
    pub async fn register(&self, store: &dyn ObjectStore) {
        let key = format!("{MEMBER_PREFIX}{}", self.own.record.id);
        let value = serde_json::to_vec(&self.own).expect("a registration has only text keys");
        loop {
            match store.put(&key, value.clone(), Condition::Any).await {
                Ok(_) => return,
                Err(error) => {
                    LogEvent::StoreUnavailable.write(format_args!("cannot register: {error}"));
                    task::sleep(REGISTER_RETRY_MS.as_std()).await;
                }
            }
        }
    }

    /// This host.
    pub fn own(&self) -> &MemberId {
        &self.own.record.id
    }

    /// This run of this host.
    pub fn incarnation(&self) -> Incarnation {
        self.own.record.incarnation
    }

    /// All registrations that are known.
    pub fn registrations(&self) -> Vec<Registration> {
        self.lock().values().cloned().collect()
    }

    /// Takes registrations that another host sent.
    pub fn learn(&self, registrations: Vec<Registration>) {
        for registration in registrations {
            self.add(registration);
        }
        (self.on_change)();
    }

    /// Where another live host listens for hosts.
    pub fn peer_address(&self, member: &MemberId) -> Option<SocketAddr> {
        Some(self.lock().get(member)?.peers)
    }

    /// Live hosts besides this one.
    pub fn others(&self) -> Vec<(MemberId, ZoneId)> {
        let view = self.agent.view();
        let live = view.live(MemberRole::Entry);
        let others = live.filter(|record| record.id != self.own.record.id);
        others
            .map(|record| (record.id.clone(), record.zone.clone()))
            .collect()
    }

    /// Addresses for callers, those of a zone first; hosts that are suspected to be dead are left out while others
    /// remain.
    pub fn caller_addresses(&self, zone: Option<&ZoneId>, limit: usize) -> Vec<SocketAddr> {
        let view = self.agent.view();
        let registrations = self.lock();
        let state_of = |id: &MemberId| match id == self.own() {
            true if self.is_leaving() => MemberState::Leaving,
            true => MemberState::Alive,
            false => view.get(id).map_or(MemberState::Failed, |member| member.state),
        };
        let in_state = |state: MemberState| {
            let members = registrations.values();
            members.filter(move |registration| state_of(&registration.record.id) == state)
        };
        let mut found: Vec<&Registration> = in_state(MemberState::Alive).collect();
        if found.is_empty() {
            found = in_state(MemberState::Suspected).collect();
        }
        found.sort_by_key(|registration| Some(&registration.record.zone) != zone);
        found
            .iter()
            .take(limit)
            .map(|registration| registration.callers)
            .collect()
    }

    /// The newest configuration that any host is known to have.
    pub fn newest_revision(&self) -> Revision {
        self.agent.accepted()
    }

    /// This host has a configuration in force.
    pub fn set_revision(&self, revision: Revision) {
        self.agent.set_applied(revision);
    }

    /// This host is about to stop.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.agent.leave();
    }

    /// Whether this host is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Hosts that have been dead for so long that their registrations can go.
    pub fn long_failed(&self) -> Vec<MemberId> {
        let now = self.clock.now();
        let view = self.agent.view();
        let failed = view.iter().filter(|member| {
            member.state == MemberState::Failed && now.since(member.since) >= KEEP_FAILED_MS
        });
        failed.map(|member| member.record.id.clone()).collect()
    }

    /// The members with their states.
    pub fn view(&self) -> Arc<MemberView> {
        self.agent.view()
    }

    /// Whether the list of hosts was read.
    pub fn is_listed(&self) -> bool {
        self.listed_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Whether the list of hosts was read, long enough ago for the detector to have reached them.
    fn is_settled(&self) -> bool {
        let listed_at_ms = self.listed_at_ms.load(Ordering::Relaxed);
        listed_at_ms > 0 && self.clock.now().since(Timestamp::new(listed_at_ms)) >= SETTLE_MS
    }

    /// Whether at least half of the hosts are alive as far as this one can tell.
    fn sees_most(&self, view: &MemberView) -> bool {
        let dead = view
            .iter()
            .filter(|member| member.state == MemberState::Failed)
            .count();
        2 * dead <= view.len()
    }

    fn add(&self, registration: Registration) {
        let id = registration.record.id.clone();
        if id == *self.own() {
            return;
        }
        self.agent.register(registration.record.clone());
        let mut registrations = self.lock();
        let known = registrations.get(&id).map(|known| known.record.incarnation);
        if known.is_none_or(|known| known < registration.record.incarnation) {
            registrations.insert(id, registration);
        }
    }

    fn remove(&self, member: &MemberId) {
        if member != self.own() {
            self.agent.remove(member);
            self.lock().swap_remove(member);
        }
    }

    fn apply(&self, key: &str, value: Option<&[u8]>) {
        let Some(id) = key
            .strip_prefix(MEMBER_PREFIX)
            .and_then(|id| id.parse::<MemberId>().ok())
        else {
            LogEvent::ConfigUnreadable.write(format_args!("the key {key} names no host"));
            return;
        };
        let Some(value) = value else {
            self.remove(&id);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(registration) => self.add(registration),
            Err(error) => LogEvent::ConfigUnreadable
                .write(format_args!("the registration {key} cannot be read: {error}")),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<MemberId, Registration>> {
        self.registrations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Follower for Membership {
    fn listed(&self, objects: Vec<KeyedObject>, _gap: DurationMs) {
        for object in &objects {
            self.apply(&object.key, Some(&object.object.value));
        }
        let is_listed = |id: &MemberId| {
            objects
                .iter()
                .any(|object| object.key == format!("{MEMBER_PREFIX}{id}"))
        };
        let gone: Vec<MemberId> = self.lock().keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
        let now_ms = self.clock.now().get().max(1);
        // Only the first list counts.
        let _ = self
            .listed_at_ms
            .compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        (self.on_change)();
    }

    fn changed(&self, change: Change) {
        self.apply(&change.key, change.value.as_deref());
        (self.on_change)();
    }
}

impl MembershipView for Membership {
    fn is_isolated(&self) -> bool {
        !self.sees_most(&self.agent.view())
    }

    /// A host that has just started knows nobody yet, and a host that is cut off from the others takes all of them for
    /// dead. Neither may take work over.
    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        if member == self.own() {
            return incarnation == self.incarnation();
        }
        let view = self.agent.view();
        let Some(viewed) = view.get(member) else {
            return !self.is_settled();
        };
        if viewed.epoch.incarnation != incarnation {
            return viewed.epoch.incarnation < incarnation;
        }
        let failed_ms = match viewed.state {
            MemberState::Failed => self.clock.now().since(viewed.since),
            _ => return true,
        };
        !self.sees_most(&view) && failed_ms < ISOLATION_MS
    }

    fn live(&self) -> Vec<(MemberId, Incarnation)> {
        let view = self.agent.view();
        let others = view
            .live(MemberRole::Entry)
            .filter(|record| record.id != *self.own());
        let own = (!self.is_leaving()).then(|| (self.own().clone(), self.incarnation()));
        let others = others.map(|record| {
            let incarnation = view
                .get(&record.id)
                .map_or(record.incarnation, |member| member.epoch.incarnation);
            (record.id.clone(), incarnation)
        });
        own.into_iter().chain(others).collect()
    }
}
