//! The shared state of a daemon process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::{future::timeout, task};
use jm_config::{Role, Settings};
use jm_http::Client;
use jm_link::{FleetSecret, LinkOptions, LinkPool};
use jm_order::TicketSecret;
use jm_platform::{Condition, HostList, ObjectStore, TargetOrders, UsageReporter, WeightStore};
use jm_types::{Clock, DurationMs, Incarnation, LogEvent, RequestId, Timestamp};

use crate::{
    ConfigReplica, MemberRecord, Metrics, OrderedTargetsCache, Peers, Router, Stop, codec,
    peers::FRESHNESS_MS,
};

/// Interval between reads of the list of registered daemons.
const REGISTRATION_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Maximum wait for the next list: the interval between reads plus the duration of a call.
const REGISTRATION_WAIT_MS: DurationMs = DurationMs::new(1_500);

/// Interval at which a waiting request checks for the next list.
const REGISTRATION_POLL_MS: DurationMs = DurationMs::new(20);

/// Key prefix of the registrations in the store.
pub const MEMBER_PREFIX: &str = "member/";

/// The interfaces of the platform. They are trait objects, so that the demonstration and tests run without a network.
#[derive(Clone)]
pub struct Platform {
    /// Versioned key-value store of the platform.
    pub objects: Arc<dyn ObjectStore>,
    /// The list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// The interface for ordering targets.
    pub targets: Arc<dyn TargetOrders>,
    /// The interface that accepts usage reports.
    pub usage: Arc<dyn UsageReporter>,
    /// The store of model weights.
    pub weights: Arc<dyn WeightStore>,
}

/// Arguments of [`Node::new`].
pub struct NodeOptions {
    /// The parsed settings of the process.
    pub settings: Settings,
    /// The interfaces of the platform.
    pub platform: Platform,
    /// The clock that provides timestamps; tests set it manually.
    pub clock: Arc<dyn Clock>,
    /// The signal for a planned stop of the process.
    pub stop: Stop,
}

/// The shared state of a daemon process.
pub struct Node {
    /// The parsed settings of the process.
    pub settings: Settings,
    /// The interfaces of the platform.
    pub platform: Platform,
    /// The clock that provides timestamps; tests set it manually.
    pub clock: Arc<dyn Clock>,
    /// The signal for a planned stop of the process.
    pub stop: Stop,
    /// Replica of the configuration log, with the configuration in force.
    pub config: ConfigReplica,
    /// Targets that the control daemon ordered from the platform.
    pub ordered_targets: OrderedTargetsCache,
    /// The registered daemons and their state.
    pub peers: Peers,
    /// Connections to the other daemons.
    pub links: LinkPool,
    /// Selects the dispatch daemon for a request.
    pub router: Router,
    /// HTTP client for calls to targets.
    pub client: Client,
    /// Secret that signs tickets.
    pub ticket_secret: TicketSecret,
    /// Prometheus metrics of the process.
    pub metrics: Metrics,
    /// Identifies this run of the daemon; derived from the start time.
    pub incarnation: Incarnation,
    next_request_id: AtomicU64,
}

impl Node {
    /// Creates the state of a process that has not loaded its configuration yet.
    pub fn new(options: NodeOptions) -> Arc<Self> {
        let NodeOptions {
            settings,
            platform,
            clock,
            stop,
        } = options;
        let incarnation = Incarnation::new(unix_ms());
        let secret = settings.link.secret.expose().to_vec();
        Arc::new(Self {
            config: ConfigReplica::new(),
            ordered_targets: OrderedTargetsCache::default(),
            peers: Peers::new(own_record(&settings, incarnation), clock.now()),
            links: LinkPool::new(FleetSecret::new(secret.clone()), LinkOptions::default()),
            router: Router::new(settings.daemon.zone.clone()),
            client: Client::new(settings.limits.clone()),
            ticket_secret: TicketSecret::new(secret),
            metrics: Metrics::new(),
            incarnation,
            next_request_id: AtomicU64::new(1),
            settings,
            platform,
            clock,
            stop,
        })
    }

