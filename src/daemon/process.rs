//! Starting and stopping the daemons of one process.

use std::{net::SocketAddr, sync::Arc};

use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use jm_config::{Role, Settings};
use jm_control::{Control, ControlOptions};
use jm_dispatch::{Dispatch, DispatchOptions};
use jm_entry::{Entry, EntryOptions};
use jm_http::{Handler, Limits, Server, Url, listen};
use jm_link::{FleetSecret, LinkHandler, LinkOptions, LinkServer};
use jm_node::{AdminHandler, ConfigReplica, Node, NodeOptions, Platform, Stop, StopTrigger, exchange_hellos};
use jm_platform::HttpPlatform;
use jm_types::{DurationMs, LogEvent, SystemClock};
use snafu::{OptionExt, ResultExt};

use super::error::{ListenSnafu, MissingRoleSnafu, MissingSectionSnafu, PlatformAddressSnafu, StartError};

/// Time for the leave announcement to reach the other daemons and for them to take over the targets of this process.
/// It covers the handover of 1.5 s and one exchange of load reports before and one after the handover. The time for
/// which callers cache addresses is added to it.
const LEAVE_PROPAGATION_MS: DurationMs = DurationMs::new(3_000);

/// Interval between readiness checks in [`Process::ready`].
const READY_POLL_MS: DurationMs = DurationMs::new(20);

/// Inputs of [`Process::start`].
pub struct ProcessOptions {
    /// Validated settings of the process.
    pub settings: Settings,
    /// The roles to start; each must be listed in the settings.
    pub roles: Vec<Role>,
    /// Clients of the users' platform.
    pub platform: Platform,
}

/// The running daemons of one process, one for each started role.
pub struct Process {
    node: Arc<Node>,
    trigger: StopTrigger,
    entry: Option<Arc<Entry>>,
    dispatch: Option<Arc<Dispatch>>,
    control: Option<Arc<Control>>,
    servers: Vec<JoinHandle<()>>,
}

impl Process {
    /// Binds every listener, then starts the daemons.
    ///
    /// # Errors
    ///
    /// Fails when a role is not in the settings or an address cannot be bound. No daemon is running then.
    pub fn start(options: ProcessOptions) -> Result<Self, StartError> {
        let mut settings = options.settings;
        for role in &options.roles {
            snafu::ensure!(
                settings.daemon.roles.contains(role),
                MissingRoleSnafu { role: *role }
            );
        }
        settings.daemon.roles = options.roles;
        let listeners = Listeners::bind(&settings)?;
        let (trigger, stop) = Stop::new();
        let clock = Arc::new(SystemClock);
        let node = Node::new(NodeOptions {
            settings,
            platform: options.platform,
            clock,
            stop,
        });
        LogEvent::DaemonStarting.write(format_args!("daemon {}", node.peers.own_id()));
        let mut process = Self {
            node,
            trigger,
            entry: None,
            dispatch: None,
            control: None,
            servers: Vec::new(),
        };
        process.start_daemons(listeners);
        process.start_shared_tasks();
        Ok(process)
    }

    /// State that all daemons of the process share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Waits until the configuration of this process is confirmed to be current.
    pub async fn ready(&self) {
        while !self.node.is_fresh() {
            task::sleep(READY_POLL_MS.as_std()).await;
        }
        LogEvent::DaemonReady.write(format_args!("daemon {}", self.node.peers.own_id()));
    }

    /// Stops the process gracefully. It announces that it leaves, waits until callers no longer use its addresses, and
    /// then finishes the open requests.
    pub async fn stop(self) {
        LogEvent::DaemonStopping.write(format_args!("daemon {}", self.node.peers.own_id()));
        self.trigger.leave();
        self.node.announce_leaving().await;
        let keep_s = self.node.settings.entry.as_ref().map_or(0, |entry| entry.keep_s);
        let keep_ms = DurationMs::new(keep_s * 1_000).saturating_add(LEAVE_PROPAGATION_MS);
        task::sleep(keep_ms.as_std()).await;
        self.trigger.stop();
        for server in self.servers {
            server.await;
        }
        if let Some(dispatch) = &self.dispatch {
            dispatch.drain_requests().await;
            if !dispatch.flush_usage().await {
                LogEvent::WindowDelayed
                    .write("the object store did not accept the last usage counts, which are lost");
            }
        }
        if let Some(control) = &self.control {
            control.release_leases().await;
        }
        self.node.deregister().await;
        LogEvent::DaemonStopped.write(format_args!("daemon {}", self.node.peers.own_id()));
    }

