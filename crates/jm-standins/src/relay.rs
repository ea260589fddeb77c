//! TCP relay between two addresses that injects network faults. Each HTTP stand-in also runs a relay in front of its
//! server, which records the received bytes and can close connections without a response.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr},
    sync::{Arc, Mutex},
};

use async_std::{
    io::{self, ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use futures::{FutureExt, channel::oneshot, select};
use jm_types::DurationMs;

use crate::{
    notify::{Notify, lock},
    recording::{Recorder, Recording},
};

const BUFFER_BYTES: usize = 16 * 1024;

/// One direction of the connections through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
}

/// How a relay treats the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes are forwarded immediately.
    #[default]
    Open,
    /// Each chunk read from the sender is forwarded after this delay.
    Delay(DurationMs),
    /// Bytes are withheld until another flow is set.
    Hold,
    /// Bytes are dropped, and the receiver reads the end of the stream.
    Cut,
}

/// A relay from its own address to a target. Dropping it closes the listener and all connections.
pub struct Relay {
    control: RelayControl,
}

/// Shared handle to the state of a relay.
#[derive(Clone)]
pub(crate) struct RelayControl {
    state: Arc<RelayState>,
}

struct RelayState {
    address: SocketAddr,
    target: SocketAddr,
    flows: Mutex<Flows>,
    changed: Notify,
    connections: Mutex<Connections>,
    recorder: Recorder,
    accept_loop: Mutex<Option<AcceptLoop>>,
}

#[derive(Clone, Copy, Default)]
struct Flows {
    to_target: Flow,
    to_caller: Flow,
}

#[derive(Default)]
struct Connections {
    open: BTreeMap<SocketAddr, RelayedConnection>,
    /// Incremented by each cut, so that a cut also closes a connection that is still connecting to the target.
    cut_count: u64,
}

#[derive(Clone)]
struct RelayedConnection {
    caller: TcpStream,
    target: TcpStream,
}

struct AcceptLoop {
    _stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and relays each connection to `target`. Records up to `max_recorded_bytes` bytes of what
    /// callers send, over all connections.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        max_recorded_bytes: usize,
    ) -> io::Result<Self> {
        let listener = jm_http::listen(listen)?;
        let state = RelayState {
            address: listener.local_addr()?,
            target,
            flows: Mutex::default(),
            changed: Notify::default(),
            connections: Mutex::default(),
            recorder: Recorder::new(max_recorded_bytes),
            accept_loop: Mutex::default(),
        };
        let control = RelayControl {
            state: Arc::new(state),
        };
        control.accept_on(listener);
        Ok(Self { control })
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.control.state.address
    }

    /// Sets the flow of one direction, for open and new connections.
    pub fn set_flow(&self, direction: Direction, flow: Flow) {
        self.control.set_flow(direction, flow);
    }

    /// Closes all open connections; new ones are accepted.
    pub fn cut_connections(&self) {
        self.control.cut_connections();
    }

    /// Closes all connections and refuses new ones until [`Relay::open`].
    pub async fn close(&self) {
        self.control.close().await;
    }

    /// Accepts connections again at the same address; fails when the address cannot be bound.
    pub async fn open(&self) -> io::Result<()> {
        self.control.open().await
    }

    /// The bytes received from callers so far.
    pub fn recording(&self) -> Recording {
        self.control.state.recorder.recording()
    }

    pub(crate) fn control(&self) -> RelayControl {
        self.control.clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        drop(self.control.stop_accepting());
        self.control.cut_connections();
    }
}

impl RelayControl {
    fn accept_on(&self, listener: TcpListener) {
        let (stop, stopped) = oneshot::channel();
        let task = task::spawn(accept_until(listener, self.clone(), stopped));
        *lock(&self.state.accept_loop) = Some(AcceptLoop { _stop: stop, task });
    }

    /// Stops the accept loop. The returned task completes when the listener is closed.
    fn stop_accepting(&self) -> Option<JoinHandle<()>> {
        lock(&self.state.accept_loop)
            .take()
            .map(|accept_loop| accept_loop.task)
    }

    fn set_flow(&self, direction: Direction, flow: Flow) {
        {
            let mut flows = lock(&self.state.flows);
            match direction {
                Direction::ToTarget => flows.to_target = flow,
                Direction::ToCaller => flows.to_caller = flow,
            }
        }
        if flow == Flow::Cut {
            for connection in lock(&self.state.connections).open.values() {
                connection.shut_down(direction);
            }
        }
        self.state.changed.notify();
    }

    fn flow(&self, direction: Direction) -> Flow {
        let flows = lock(&self.state.flows);
        match direction {
            Direction::ToTarget => flows.to_target,
            Direction::ToCaller => flows.to_caller,
        }
    }

