//! A running host: its state, its listeners and its graceful shutdown.

mod metrics;
mod reconcile;
mod shutdown;
mod tasks;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task::{self, JoinHandle},
};
use jm_batch::{
    BatchService, BatchServiceDependencies, BatchServiceOptions, BatchStore, RoutingSource, RunnerOptions,
};
use jm_forward::{
    Access, CallerLimits, CallerRequest, ColdGate, Drain, ForwardRefusal, ForwardResult, Forwarder,
    ForwarderOptions, RetryOptions, Route, RoutingTable, SelectionOptions,
};
use jm_http::{BufferBudget, Handler, Limits, Server, SharedLimits, listen};
use jm_member::AgentError;
use jm_node::{Stop, StopTrigger};
use jm_platform::ObjectStore;
use jm_types::{
    ByteSize, Clock, DurationMs, Incarnation, LogEvent, ResultCode, SystemClock, Timestamp, WallClock, ZoneId,
};
use snafu::{ResultExt, Snafu};

use self::metrics::MetricsHandler;
use crate::{
    HostObserver, HostSettings, Membership, PlatformParts, RelayedStore, StoreCache,
    cluster_state::ClusterState,
    duty::{LeaseView, UsageAggregator, UsageCounter, UsagePublisher},
    instrumented_store::InstrumentedStore,
    peer::{ObjectSpace, PeerClient, PeerRelay},
    peer_server::PeerHandler,
    streams::{CachedTargets, StreamStore},
};

/// The host could not start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// I/O error of the bind.
        source: std::io::Error,
    },
    /// The failure detector cannot start.
    #[snafu(display("the failure detector cannot start: {source}"))]
    Members {
        /// Error of the membership agent.
        source: AgentError,
    },
}

/// Time for which callers may cache an address list.
const ADDRESS_TTL_MS: DurationMs = DurationMs::new(2_000);
/// Time for which the objects of a batch are kept after the batch can no longer be read.
const BATCH_RETENTION_MARGIN_MS: DurationMs = DurationMs::new(60_000);
/// Maximum number of concurrent connections of callers.
const CALLER_CONNECTIONS: usize = 2_000;

/// Settings and platform connections for [`Host::start`].
pub struct HostParts {
    /// Validated settings.
    pub settings: HostSettings,
    /// Connections to the platform.
    pub platform: PlatformParts,
}

/// A running host.
pub struct Host {
    settings: HostSettings,
    clock: Arc<dyn Clock>,
    wall: Arc<dyn WallClock>,
    cluster: Arc<ClusterState>,
    membership: Arc<Membership>,
    batches: Arc<BatchService>,
    forwarder: Forwarder,
    cold: Arc<ColdGate>,
    started_at: Timestamp,
    observer: Arc<HostObserver>,
    lease: Arc<LeaseView>,
    peers: Arc<PeerClient>,
    usage_publisher: Arc<UsagePublisher>,
    caller_limits: SharedLimits,
    /// Whether the limits of a configuration are applied.
    has_caller_limits: AtomicBool,
    buffers: BufferBudget,
    changes: (Sender<()>, Receiver<()>),
    stop: Stop,
    /// Set when a planned stop begins.
    drain: OnceLock<Drain>,
    /// Closed when the last answers are due before the exit.
    last_answers: (Sender<Infallible>, Receiver<Infallible>),
}

/// Components that only the background tasks and the listeners of the host use.
struct HostComponents {
    product_store: Arc<RelayedStore>,
    platform_store: Arc<RelayedStore>,
    usage: Arc<UsageCounter>,
    aggregator: Arc<UsageAggregator>,
    cache: Arc<StoreCache>,
    streams: Arc<StreamStore>,
    platform: PlatformParts,
}

/// Returns the connection limits for callers, with the bounds of the configuration applied.
pub fn connection_limits(limits: &CallerLimits) -> Limits {
    Limits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_timeout_ms: limits.head_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
        connections: CALLER_CONNECTIONS,
        ..Limits::default()
    }
}

/// Connection limits until the first configuration is applied.
fn initial_limits() -> Limits {
    Limits {
        head_bytes: ByteSize::new(16_384),
        body_bytes: ByteSize::new(4_000_000),
        connections: CALLER_CONNECTIONS,
        ..Limits::default()
    }
}