    /// The current time of the clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a request id that is unique within this run of the daemon.
    pub fn next_request_id(&self) -> RequestId {
        RequestId::new(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Whether the store or a majority of the daemons recently confirmed that the configuration in force is current;
    /// see section 4.2 of `docs/design.md`.
    pub fn is_fresh(&self) -> bool {
        let now = self.now();
        let revision = self.config.revision();
        self.config.is_loaded()
            && (self.config.store_answered_within(FRESHNESS_MS, now)
                || self.peers.majority_confirms(revision, now))
    }

    /// Registers this daemon and refreshes the list of registered daemons until the process ends.
    pub async fn maintain_registration(self: Arc<Self>) {
        let mut registered = false;
        loop {
            if !registered {
                registered = self.register(self.peers.own_record()).await;
            }
            // A control daemon removes the registration of a daemon that it could not reach for a long time.
            if self.read_registrations().await == OwnRegistration::Missing && !self.stop.is_leaving() {
                registered = false;
            }
            task::sleep(REGISTRATION_INTERVAL_MS.as_std()).await;
        }
    }

    async fn register(&self, record: MemberRecord) -> bool {
        let key = format!("{MEMBER_PREFIX}{}", record.id);
        let written = self
            .platform
            .objects
            .put(&key, codec::encode(&record), Condition::Any)
            .await;
        written.is_ok()
    }

    pub(crate) async fn read_registrations(&self) -> OwnRegistration {
        let requested = self.now();
        let Ok(listing) = self.platform.objects.list(MEMBER_PREFIX).await else {
            return OwnRegistration::Unknown;
        };
        let records = listing
            .objects
            .iter()
            .filter_map(|object| codec::decode(&object.object.value).ok());
        let records: Vec<MemberRecord> = records.collect();
        let is_listed = records.iter().any(|record| record.id == *self.peers.own_id());
        self.peers.set_registered(records, requested, self.now());
        match is_listed {
            true => OwnRegistration::Listed,
            false => OwnRegistration::Missing,
        }
    }

    /// Waits until the list of registered daemons is at least as new as this call, so that it includes a daemon that
    /// has just started. Waits for the periodic read and makes no store call, because the number of store calls must
    /// not grow with the number of requests.
    pub async fn wait_for_registrations(&self) {
        let since = self.now();
        let listed = async {
            while !self.peers.listed_since(since) {
                task::sleep(REGISTRATION_POLL_MS.as_std()).await;
            }
        };
        // If the store is unavailable, the caller continues with the previous list.
        let _ = timeout(REGISTRATION_WAIT_MS.as_std(), listed).await;
    }

    /// Announces to the other daemons that this daemon is about to stop.
    pub async fn announce_leaving(&self) {
        let record = self.peers.set_leaving();
        if !self.register(record).await {
            LogEvent::StoreUnavailable.write(
                "cannot mark the registration as leaving; the planned stop is announced over links only",
            );
        }
    }

    /// Removes the registration of this daemon at the end of a planned stop.
    pub async fn deregister(&self) {
        let key = format!("{MEMBER_PREFIX}{}", self.peers.own_id());
        if self.platform.objects.delete(&key, Condition::Any).await.is_err() {
            LogEvent::StoreUnavailable
                .write("cannot delete the registration; it remains until a control daemon removes it");
        }
    }
}

/// Whether a list of the registrations contains this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnRegistration {
    Listed,
    Missing,
    /// The list could not be read.
    Unknown,
}

fn own_record(settings: &Settings, incarnation: Incarnation) -> MemberRecord {
    let dispatch = settings.dispatch.as_ref().map(|dispatch| dispatch.advertised);
    let control = settings.control.as_ref().map(|control| control.advertised);
    let has_role = |role| settings.daemon.roles.contains(&role);
    let link_address = dispatch
        .filter(|_| has_role(Role::Dispatch))
        .or(control.filter(|_| has_role(Role::Control)));
    let entry = settings.entry.as_ref().filter(|_| has_role(Role::Entry));
    MemberRecord {
        id: settings.daemon.id.clone(),
        incarnation,
        roles: settings.daemon.roles.iter().map(ToString::to_string).collect(),
        zone: settings.daemon.zone.clone(),
        region: settings.daemon.region.clone(),
        link_address: link_address.map(|address| address.to_string()),
        entry_address: entry.map(|entry| entry.advertised.to_string()),
        leaving: false,
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
