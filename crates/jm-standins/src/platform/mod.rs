//! The platform over HTTP, with faults that can be changed while it runs.

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
    front::{Front, RECORDED_BYTES, any_loopback_port},
    notify::{Notify, lock},
    recording::Recording,
    relay::RelayControl,
};

/// How a platform stand-in is started.
#[derive(Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The state behind the interface.
    pub platform: MemoryPlatform,
    /// Faults at the start.
    pub faults: Faults,
    /// Most bytes of received requests that are recorded.
    pub max_recorded_bytes: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            platform: MemoryPlatform::default(),
            faults: Faults::default(),
            max_recorded_bytes: RECORDED_BYTES,
        }
    }
}

/// What goes wrong at the interface.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// All calls, waiting watches included, are answered with status 503 and have no effect.
    pub down: bool,
    /// Each call waits this long before it takes effect.
    pub delay_ms: DurationMs,
    /// The answer to every n-th change is lost after the change took effect; 0 loses none.
    pub lose_every: u64,
    /// The answers to this many changes from now on are lost after the change took effect.
    pub lose_next: u64,
}

/// Kind of a call, for counting.
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
    /// Watch; it counts once, however long it waits.
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
    /// Fetch of weights.
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

/// A running platform stand-in. Dropping it closes all connections.
pub struct PlatformServer {
    front: Front,
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
    /// Starts a platform stand-in.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let mut started = None;
        let front = Front::start(options.listen, options.max_recorded_bytes, |relay| {
            let state = Arc::new(PlatformState::new(&options, relay));
            started = Some(Arc::clone(&state));
            Arc::new(handler::PlatformHandler::new(state))
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { front, state })
    }

    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.front.relay().address()
    }

    /// The state behind the interface, not subject to the faults.
    pub fn platform(&self) -> &MemoryPlatform {
        &self.state.platform
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state.inner).faults);
        self.state.faults_changed.notify();
    }

    /// Number of calls received by kind, refused ones included.
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        lock(&self.state.inner).calls.clone()
    }

    /// Number of calls received, refused ones included.
    pub fn total_calls(&self) -> u64 {
        lock(&self.state.inner).calls.values().sum()
    }

    /// Ends all connections and refuses later ones until [`PlatformServer::restart`].
    pub async fn crash(&self) {
        self.front.relay().close().await;
    }

    /// Accepts connections again after a crash, at the same address and with the same state.
    pub async fn restart(&self) -> io::Result<()> {
        self.front.relay().open().await
    }

    /// What callers have sent.
    pub fn recording(&self) -> Recording {
        self.front.relay().recording()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.front.stop().await;
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

    async fn until_down(&self) {
        loop {
            let changed = self.faults_changed.listen();
            if self.is_down() {
                return;
            }
            // A notification drops the sender, which ends the wait with an error.
            let _ = changed.await;
        }
    }

    /// Whether the answer to the change that was just made gets lost.
    fn loses_answer(&self) -> bool {
        let mut inner = lock(&self.inner);
        inner.changes += 1;
        let every = inner.faults.lose_every;
        let is_next = inner.faults.lose_next > 0;
        inner.faults.lose_next = inner.faults.lose_next.saturating_sub(1);
        is_next || (every > 0 && inner.changes.is_multiple_of(every))
    }
}
