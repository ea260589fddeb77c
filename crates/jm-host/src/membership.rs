//! Cluster membership: registrations in the store, and liveness from the failure detector.
//!
//! Hosts register in the store once per run and probe one another over UDP. The number of store calls is therefore
//! independent of failures, and a failed host is detected within two seconds. `docs/membership.md` describes the
//! failure detector.

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
use jm_platform::{Change, Condition, Listing, ObjectStore, Version};
use jm_types::{Clock, DurationMs, Incarnation, LogEvent, MemberId, Revision, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{CpuCapacity, HostSettings, capacity::capable_hosts, prefix_watch::WatchHandler};

/// Prefix of the keys of registrations.
pub(crate) const MEMBER_PREFIX: &str = "member/";

/// Delay before a failed registration is retried.
const REGISTER_RETRY_MS: DurationMs = DurationMs::new(300);

/// Time for which the registration of a failed host is kept.
const FAILED_RETENTION_MS: DurationMs = DurationMs::new(60_000);

/// Time after the first listing of hosts in which an unlisted host may still register.
const DISCOVERY_SETTLE_MS: DurationMs = DurationMs::new(2_000);

/// Time for which a host that presumes more than half of the hosts failed still treats their incarnations as running,
/// because it may be isolated itself. After this time it treats them as failed, because they may really have stopped.
const ISOLATION_GRACE_MS: DurationMs = DurationMs::new(3_000);

/// Registration of one run of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Identity, zone, address and run, as used by the failure detector.
    pub record: MemberRecord,
    /// Address on which the host serves callers.
    pub callers: SocketAddr,
    /// Address on which the host serves its peers.
    pub peers: SocketAddr,
    /// Processor time of the host; `None` if its settings or its release do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cpu: Option<CpuCapacity>,
}

/// Intervals of the failure detector. A host is declared failed about 1.5 s after it stopped, because a step that
/// another host has to take over is due a few seconds later.
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

/// The hosts of the deployment, with their registrations and states as seen by this host.
pub struct Membership {
    own: Registration,
    agent: MemberAgent,
    clock: Arc<dyn Clock>,
    registrations: Mutex<IndexMap<MemberId, Registration>>,
    on_change: Box<dyn Fn() + Send + Sync>,
    is_leaving: AtomicBool,
    /// Time of the first listing of registrations; zero before it.
    listed_at_ms: AtomicU64,
}