impl Host {
    /// Starts the background tasks and the listeners for metrics and for other hosts. The listeners for callers are
    /// started with [`Self::serve_callers`] and [`Self::serve`].
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(parts: HostParts) -> Result<(Arc<Self>, StopTrigger), HostError> {
        let HostParts { settings, platform } = parts;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let wall: Arc<dyn WallClock> = Arc::new(SystemClock);
        let changes = bounded(1);
        let on_change = |sender: &Sender<()>| {
            let sender = sender.clone();
            // A full channel means that a notification is already pending.
            Box::new(move || {
                let _ = sender.try_send(());
            })
        };
        let incarnation = Incarnation::new(wall.unix_ms());
        let membership =
            Membership::start(&settings, incarnation, Arc::clone(&clock), on_change(&changes.0)).await;
        let membership = membership.context(MembersSnafu)?;
        let objects = Arc::clone(&platform.objects);
        let cold = Arc::new(ColdGate::new(settings.id.clone()));
        let cluster = ClusterState::new(objects, Arc::clone(&clock), on_change(&changes.0));
        let cluster = Arc::new(cluster.with_cold_gate(Arc::clone(&cold), Arc::clone(&wall)));
        if settings.bounds.evacuate_ms.is_some() {
            cluster.require_evacuations();
        }
        platform.notices.listen(Arc::clone(&cluster) as _);
        let peers = Arc::new(PeerClient::new(Arc::clone(&membership), platform.buffers.clone()));
        let usage = Arc::new(UsageCounter::new(
            Arc::clone(&wall),
            settings.bounds.usage_window_ms,
        ));
        let observer = Arc::new(HostObserver::new(
            Arc::clone(&usage),
            platform.buffers.clone(),
            Arc::clone(&platform.listings),
        ));
        let relayed = |direct: &Arc<dyn ObjectStore>, space| -> Arc<RelayedStore> {
            let client = Arc::clone(&peers);
            let relay = Arc::new(PeerRelay { client, space });
            let counted = InstrumentedStore::new(Arc::clone(direct), observer.store_calls.clone());
            Arc::new(RelayedStore::new(Arc::new(counted), relay, Arc::clone(&clock)))
        };
        let product_store = relayed(&platform.store, ObjectSpace::Product);
        let cache = Arc::new(StoreCache::new(Arc::clone(&clock)));
        let targets = CachedTargets {
            cache: Arc::clone(&cache),
            prefix: platform.objects.targets_prefix(),
            requests: Arc::default(),
        };
        let components = HostComponents {
            streams: Arc::new(StreamStore::new(
                Arc::clone(&product_store) as _,
                Arc::clone(&peers),
                Arc::clone(&membership),
                Arc::clone(&clock),
                targets,
            )),
            product_store,
            platform_store: relayed(&platform.platform_store, ObjectSpace::Platform),
            usage,
            aggregator: Arc::default(),
            cache,
            platform,
        };
        let batches = BatchService::new(
            BatchServiceOptions {
                local_member: settings.id.clone(),
                incarnation,
                runner: RunnerOptions::default(),
                retention_ms: settings
                    .bounds
                    .batch_keep_ms
                    .saturating_add(BATCH_RETENTION_MARGIN_MS),
            },
            BatchServiceDependencies {
                clock: Arc::clone(&clock),
                wall_clock: Arc::clone(&wall),
                store: BatchStore::new(Arc::clone(&components.product_store) as _),
                generator: Arc::clone(&components.platform.generator),
                rewards: Arc::clone(&components.platform.rewards),
                routing_source: Arc::clone(&cluster) as _,
                members: Arc::clone(&membership) as _,
                peers: Arc::clone(&peers) as _,
                events: Arc::clone(&observer) as _,
            },
        );
        let forwarder = Forwarder::new(
            ForwarderOptions {
                zone: settings.zone.clone(),
                selection: SelectionOptions::default(),
                retry: RetryOptions::default(),
            },
            Arc::clone(&clock),
            Arc::clone(&components.platform.targets),
            Arc::clone(&observer) as _,
        )
        .with_cold_gate(Arc::clone(&cold))
        .with_streams(StreamStore::streams(&components.streams));
        let lease: Arc<LeaseView> = Arc::default();
        let usage_publisher = Arc::new(UsagePublisher {
            counter: Arc::clone(&components.usage),
            aggregator: Arc::clone(&components.aggregator),
            membership: Arc::clone(&membership),
            peers: Arc::clone(&peers),
            lease: Arc::clone(&lease),
        });
        let buffers = components.platform.buffers.clone();
        let (trigger, stop) = Stop::new();
        let host = Arc::new(Self {
            settings,
            started_at: clock.now(),
            clock,
            wall,
            cluster,
            membership,
            batches,
            forwarder,
            cold,
            observer,
            lease,
            peers,
            usage_publisher,
            caller_limits: initial_limits().into(),
            has_caller_limits: AtomicBool::new(false),
            buffers,
            changes,
            stop,
            drain: OnceLock::new(),
            last_answers: bounded(1),
        });
        host.serve_peers(&components)?;
        host.start_tasks(components);
        LogEvent::DaemonStarting.write_fields(
            "the host is starting",
            &[
                ("member", &host.settings.id.as_str()),
                ("zone", &host.settings.zone.as_str()),
                ("incarnation", &incarnation.get()),
            ],
        );
        Ok((host, trigger))
    }

    /// Settings with which the host was started.
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Whether the host accepts callers: it has a configuration, whose limits are applied, and the targets, and is not
    /// about to stop.
    pub fn is_ready(&self) -> bool {
        let has_limits = self.has_caller_limits.load(Ordering::Relaxed);
        !self.membership.is_leaving() && has_limits && self.cluster.is_complete()
    }

