//! The shared state of one daemon process.

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
    ConfigKeeper, MemberRecord, Metrics, OrderedKeeper, Peers, Router, Stop, codec, peers::FRESHNESS_MS,
};

/// Interval at which the registered daemons are listed.
const REGISTRATION_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Longest wait for the next list: the interval and the time of a call.
const REGISTRATION_WAIT_MS: DurationMs = DurationMs::new(1_500);

/// Interval at which a waiting request looks for the next list.
const REGISTRATION_POLL_MS: DurationMs = DurationMs::new(20);

/// Prefix of the registrations in the store.
pub const MEMBER_PREFIX: &str = "member/";

/// The platform's interfaces. Trait objects so that the demonstration and tests run without a network.
#[derive(Clone)]
pub struct Platform {
    /// The object API.
    pub objects: Arc<dyn ObjectStore>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// Ordering of targets.
    pub targets: Arc<dyn TargetOrders>,
    /// The intake of usage reports.
    pub usage: Arc<dyn UsageReporter>,
    /// The weight store.
    pub weights: Arc<dyn WeightStore>,
}

/// What a process is started with.
pub struct NodeOptions {
    /// Checked settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The stop of the process.
    pub stop: Stop,
}

/// The shared state of one daemon process.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The stop of the process.
    pub stop: Stop,
    /// The configuration in force.
    pub config: ConfigKeeper,
    /// Targets that were ordered from the platform.
    pub ordered: OrderedKeeper,
    /// The other daemons.
    pub peers: Peers,
    /// Connections to other daemons.
    pub links: LinkPool,
    /// Choice of dispatch daemons.
    pub router: Router,
    /// Client for targets.
    pub client: Client,
    /// Secret under which tickets are signed.
    pub tickets: TicketSecret,
    /// Metrics.
    pub metrics: Metrics,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    next_request: AtomicU64,
}

impl Node {
    /// The state of a process that has not read its configuration yet.
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
            config: ConfigKeeper::new(),
            ordered: OrderedKeeper::default(),
            peers: Peers::new(own_record(&settings, incarnation), clock.now()),
            links: LinkPool::new(FleetSecret::new(secret.clone()), LinkOptions::default()),
            router: Router::new(settings.daemon.zone.clone()),
            client: Client::new(settings.limits.clone()),
            tickets: TicketSecret::new(secret),
            metrics: Metrics::new(),
            incarnation,
            next_request: AtomicU64::new(1),
            settings,
            platform,
            clock,
            stop,
        })
    }

    /// The current reading of the clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A request number that is unique within this run.
    pub fn next_request(&self) -> RequestId {
        RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Whether the configuration in force is known to be current; see section 4.2 of `docs/design.md`.
    pub fn is_fresh(&self) -> bool {
        let now = self.now();
        let revision = self.config.revision();
        self.config.is_loaded()
            && (self.config.store_answered_within(FRESHNESS_MS, now)
                || self.peers.majority_answers(revision, now))
    }

    /// Registers this daemon, and keeps the list of registered daemons current until the process ends.
    pub async fn keep_registered(self: Arc<Self>) {
        let mut registered = false;
        loop {
            if !registered {
                registered = self.register(self.peers.own_record()).await;
            }
            // A control daemon that could not reach this one for long has removed the registration.
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

    /// Waits until the registered daemons are known as of now, so that a daemon that has just started is found. Waits for
    /// the regular list instead of asking the store, whose calls must not grow with the requests.
    pub async fn wait_for_registrations(&self) {
        let since = self.now();
        let listed = async {
            while !self.peers.listed_since(since) {
                task::sleep(REGISTRATION_POLL_MS.as_std()).await;
            }
        };
        // Without the store the known daemons have to do.
        let _ = timeout(REGISTRATION_WAIT_MS.as_std(), listed).await;
    }

    /// Tells the other daemons that this one is about to stop.
    pub async fn announce_leaving(&self) {
        let record = self.peers.set_leaving();
        if !self.register(record).await {
            LogEvent::StoreUnavailable.write("the planned stop is announced over links only");
        }
    }

    /// Removes the registration at the end of a planned stop.
    pub async fn deregister(&self) {
        let key = format!("{MEMBER_PREFIX}{}", self.peers.own_id());
        if self.platform.objects.delete(&key, Condition::Any).await.is_err() {
            LogEvent::StoreUnavailable.write("the registration stays until a control daemon removes it");
        }
    }
}

/// What a listing of the registrations says of the own one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnRegistration {
    Listed,
    Missing,
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