    pub(crate) fn cut_connections(&self) {
        let mut connections = lock(&self.state.connections);
        connections.cut_count += 1;
        for connection in std::mem::take(&mut connections.open).into_values() {
            connection.close();
        }
        drop(connections);
        self.state.changed.notify();
    }

    pub(crate) async fn close(&self) {
        if let Some(task) = self.stop_accepting() {
            task.await;
        }
        self.cut_connections();
    }

    pub(crate) async fn open(&self) -> io::Result<()> {
        let listener = jm_http::listen(self.state.address)?;
        self.accept_on(listener);
        Ok(())
    }

    /// Closes a connection without a response. `peer` is the address that the server behind the relay sees as its peer.
    pub(crate) fn cut(&self, peer: Option<SocketAddr>) {
        if let Some(connection) = self.remove(peer) {
            connection.close();
        }
    }

    /// Writes `response` to the caller unmodified and closes the connection.
    pub(crate) async fn send_raw_response(&self, peer: Option<SocketAddr>, response: &[u8]) {
        let Some(connection) = self.remove(peer) else {
            return;
        };
        let mut caller = connection.caller.clone();
        // The caller may have disconnected already; then the response is discarded.
        let _ = caller.write_all(response).await;
        connection.close();
    }

    fn remove(&self, peer: Option<SocketAddr>) -> Option<RelayedConnection> {
        lock(&self.state.connections).open.remove(&peer?)
    }

    fn cut_count(&self) -> u64 {
        lock(&self.state.connections).cut_count
    }

    /// Registers a connection, or closes it when the cut counter has changed since the connection was accepted.
    fn add(&self, peer: SocketAddr, connection: &RelayedConnection, cut_count: u64) {
        let mut connections = lock(&self.state.connections);
        if connections.cut_count != cut_count {
            connection.close();
            return;
        }
        connections.open.insert(peer, connection.clone());
        for direction in [Direction::ToTarget, Direction::ToCaller] {
            if self.flow(direction) == Flow::Cut {
                connection.shut_down(direction);
            }
        }
    }

    async fn relay(&self, caller: TcpStream, cut_count: u64) -> io::Result<()> {
        let target = TcpStream::connect(self.state.target).await?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let peer = target.local_addr()?;
        let connection = RelayedConnection { caller, target };
        self.add(peer, &connection, cut_count);
        let to_target = self.forward(&connection, Direction::ToTarget);
        let to_caller = self.forward(&connection, Direction::ToCaller);
        futures::future::join(to_target, to_caller).await;
        lock(&self.state.connections).open.remove(&peer);
        Ok(())
    }

    async fn forward(&self, connection: &RelayedConnection, direction: Direction) {
        let (from, mut to) = connection.endpoints(direction);
        let mut reader = from.clone();
        let mut record = (direction == Direction::ToTarget).then(|| self.state.recorder.connection());
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length @ 1..) = reader.read(&mut buffer).await {
            if let Some(record) = &mut record {
                record.append(&buffer[..length]);
            }
            let flow = self.wait_until_released(direction).await;
            if let Flow::Delay(delay_ms) = flow {
                task::sleep(delay_ms.as_std()).await;
            }
            if flow == Flow::Cut || to.write_all(&buffer[..length]).await.is_err() {
                // Closes the sender's stream, so that the sender observes that its bytes are not delivered.
                let _ = from.shutdown(Shutdown::Both);
                break;
            }
        }
        connection.shut_down(direction);
    }

    async fn wait_until_released(&self, direction: Direction) -> Flow {
        loop {
            let changed = self.state.changed.listen();
            match self.flow(direction) {
                Flow::Hold => drop(changed.await),
                flow => return flow,
            }
        }
    }
}

impl RelayedConnection {
    fn endpoints(&self, direction: Direction) -> (TcpStream, TcpStream) {
        match direction {
            Direction::ToTarget => (self.caller.clone(), self.target.clone()),
            Direction::ToCaller => (self.target.clone(), self.caller.clone()),
        }
    }

    /// Shuts down the stream to the receiver of `direction`. An error means that the stream is closed already.
    fn shut_down(&self, direction: Direction) {
        let (_, to) = self.endpoints(direction);
        let _ = to.shutdown(Shutdown::Write);
    }

    fn close(&self) {
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

async fn accept_until(listener: TcpListener, control: RelayControl, stopped: oneshot::Receiver<()>) {
    let mut stopped = stopped.fuse();
    loop {
        let accepted = select! {
            accepted = listener.accept().fuse() => accepted,
            _ = stopped => return,
        };
        let Ok((caller, _)) = accepted else { continue };
        let control = control.clone();
        let cut_count = control.cut_count();
        // When the target is unreachable, the caller's connection is closed, as on a failed network link.
        task::spawn(async move { control.relay(caller, cut_count).await });
    }
}
