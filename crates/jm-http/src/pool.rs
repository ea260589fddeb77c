//! Connection pool of a client: limits the number of open connections and reuses idle ones.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::Poll,
    time::{Duration, Instant},
};

use async_std::{
    channel::{Receiver, Sender, TrySendError, bounded},
    io,
    net::TcpStream,
    task,
};
use futures::{FutureExt, future::poll_fn};
use indexmap::IndexMap;

use crate::{Limits, stream::BufferedStream};

/// Maximum idle connections per address. More would only help after a burst, and opening a connection costs just one
/// round trip.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Time before the peer's idle timeout at which a connection is discarded, so that a request does not race with the
/// peer closing it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// An open connection. It counts towards the connection limit until it is dropped.
pub(crate) struct ClientConnection {
    pub(crate) stream: BufferedStream,
    /// Idle timeout that the peer announced, less [`IDLE_MARGIN`]. `None` when the peer announced none.
    idle_timeout: Option<Duration>,
    _slot: Slot,
}

impl ClientConnection {
    pub(crate) fn set_idle_timeout(&mut self, announced: Option<Duration>) {
        self.idle_timeout = announced.map(|announced| announced.saturating_sub(IDLE_MARGIN));
    }
}

struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
}

/// Permit for one open connection.
struct Slot {
    taken: Receiver<()>,
}

impl IdleConnection {
    /// Whether the connection can carry another request: its idle timeout has not passed, and the peer has neither
    /// closed it nor sent unexpected bytes.
    fn is_usable(&mut self, idle_timeout: Duration) -> bool {
        let announced = self.connection.idle_timeout.unwrap_or(idle_timeout);
        self.since.elapsed() < idle_timeout.min(announced) && is_open_and_idle(&mut self.connection.stream)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let _ = self.taken.try_recv();
    }
}

#[derive(Default)]
struct Idle {
    by_address: IndexMap<String, Vec<IdleConnection>>,
    sweep_scheduled: bool,
}

pub(crate) struct Pool {
    idle: Mutex<Idle>,
    /// Holds one message for each open connection.
    slots: (Sender<()>, Receiver<()>),
    idle_timeout: Duration,
    connect_timeout: Duration,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("open", &self.slots.0.len()).finish()
    }
}

impl Pool {
    pub(crate) fn new(limits: &Limits) -> Self {
        Self {
            idle: Mutex::default(),
            slots: bounded(limits.connections.max(1)),
            idle_timeout: limits.idle_timeout_ms.as_std(),
            connect_timeout: limits.connect_timeout_ms.as_std(),
        }
    }

    /// Takes an idle connection to `address` out of the pool. Connections that the peer has closed are skipped.
    pub(crate) fn take(&self, address: &str) -> Option<ClientConnection> {
        let mut idle = self.idle();
        let connections = idle.by_address.get_mut(address)?;
        while let Some(mut candidate) = connections.pop() {
            if candidate.is_usable(self.idle_timeout) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection. Fails when connecting takes longer than the connect timeout, or when no slot becomes free
    /// within that time.
    pub(crate) async fn open(&self, address: &str) -> io::Result<ClientConnection> {
        let slot = self.slot().await?;
        let stream = io::timeout(self.connect_timeout, TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        Ok(ClientConnection {
            stream: BufferedStream::new(stream),
            idle_timeout: None,
            _slot: slot,
        })
    }

    async fn slot(&self) -> io::Result<Slot> {
        if let Err(TrySendError::Full(())) = self.slots.0.try_send(()) {
            drop(self.remove_oldest());
            let send = self.slots.0.send(()).map(|sent| sent.map_err(io::Error::other));
            let limit_reached = |_| {
                io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the connection limit of the client is reached",
                )
            };
            io::timeout(self.connect_timeout, send)
                .await
                .map_err(limit_reached)?;
        }
        Ok(Slot {
            taken: self.slots.1.clone(),
        })
    }

    fn remove_oldest(&self) -> Option<IdleConnection> {
        let mut idle = self.idle();
        let non_empty = idle.by_address.values_mut().filter(|list| !list.is_empty());
        let oldest = non_empty.min_by_key(|list| list[0].since)?;
        Some(oldest.remove(0))
    }

    /// Returns a connection to the pool after its last response has been read completely.
    pub(crate) fn put(self: &Arc<Self>, address: &str, mut connection: ClientConnection) {
        // At the connection limit, an idle connection could block a request to another address.
        if self.slots.0.is_full() || !is_open_and_idle(&mut connection.stream) {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle();
        let connections = idle.by_address.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, since });
        }
        if !idle.sweep_scheduled {
            idle.sweep_scheduled = true;
            task::spawn(sweep(Arc::downgrade(self), self.idle_timeout));
        }
    }

    /// Closes idle connections that have expired or that the peer has closed. Returns whether any idle connection
    /// remains.
    fn remove_expired(&self) -> bool {
        let mut idle = self.idle();
        for connections in idle.by_address.values_mut() {
            connections.retain_mut(|candidate| candidate.is_usable(self.idle_timeout));
        }
        idle.by_address.retain(|_, connections| !connections.is_empty());
        idle.sweep_scheduled = !idle.by_address.is_empty();
        idle.sweep_scheduled
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        // No code can panic between two related changes under this lock, so a poisoned lock is still consistent.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes expired connections periodically until none is idle, so that an unused client holds no connections.
async fn sweep(pool: Weak<Pool>, interval: Duration) {
    loop {
        task::sleep(interval).await;
        let Some(pool) = pool.upgrade() else { return };
        if !pool.remove_expired() {
            return;
        }
    }
}

/// Whether the peer has neither closed the connection nor sent anything since the last response.
fn is_open_and_idle(stream: &mut BufferedStream) -> bool {
    if !stream.data().is_empty() {
        return false;
    }
    let read = poll_fn(|cx| Poll::Ready(stream.poll_fill(cx).is_pending()));
    read.now_or_never().unwrap_or(false)
}
