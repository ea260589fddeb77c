//! One host: its state, its listeners and its planned stop.

mod tasks;
mod watch;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task::{self, JoinHandle},
};
use async_trait::async_trait;
use jm_batch::{
    BatchService, BatchServiceDependencies, BatchServiceOptions, BatchStore, RoutingSource, RunnerOptions,
};
use jm_forward::{
    Access, CallerLimits, CallerRequest, ForwardRefusal, ForwardResult, Forwarder, ForwarderOptions,
    RetryOptions, Route, RoutingTable, SelectionOptions,
};
use jm_http::{Connection, Handler, Limits, Request, Response, Server, SharedLimits, listen};
use jm_member::AgentError;
use jm_node::{Stop, StopTrigger};
use jm_platform::ObjectStore;
use jm_types::{
    ByteSize, Clock, DurationMs, Incarnation, LogEvent, ResultCode, SystemClock, WallClock, ZoneId,
};
use snafu::{ResultExt, Snafu};

use crate::{
    HostObserver, HostSettings, Membership, Mirror, PlatformParts, RelayedStore,
    counted::CountedStore,
    duty::{LeaseView, UsageBook, UsageCounter, UsagePush},
    peer::{ObjectSpace, PeerClient, PeerHandler, Relay},
    world::World,
};

/// Why a host did not start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The failure detector cannot start.
    #[snafu(display("the failure detector cannot start: {source}"))]
    Members {
        /// The cause.
        source: AgentError,
    },
}

/// How long callers may keep an address list.
const ADDRESS_TTL_MS: DurationMs = DurationMs::new(2_000);
/// Time for which a leaving host goes on serving callers that still have its address.
const LINGER_MS: DurationMs = DurationMs::new(4_500);
/// Part of the grace time that is left unused.
const GRACE_MARGIN_MS: DurationMs = DurationMs::new(700);
/// Time for the last counts of a host that exits; part of the margin.
const LAST_PUSH_MS: DurationMs = DurationMs::new(300);
/// Time after which a batch's objects can go, beyond the time for which it can be read.
const BATCH_KEEP_MARGIN_MS: DurationMs = DurationMs::new(60_000);
/// Most callers connected at once.
const CALLER_CONNECTIONS: usize = 2_000;

/// What a host is started with.
pub struct HostParts {
    /// Checked settings.
    pub settings: HostSettings,
    /// The platform.
    pub platform: PlatformParts,
}

/// One host, running.
pub struct Host {
    settings: HostSettings,
    clock: Arc<dyn Clock>,
    wall: Arc<dyn WallClock>,
    world: Arc<World>,
    membership: Arc<Membership>,
    batches: Arc<BatchService>,
    forwarder: Forwarder,
    observer: Arc<HostObserver>,
    lease: Arc<LeaseView>,
    peers: Arc<PeerClient>,
    usage_push: Arc<UsagePush>,
    caller_limits: SharedLimits,
    changes: (Sender<()>, Receiver<()>),
    stop: Stop,
}

/// The parts of a host that its tasks need and its callers do not.
struct Wiring {
    product_store: Arc<RelayedStore>,
    platform_store: Arc<RelayedStore>,
    usage: Arc<UsageCounter>,
    book: Arc<UsageBook>,
    mirror: Arc<Mirror>,
    platform: PlatformParts,
}

/// Limits of callers' connections.
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

/// Limits before the first configuration is known.
fn first_limits() -> Limits {
    Limits {
        head_bytes: ByteSize::new(16_384),
        body_bytes: ByteSize::new(4_000_000),
        connections: CALLER_CONNECTIONS,
        ..Limits::default()
    }
}

