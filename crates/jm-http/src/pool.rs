//! Connections of a client: a bound on all of them, and idle ones that can be used again.

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

/// Most idle connections to one address. More are only needed after a burst, and opening one takes a round trip.
const IDLE_PER_ADDRESS: usize = 16;

/// Time by which a connection is given up before the peer closes it, so that a request and the close do not cross.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// An open connection; it counts against the limit until it is dropped.
pub(crate) struct ClientConnection {
    pub(crate) stream: BufferedStream,
    /// How long the peer keeps it open without a request, less a margin for the way there.
    idle_timeout: Option<Duration>,
    _slot: Slot,
}

impl ClientConnection {
    /// Takes note of the time that the peer stated.
    pub(crate) fn set_idle_timeout(&mut self, stated: Option<Duration>) {
        self.idle_timeout = stated.map(|stated| stated.saturating_sub(IDLE_MARGIN));
    }
}

struct IdleConnection {
    connection: ClientConnection,
    since: Instant,
}

/// One of the connections that may be open at once.
struct Slot {
    taken: Receiver<()>,
}

impl IdleConnection {
    /// Whether it can carry a request: the peer keeps it, and has neither closed it nor sent anything.
    fn is_usable(&mut self, idle_timeout: Duration) -> bool {
        let stated = self.connection.idle_timeout.unwrap_or(idle_timeout);
        self.since.elapsed() < idle_timeout.min(stated) && is_open_and_silent(&mut self.connection.stream)
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
    is_swept: bool,
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

    /// An idle connection to `address` that the peer has not closed as far as is known.
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

    /// Opens a connection, or fails when that takes longer than the connect timeout or when all connections are in use
    /// for that long.
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
            let all_in_use = |_| io::Error::new(io::ErrorKind::TimedOut, "all connections are in use");
            io::timeout(self.connect_timeout, send)
                .await
                .map_err(all_in_use)?;
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

    /// Keeps a connection whose last answer has been read to its end.
    pub(crate) fn put(self: &Arc<Self>, address: &str, mut connection: ClientConnection) {
        // At the limit a kept connection could hold up a request to another address.
        if self.slots.0.is_full() || !is_open_and_silent(&mut connection.stream) {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle();
        let connections = idle.by_address.entry(address.to_owned()).or_default();
        if connections.len() < IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, since });
        }
        if !idle.is_swept {
            idle.is_swept = true;
            task::spawn(sweep(Arc::downgrade(self), self.idle_timeout));
        }
    }

    /// Closes connections that were idle for too long or that the peer has closed; true when some are left.
    fn remove_expired(&self) -> bool {
        let mut idle = self.idle();
        for connections in idle.by_address.values_mut() {
            connections.retain_mut(|candidate| candidate.is_usable(self.idle_timeout));
        }
        idle.by_address.retain(|_, connections| !connections.is_empty());
        idle.is_swept = !idle.by_address.is_empty();
        idle.is_swept
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        // No code panics while it holds the lock and leaves the list half changed.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs while there are idle connections, so that a client without requests holds none.
async fn sweep(pool: Weak<Pool>, interval: Duration) {
    loop {
        task::sleep(interval).await;
        let Some(pool) = pool.upgrade() else { return };
        if !pool.remove_expired() {
            return;
        }
    }
}

/// Whether the peer has neither closed nor sent anything since the last answer.
fn is_open_and_silent(stream: &mut BufferedStream) -> bool {
    if !stream.data().is_empty() {
        return false;
    }
    let read = poll_fn(|cx| Poll::Ready(stream.poll_fill(cx).is_pending()));
    read.now_or_never().unwrap_or(false)
}
