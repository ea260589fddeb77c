//! Platform stand-in: a [`MemoryPlatform`] served over HTTP, with faults that can be changed while it runs.

mod handler;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_std::io;
use jm_platform::MemoryPlatform;
use jm_types::DurationMs;

use crate::{
    notify::{Notify, lock},
    recording::Recording,
    relay::RelayControl,
    server::{DEFAULT_RECORDED_BYTES, RelayedServer, any_loopback_port},
};

/// Configuration of a platform stand-in.
#[derive(Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The in-memory platform that the HTTP interface serves.
    pub platform: MemoryPlatform,
    /// Faults that are active from the start.
    pub faults: Faults,
    /// Maximum number of received bytes that are recorded, over all connections.
    pub max_recorded_bytes: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            platform: MemoryPlatform::default(),
            faults: Faults::default(),
            max_recorded_bytes: DEFAULT_RECORDED_BYTES,
        }
    }
}

/// Faults that the HTTP interface injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call, including a pending watch, gets status 503 and has no effect.
    pub down: bool,
    /// Delay before each call takes effect.
    pub delay_ms: DurationMs,
    /// The response to every n-th change is lost after the change took effect; 0 loses none.
    pub lose_every: u64,
    /// The responses to the next `lose_next` changes are lost after the changes took effect.
    pub lose_next: u64,
}

/// Kind of a platform call, used to count calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// Read of an object.
    Get,
    /// Write of an object.
    Put,
    /// Deletion of an object.
    Delete,
    /// Listing of objects.
    List,
    /// Watch; a call counts once, independent of its wait time.
    Watch,
    /// Read of the host list.
    Hosts,
    /// Order for a target.
    Order,
    /// Release of a target.
    Release,
    /// Read of the ordered targets.
    Targets,
    /// Usage report.
    Report,
    /// Read of a model's versions.
    Versions,
    /// Download of model weights.
    Fetch,
}

impl CallKind {
    /// Whether a call of this kind changes the platform's state.
    pub fn is_change(self) -> bool {
        matches!(
            self,
            Self::Put | Self::Delete | Self::Order | Self::Release | Self::Report
        )
    }
}

/// A running platform stand-in. Dropping it closes the listener and all connections.
pub struct PlatformServer {
    server: RelayedServer,
    state: Arc<PlatformState>,
}

pub(crate) struct PlatformState {
    platform: MemoryPlatform,
    relay: RelayControl,
    inner: Mutex<PlatformInner>,
    faults_changed: Notify,
}

struct PlatformInner {
    faults: Faults,
    calls: BTreeMap<CallKind, u64>,
    changes: u64,
}

impl PlatformServer {
    /// Starts a platform stand-in; fails when the address cannot be bound.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let mut started = None;
        let server = RelayedServer::start(options.listen, options.max_recorded_bytes, |relay| {
            let state = Arc::new(PlatformState::new(&options, relay));
            started = Some(Arc::clone(&state));
            Arc::new(handler::PlatformHandler::new(state))
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { server, state })
    }

    /// Address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.relay().address()
    }

    /// The in-memory platform, for direct access that bypasses the injected faults.
    pub fn platform(&self) -> &MemoryPlatform {
        &self.state.platform
    }

    /// Changes the faults; pending watches observe [`Faults::down`] at once.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state.inner).faults);
        self.state.faults_changed.notify();
    }

    /// Number of received calls by kind, including calls rejected because of [`Faults::down`].
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        lock(&self.state.inner).calls.clone()
    }

    /// Number of received calls, including calls rejected because of [`Faults::down`].
    pub fn total_calls(&self) -> u64 {
        lock(&self.state.inner).calls.values().sum()
    }

    /// Closes all connections and refuses new ones until [`PlatformServer::restart`].
    pub async fn crash(&self) {
        self.server.relay().close().await;
    }

    /// Accepts connections again after a crash. The address and the platform's state are unchanged.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.relay().open().await
    }

    /// The bytes received from callers so far.
    pub fn recording(&self) -> Recording {
        self.server.relay().recording()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl PlatformState {
    fn new(options: &PlatformOptions, relay: RelayControl) -> Self {
        let inner = PlatformInner {
            faults: options.faults,
            calls: BTreeMap::new(),
            changes: 0,
        };
        Self {
            platform: options.platform.clone(),
            relay,
            inner: Mutex::new(inner),
            faults_changed: Notify::default(),
        }
    }

    fn count(&self, kind: CallKind) -> Faults {
        let mut inner = lock(&self.inner);
        *inner.calls.entry(kind).or_default() += 1;
        inner.faults
    }

    fn is_down(&self) -> bool {
        lock(&self.inner).faults.down
    }

    async fn wait_until_down(&self) {
        loop {
            let changed = self.faults_changed.listen();
            if self.is_down() {
                return;
            }
            // A notification drops the sender, so the receiver resolves with `Canceled`.
            let _ = changed.await;
        }
    }

    /// Counts a change and returns whether its response is to be lost.
    fn should_lose_response(&self) -> bool {
        let mut inner = lock(&self.inner);
        inner.changes += 1;
        let every = inner.faults.lose_every;
        let is_next = inner.faults.lose_next > 0;
        inner.faults.lose_next = inner.faults.lose_next.saturating_sub(1);
        is_next || (every > 0 && inner.changes.is_multiple_of(every))
    }
}