    /// Returns at most `limit` addresses of hosts for a caller, those in `zone` first, and how long the caller may
    /// cache them.
    pub fn addresses(&self, zone: Option<&ZoneId>, limit: usize) -> (Vec<SocketAddr>, DurationMs) {
        (self.membership.caller_addresses(zone, limit), ADDRESS_TTL_MS)
    }

    /// Active configuration; `None` before the first one.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.cluster.routing()
    }

    /// Service that accepts, runs and reads batches.
    pub fn batches(&self) -> &Arc<BatchService> {
        &self.batches
    }

    /// Recorder of metrics and log lines.
    pub fn observer(&self) -> &HostObserver {
        &self.observer
    }

    /// Memory budget that all servers and clients of this host share.
    pub fn buffers(&self) -> &BufferBudget {
        &self.buffers
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.wall.unix_ms()
    }

    /// Finds the route of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a matching route or with an invalid key, and every request before the first
    /// configuration is applied.
    pub fn admit(
        &self,
        request: &CallerRequest,
    ) -> Result<(Route, Access, Arc<RoutingTable>), ForwardRefusal> {
        let table = self.cluster.routing().ok_or_else(no_configuration)?;
        let (route, access) = self.forwarder.admit(request, &table)?;
        Ok((route.clone(), access, table))
    }

    /// Forwards an admitted request to targets, with retries, until one answers or the retries are exhausted.
    pub async fn forward(&self, request: &CallerRequest, route: &Route, access: &Access) -> ForwardResult {
        if let Some(drain) = self.drain.get() {
            drain.admit(request, route, self.clock.now())?;
        }
        let catalog = || self.cluster.catalog();
        let shutdown = async {
            // No message is ever sent. `recv` fails when the stop closes the channel.
            let _ = self.last_answers.1.recv().await;
        };
        self.forwarder
            .forward(request, route, access, &catalog, shutdown)
            .await
    }

    /// Refuses work that takes up to `limit` if the host may exit before it ends.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says that nothing has run.
    pub fn admit_while_draining(&self, limit: DurationMs) -> Result<(), ForwardRefusal> {
        match self.drain.get() {
            Some(drain) => drain.admit_within(limit, self.clock.now()),
            None => Ok(()),
        }
    }

    /// Shortens a wait to the time in which a host that shuts down still answers.
    pub fn wait_while_draining(&self, wait: DurationMs) -> DurationMs {
        match self.drain.get() {
            Some(drain) => wait.min(drain.time_left(self.clock.now())),
            None => wait,
        }
    }

    /// Monotonic clock of the host.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Serves callers on the address from the settings, within the limits of the active configuration.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn serve_callers(&self, handler: Arc<dyn Handler>) -> Result<JoinHandle<()>, HostError> {
        self.serve_within(self.settings.listen.callers, self.caller_limits.clone(), handler)
    }

    /// Serves `address` until the host stops.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn serve(&self, address: SocketAddr, handler: Arc<dyn Handler>) -> Result<JoinHandle<()>, HostError> {
        self.serve_within(address, initial_limits().into(), handler)
    }

    fn serve_within(
        &self,
        address: SocketAddr,
        limits: SharedLimits,
        handler: Arc<dyn Handler>,
    ) -> Result<JoinHandle<()>, HostError> {
        let listener = listen(address).context(ListenSnafu { address })?;
        let server = Server::new(limits, handler).with_budget(self.buffers.clone());
        let stopped = self.stop.stop_started();
        Ok(task::spawn(async move {
            if let Err(error) = server.serve(listener, stopped).await {
                LogEvent::ConnectionFailed.write(format_args!("listener {address}: {error}"));
            }
        }))
    }

    fn serve_peers(&self, components: &HostComponents) -> Result<(), HostError> {
        let handler = PeerHandler {
            membership: Arc::clone(&self.membership),
            cluster: Arc::clone(&self.cluster),
            batches: Arc::clone(&self.batches),
            usage: Arc::clone(&components.aggregator),
            cache: Arc::clone(&components.cache),
            lease: Arc::clone(&self.lease),
            wall: Arc::clone(&self.wall),
            product_store: Arc::clone(&components.product_store),
            platform_store: Arc::clone(&components.platform_store),
            streams: Arc::clone(&components.streams),
        };
        let limits = Limits {
            body_bytes: ByteSize::new(8_000_000),
            ..initial_limits()
        };
        self.serve_within(self.settings.listen.peers, limits.into(), Arc::new(handler))?;
        let metrics = MetricsHandler(Arc::clone(&self.observer));
        self.serve(self.settings.listen.metrics, Arc::new(metrics))?;
        Ok(())
    }
}

fn no_configuration() -> ForwardRefusal {
    ForwardRefusal {
        code: ResultCode::NotFresh,
        message: "no configuration is known yet".to_owned(),
        retry_after_ms: Some(DurationMs::new(300)),
    }
}