impl Host {
    /// Starts the host's tasks and the listeners for metrics and other hosts. Callers are served once
    /// [`Self::serve_callers`] and [`Self::serve`] are called.
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
            // A full channel means that a look is due anyway.
            Box::new(move || {
                let _ = sender.try_send(());
            })
        };
        let incarnation = Incarnation::new(wall.unix_ms());
        let membership =
            Membership::start(&settings, incarnation, Arc::clone(&clock), on_change(&changes.0)).await;
        let membership = membership.context(MembersSnafu)?;
        let objects = Arc::clone(&platform.objects);
        let world = Arc::new(World::new(objects, Arc::clone(&clock), on_change(&changes.0)));
        let peers = Arc::new(PeerClient::new(Arc::clone(&membership)));
        let usage = Arc::new(UsageCounter::new(
            Arc::clone(&wall),
            settings.bounds.usage_window_ms,
        ));
        let observer = Arc::new(HostObserver::new(Arc::clone(&usage)));
        let relayed = |direct: &Arc<dyn ObjectStore>, space| -> Arc<RelayedStore> {
            let client = Arc::clone(&peers);
            let relay = Arc::new(Relay { client, space });
            let counted = CountedStore::new(Arc::clone(direct), observer.store_calls.clone());
            Arc::new(RelayedStore::new(Arc::new(counted), relay, Arc::clone(&clock)))
        };
        let wiring = Wiring {
            product_store: relayed(&platform.store, ObjectSpace::Product),
            platform_store: relayed(&platform.platform_store, ObjectSpace::Platform),
            usage,
            book: Arc::default(),
            mirror: Arc::new(Mirror::new(Arc::clone(&clock))),
            platform,
        };
        let batches = BatchService::new(
            BatchServiceOptions {
                local_member: settings.id.clone(),
                incarnation,
                runner: RunnerOptions::default(),
                retention_ms: settings.bounds.batch_keep_ms.saturating_add(BATCH_KEEP_MARGIN_MS),
            },
            BatchServiceDependencies {
                clock: Arc::clone(&clock),
                wall_clock: Arc::clone(&wall),
                store: BatchStore::new(Arc::clone(&wiring.product_store) as _),
                generator: Arc::clone(&wiring.platform.generator),
                routing_source: Arc::clone(&world) as _,
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
            Arc::clone(&wiring.platform.targets),
            Arc::clone(&observer) as _,
        );
        let lease: Arc<LeaseView> = Arc::default();
        let usage_push = Arc::new(UsagePush {
            counter: Arc::clone(&wiring.usage),
            book: Arc::clone(&wiring.book),
            membership: Arc::clone(&membership),
            peers: Arc::clone(&peers),
            lease: Arc::clone(&lease),
        });
        let (trigger, stop) = Stop::new();
        let host = Arc::new(Self {
            settings,
            clock,
            wall,
            world,
            membership,
            batches,
            forwarder,
            observer,
            lease,
            peers,
            usage_push,
            caller_limits: first_limits().into(),
            changes,
            stop,
        });
        host.serve_hosts(&wiring)?;
        host.start_tasks(wiring);
        LogEvent::DaemonStarting.write_fields(
            "the host starts",
            &[
                ("member", &host.settings.id.as_str()),
                ("zone", &host.settings.zone.as_str()),
                ("incarnation", &incarnation.get()),
            ],
        );
        Ok((host, trigger))
    }

    /// The settings.
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Whether callers are welcome: a configuration is known and the host is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.membership.is_leaving() && self.world.routing().is_some()
    }

    /// Addresses of hosts for a caller in a zone, and how long the caller may keep them.
    pub fn addresses(&self, zone: Option<&ZoneId>, limit: usize) -> (Vec<SocketAddr>, DurationMs) {
        (self.membership.caller_addresses(zone, limit), ADDRESS_TTL_MS)
    }

    /// The configuration in force.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.world.routing()
    }

    /// The batches.
    pub fn batches(&self) -> &Arc<BatchService> {
        &self.batches
    }

    /// Log lines and metrics.
    pub fn observer(&self) -> &HostObserver {
        &self.observer
    }

    /// The time of day in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.wall.unix_ms()
    }

    /// Finds the route of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a route or with a wrong key, and every request while no configuration is known.
    pub fn admit(
        &self,
        request: &CallerRequest,
    ) -> Result<(Route, Access, Arc<RoutingTable>), ForwardRefusal> {
        let table = self.world.routing().ok_or_else(no_configuration)?;
        let (route, access) = self.forwarder.admit(request, &table)?;
        Ok((route.clone(), access, table))
    }

    /// Sends an admitted request to targets until one answers.
    pub async fn forward(&self, request: &CallerRequest, route: &Route, access: &Access) -> ForwardResult {
        let catalog = self.world.catalog();
        self.forwarder.forward(request, route, access, &catalog).await
    }

    /// The boot clock.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Serves callers on their address, within the limits of the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn serve_callers(&self, handler: Arc<dyn Handler>) -> Result<JoinHandle<()>, HostError> {
        self.serve_within(self.settings.listen.callers, self.caller_limits.clone(), handler)
    }

    /// Serves an address until the host stops.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn serve(&self, address: SocketAddr, handler: Arc<dyn Handler>) -> Result<JoinHandle<()>, HostError> {
        self.serve_within(address, first_limits().into(), handler)
    }

    fn serve_within(
        &self,
        address: SocketAddr,
        limits: SharedLimits,
        handler: Arc<dyn Handler>,
    ) -> Result<JoinHandle<()>, HostError> {
        let listener = listen(address).context(ListenSnafu { address })?;
        let server = Server::new(limits, handler);
        let stopped = self.stop.stop_started();
        Ok(task::spawn(async move {
            if let Err(error) = server.serve(listener, stopped).await {
                LogEvent::ConnectionFailed.write(format_args!("listener {address}: {error}"));
            }
        }))
    }

    fn serve_hosts(&self, wiring: &Wiring) -> Result<(), HostError> {
        let handler = PeerHandler {
            membership: Arc::clone(&self.membership),
            world: Arc::clone(&self.world),
            batches: Arc::clone(&self.batches),
            usage: Arc::clone(&wiring.book),
            mirror: Arc::clone(&wiring.mirror),
            lease: Arc::clone(&self.lease),
            product_store: Arc::clone(&wiring.product_store),
            platform_store: Arc::clone(&wiring.platform_store),
        };
        let limits = Limits {
            body_bytes: ByteSize::new(8_000_000),
            ..first_limits()
        };
        self.serve_within(self.settings.listen.peers, limits.into(), Arc::new(handler))?;
        let metrics = MetricsHandler(Arc::clone(&self.observer));
        self.serve(self.settings.listen.metrics, Arc::new(metrics))?;
        Ok(())
    }

    /// Stops without cutting off a request: callers and hosts learn that this one leaves, its batches and duties pass
    /// to others, and open requests are finished.
    pub async fn stop(&self, trigger: StopTrigger, callers: Vec<JoinHandle<()>>) {
        LogEvent::DaemonStopping.write_fields(
            "the host leaves",
            &[("grace_ms", &self.settings.bounds.grace_ms.get())],
        );
        let begun = self.clock.now();
        self.membership.leave();
        trigger.leave();
        let usable_ms = self.settings.bounds.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let handover = async_std::future::timeout(LINGER_MS.as_std(), self.batches.hand_over()).await;
        if handover.is_err() {
            LogEvent::BatchStoreFailed
                .write("batches were not handed over in time; their next owners find out");
        }
        let linger_ms = LINGER_MS
            .min(usable_ms)
            .saturating_sub(self.clock.now().since(begun));
        task::sleep(linger_ms.as_std()).await;
        trigger.stop();
        let left = usable_ms.saturating_sub(self.clock.now().since(begun));
        let all = futures::future::join_all(callers);
        let finished = async_std::future::timeout(left.as_std(), all).await.is_ok();
        let last_push = self.usage_push.send_last();
        if async_std::future::timeout(LAST_PUSH_MS.as_std(), last_push)
            .await
            .is_err()
        {
            LogEvent::WindowDelayed.write("the last counts were not taken in time and are lost");
        }
        LogEvent::DaemonStopped.write_fields(
            "the host exits",
            &[("finished_all_requests", &finished.to_string().as_str())],
        );
        // The writer of the log has its own thread and needs a moment for the last line.
        task::sleep(Duration::from_millis(20)).await;
    }
}

fn no_configuration() -> ForwardRefusal {
    ForwardRefusal {
        code: ResultCode::NotFresh,
        message: "no configuration is known yet".to_owned(),
        retry_after_ms: Some(DurationMs::new(300)),
    }
}

/// Serves the metrics on every path.
struct MetricsHandler(Arc<HostObserver>);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _request: Request, _connection: &Connection) -> Response {
        let mut response = Response::new(200);
        response.set_body(self.0.render());
        response.insert_header("content-type", "text/plain; version=0.0.4");
        response
    }
}