impl Membership {
    /// Binds the socket of the failure detector. `on_change` is called after each change of registrations.
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
            cpu: settings.cpu,
        };
        let detector = Detector::new(detector_options(), own.record.clone(), Revision::new(0));
        // The platform provides no secret. The name of the deployment only separates its datagrams from those of
        // others.
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

    /// Runs the failure detector until its socket fails.
    pub async fn run(&self) {
        if let Err(error) = self.agent.run().await {
            LogEvent::DaemonFailed.write(format_args!("the failure detector ended: {error}"));
        }
    }

    /// Writes the registration of this run, retrying until the store accepts it.
    pub async fn register(&self, store: &dyn ObjectStore) {
        let key = format!("{MEMBER_PREFIX}{}", self.own.record.id);
        let value = serde_json::to_vec(&self.own).expect("a registration has only text keys");
        loop {
            match store.put(&key, value.clone(), Condition::Any).await {
                Ok(_) => return,
                Err(error) => {
                    LogEvent::StoreUnavailable.write(format_args!("cannot register this host: {error}"));
                    task::sleep(REGISTER_RETRY_MS.as_std()).await;
                }
            }
        }
    }

    /// Identifier of this host.
    pub fn own_id(&self) -> &MemberId {
        &self.own.record.id
    }

    /// Incarnation of this host, which is new with each start.
    pub fn incarnation(&self) -> Incarnation {
        self.own.record.incarnation
    }

    /// All known registrations, including this host's own.
    pub fn registrations(&self) -> Vec<Registration> {
        self.lock().values().cloned().collect()
    }

    /// Adds registrations received from another host, unless the same or a newer incarnation is already known.
    pub fn add_registrations(&self, registrations: Vec<Registration>) {
        for registration in registrations {
            self.add(registration);
        }
        (self.on_change)();
    }

    /// Address for calls to another host, or `None` when the host is not registered.
    pub fn peer_address(&self, member: &MemberId) -> Option<SocketAddr> {
        Some(self.lock().get(member)?.peers)
    }

    /// Live hosts except this one, with their zones.
    pub fn live_peers(&self) -> Vec<(MemberId, ZoneId)> {
        let view = self.agent.view();
        let live = view.live(MemberRole::Entry);
        let others = live.filter(|record| record.id != self.own.record.id);
        others
            .map(|record| (record.id.clone(), record.zone.clone()))
            .collect()
    }

    /// Returns at most `limit` addresses for callers, those in `zone` first. Suspected hosts are included only when
    /// no host is alive.
    pub fn caller_addresses(&self, zone: Option<&ZoneId>, limit: usize) -> Vec<SocketAddr> {
        let view = self.agent.view();
        let registrations = self.lock();
        let state_of = |id: &MemberId| match id == self.own_id() {
            true if self.is_leaving() => MemberState::Leaving,
            true => MemberState::Alive,
            false => view.get(id).map_or(MemberState::Failed, |member| member.state),
        };
        let in_state = |state: MemberState| {
            let members = registrations.values();
            members.filter(move |registration| state_of(&registration.record.id) == state)
        };
        let mut candidates: Vec<&Registration> = in_state(MemberState::Alive).collect();
        if candidates.is_empty() {
            candidates = in_state(MemberState::Suspected).collect();
        }
        candidates.sort_by_key(|registration| Some(&registration.record.zone) != zone);
        candidates
            .iter()
            .take(limit)
            .map(|registration| registration.callers)
            .collect()
    }

    /// Newest configuration revision that any host reported.
    pub fn newest_revision(&self) -> Revision {
        self.agent.accepted()
    }

    /// Publishes the configuration revision that this host applied to its peers.
    pub fn set_applied_revision(&self, revision: Revision) {
        self.agent.set_applied(revision);
    }

    /// Announces to the other hosts that this host is about to stop.
    pub fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.agent.leave();
    }

    /// Whether [`Self::start_leaving`] was called.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Hosts that failed so long ago that their registrations can be deleted.
    pub fn failed_beyond_retention(&self) -> Vec<MemberId> {
        let now = self.clock.now();
        let view = self.agent.view();
        let failed = view.iter().filter(|member| {
            member.state == MemberState::Failed && now.since(member.since) >= FAILED_RETENTION_MS
        });
        failed.map(|member| member.record.id.clone()).collect()
    }

    /// Snapshot of the members and their states.
    pub fn view(&self) -> Arc<MemberView> {
        self.agent.view()
    }

    /// Whether the registrations were listed at least once.
    pub fn is_listed(&self) -> bool {
        self.listed_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Whether the first listing is old enough for the failure detector to have reached all hosts.
    fn is_discovery_settled(&self) -> bool {
        let listed_at_ms = self.listed_at_ms.load(Ordering::Relaxed);
        listed_at_ms > 0 && self.clock.now().since(Timestamp::new(listed_at_ms)) >= DISCOVERY_SETTLE_MS
    }

    /// Whether at most half of the hosts are in state failed.
    fn at_most_half_failed(&self, view: &MemberView) -> bool {
        let failed = view
            .iter()
            .filter(|member| member.state == MemberState::Failed)
            .count();
        2 * failed <= view.len()
    }

    fn add(&self, registration: Registration) {
        let id = registration.record.id.clone();
        if id == *self.own_id() {
            return;
        }
        self.agent.register(registration.record.clone());
        let mut registrations = self.lock();
        let current = registrations.get(&id).map(|current| current.record.incarnation);
        if current.is_none_or(|current| current < registration.record.incarnation) {
            registrations.insert(id, registration);
        }
    }

    fn remove(&self, member: &MemberId) {
        if member != self.own_id() {
            self.agent.remove(member);
            self.lock().swap_remove(member);
        }
    }

    fn apply(&self, key: &str, value: Option<&[u8]>) {
        let Some(id) = key
            .strip_prefix(MEMBER_PREFIX)
            .and_then(|id| id.parse::<MemberId>().ok())
        else {
            LogEvent::ConfigUnreadable.write(format_args!("the key {key} does not contain a valid host id"));
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

impl WatchHandler for Membership {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        let objects = listing.objects;
        for object in &objects {
            self.apply(&object.key, Some(&object.object.value));
        }
        let is_listed = |id: &MemberId| {
            objects
                .iter()
                .any(|object| object.key == format!("{MEMBER_PREFIX}{id}"))
        };
        let unlisted: Vec<MemberId> = self.lock().keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in unlisted {
            self.remove(&id);
        }
        let now_ms = self.clock.now().get().max(1);
        // Keeps the time of the first listing.
        let _ = self
            .listed_at_ms
            .compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        (self.on_change)();
    }

    fn on_change(&self, change: Change, _version: Version) {
        self.apply(&change.key, change.value.as_deref());
        (self.on_change)();
    }
}

impl MembershipView for Membership {
    fn is_isolated(&self) -> bool {
        !self.at_most_half_failed(&self.agent.view())
    }

    /// A host that has just started has no members in its view yet, and a partitioned host sees all others as failed.
    /// Neither may take over work, so both presume that the owner is still running.
    fn is_running(&self, member: &MemberId, incarnation: Incarnation) -> bool {
        if member == self.own_id() {
            return incarnation == self.incarnation();
        }
        let view = self.agent.view();
        let Some(viewed) = view.get(member) else {
            return !self.is_discovery_settled();
        };
        if viewed.epoch.incarnation != incarnation {
            return viewed.epoch.incarnation < incarnation;
        }
        let failed_ms = match viewed.state {
            MemberState::Failed => self.clock.now().since(viewed.since),
            _ => return true,
        };
        !self.at_most_half_failed(&view) && failed_ms < ISOLATION_GRACE_MS
    }

    fn live(&self) -> Vec<(MemberId, Incarnation)> {
        let view = self.agent.view();
        let others = view
            .live(MemberRole::Entry)
            .filter(|record| record.id != *self.own_id());
        let own = (!self.is_leaving()).then(|| (self.own_id().clone(), self.incarnation()));
        let others = others.map(|record| {
            let incarnation = view
                .get(&record.id)
                .map_or(record.incarnation, |member| member.epoch.incarnation);
            (record.id.clone(), incarnation)
        });
        own.into_iter().chain(others).collect()
    }

    fn owner_candidates(&self) -> Vec<(MemberId, Incarnation)> {
        let live = self.live();
        let registrations = self.lock();
        let cpu_of = |(member, _): &(MemberId, Incarnation)| registrations.get(member)?.cpu;
        capable_hosts(live, cpu_of)
    }
}