    fn start_daemons(&mut self, listeners: Listeners) {
        let common: Arc<dyn Handler> = Arc::new(AdminHandler::new(Arc::clone(&self.node)));
        if let Some((callers, admin)) = listeners.entry {
            let entry = Entry::new(Arc::clone(&self.node), EntryOptions::default());
            self.serve_http(callers, entry.caller_handler());
            self.serve_http(admin, entry.admin_handler());
            self.entry = Some(entry);
        }
        if let Some((link, admin)) = listeners.dispatch {
            let dispatch = Dispatch::new(Arc::clone(&self.node), DispatchOptions::default());
            dispatch.start();
            self.serve_link(link, dispatch.link_handler());
            self.serve_http(admin, Arc::clone(&common));
            self.dispatch = Some(dispatch);
        }
        if let Some((link, admin)) = listeners.control {
            let control = Control::new(Arc::clone(&self.node), ControlOptions::default());
            control.start();
            self.serve_link(link, control.link_handler());
            self.serve_http(admin, common);
            self.control = Some(control);
        }
    }

    fn start_shared_tasks(&self) {
        task::spawn(ConfigReplica::follow(Arc::clone(&self.node)));
        task::spawn(Arc::clone(&self.node).maintain_registration());
        task::spawn(exchange_hellos(Arc::clone(&self.node)));
    }

    fn serve_http(&mut self, listener: TcpListener, handler: Arc<dyn Handler>) {
        let server = Server::new(self.node.settings.limits.clone(), handler);
        let stopped = self.node.stop.stop_started();
        self.servers.push(task::spawn(async move {
            if let Err(error) = server.serve(listener, stopped).await {
                LogEvent::ConnectionFailed.write(format_args!("HTTP listener: {error}"));
            }
        }));
    }

    /// [`Process::stop`] does not wait for this server. The dispatch daemon counts the open requests of link
    /// connections and waits for them.
    fn serve_link(&self, listener: TcpListener, handler: Arc<dyn LinkHandler>) {
        let secret = FleetSecret::new(self.node.settings.link.secret.expose().to_vec());
        let server = Arc::new(LinkServer::new(secret, LinkOptions::default(), handler));
        task::spawn(server.serve(listener, self.node.stop.stop_started()));
    }
}

type ListenerPair = Option<(TcpListener, TcpListener)>;

/// Caller or link listener and admin listener of each role. All are bound before a daemon starts, so that an address in
/// use does not leave some daemons running.
struct Listeners {
    entry: ListenerPair,
    dispatch: ListenerPair,
    control: ListenerPair,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, StartError> {
        let mut listeners = Self {
            entry: None,
            dispatch: None,
            control: None,
        };
        for role in &settings.daemon.roles {
            let missing = MissingSectionSnafu { role: *role };
            match role {
                Role::Entry => {
                    let entry = settings.entry.as_ref().context(missing)?;
                    listeners.entry = Some(bind_pair(entry.listen, entry.admin_listen)?);
                }
                Role::Dispatch => {
                    let dispatch = settings.dispatch.as_ref().context(missing)?;
                    listeners.dispatch = Some(bind_pair(dispatch.link_listen, dispatch.admin_listen)?);
                }
                Role::Control => {
                    let control = settings.control.as_ref().context(missing)?;
                    listeners.control = Some(bind_pair(control.link_listen, control.admin_listen)?);
                }
            }
        }
        Ok(listeners)
    }
}

fn bind_pair(first: SocketAddr, second: SocketAddr) -> Result<(TcpListener, TcpListener), StartError> {
    let first = listen(first).context(ListenSnafu { address: first })?;
    let second = listen(second).context(ListenSnafu { address: second })?;
    Ok((first, second))
}

/// Returns HTTP clients for the platform URLs in the settings.
///
/// # Errors
///
/// Fails when a URL contains a host name instead of an IP address, because the daemons do not resolve names.
pub fn http_platform(settings: &Settings) -> Result<Platform, StartError> {
    let client = |url: &Url| platform_client(url, &settings.limits);
    Ok(Platform {
        objects: client(&settings.platform.object_url)?,
        hosts: client(&settings.platform.host_list_url)?,
        targets: client(&settings.platform.targets_url)?,
        usage: client(&settings.platform.usage_url)?,
        weights: client(&settings.platform.weights_url)?,
    })
}

fn platform_client(url: &Url, limits: &Limits) -> Result<Arc<HttpPlatform>, StartError> {
    let address = url
        .socket_addrs(|| None)
        .ok()
        .and_then(|addresses| addresses.first().copied());
    let address = address.context(PlatformAddressSnafu { url: url.to_string() })?;
    Ok(Arc::new(HttpPlatform::new(address, limits.clone())))
}
