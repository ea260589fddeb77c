//! A TCP relay between two addresses, for link faults. Each HTTP stand-in also has one in front of its server, where it
//! records the bytes received and closes connections without an answer.

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

/// What happens to the bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Open,
    /// Each piece of them passes after this time.
    Delay(DurationMs),
    /// They wait until the flow is open again.
    Hold,
    /// They are dropped, and the receiver sees the end of the stream.
    Cut,
}

/// A relay from its own address to a target. Dropping it closes all its connections.
pub struct Relay {
    control: RelayControl,
}

/// Shared access to a relay.
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
    accepting: Mutex<Option<Accepting>>,
}

#[derive(Clone, Copy, Default)]
struct Flows {
    to_target: Flow,
    to_caller: Flow,
}

#[derive(Default)]
struct Connections {
    open: BTreeMap<SocketAddr, Link>,
    /// Grows with each cut, so that a cut also ends a connection whose target is still being connected to.
    cuts: u64,
}

#[derive(Clone)]
struct Link {
    caller: TcpStream,
    target: TcpStream,
}

struct Accepting {
    _stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and passes each connection on to `target`. Records up to `max_recorded_bytes` of what callers
    /// send.
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
            accepting: Mutex::default(),
        };
        let control = RelayControl {
            state: Arc::new(state),
        };
        control.accept_on(listener);
        Ok(Self { control })
    }

    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.control.state.address
    }

    /// Sets the flow of one direction for open and for later connections.
    pub fn set_flow(&self, direction: Direction, flow: Flow) {
        self.control.set_flow(direction, flow);
    }

    /// Closes all open connections; later ones are accepted.
    pub fn cut_connections(&self) {
        self.control.cut_connections();
    }

    /// Closes all connections and refuses later ones until [`Relay::open`].
    pub async fn close(&self) {
        self.control.close().await;
    }

    /// Accepts connections again at the same address.
    pub async fn open(&self) -> io::Result<()> {
        self.control.open().await
    }

    /// What callers have sent.
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
        *lock(&self.state.accepting) = Some(Accepting { _stop: stop, task });
    }

    /// Ends the accept loop; the task returned ends when the listener is closed.
    fn stop_accepting(&self) -> Option<JoinHandle<()>> {
        lock(&self.state.accepting).take().map(|accepting| accepting.task)
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
            for link in lock(&self.state.connections).open.values() {
                link.end(direction);
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
        connections.cuts += 1;
        for link in std::mem::take(&mut connections.open).into_values() {
            link.close();
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

    /// Closes the connection that the server behind the relay knows by `peer`, without an answer.
    pub(crate) fn cut(&self, peer: Option<SocketAddr>) {
        if let Some(link) = self.take(peer) {
            link.close();
        }
    }

    /// Writes `answer` to the caller as it is and closes the connection.
    pub(crate) async fn answer_raw(&self, peer: Option<SocketAddr>, answer: &[u8]) {
        let Some(link) = self.take(peer) else { return };
        let mut caller = link.caller.clone();
        // The caller may be gone already, and then there is nobody to answer.
        let _ = caller.write_all(answer).await;
        link.close();
    }

    fn take(&self, peer: Option<SocketAddr>) -> Option<Link> {
        lock(&self.state.connections).open.remove(&peer?)
    }

    fn cuts(&self) -> u64 {
        lock(&self.state.connections).cuts
    }

    /// Adds a connection that was accepted when `cuts` cuts had been made.
    fn add(&self, peer: SocketAddr, link: &Link, cuts: u64) {
        let mut connections = lock(&self.state.connections);
        if connections.cuts != cuts {
            link.close();
            return;
        }
        connections.open.insert(peer, link.clone());
        for direction in [Direction::ToTarget, Direction::ToCaller] {
            if self.flow(direction) == Flow::Cut {
                link.end(direction);
            }
        }
    }

    async fn relay(&self, caller: TcpStream, cuts: u64) -> io::Result<()> {
        let target = TcpStream::connect(self.state.target).await?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let peer = target.local_addr()?;
        let link = Link { caller, target };
        self.add(peer, &link, cuts);
        let to_target = self.pump(&link, Direction::ToTarget);
        let to_caller = self.pump(&link, Direction::ToCaller);
        futures::future::join(to_target, to_caller).await;
        lock(&self.state.connections).open.remove(&peer);
        Ok(())
    }

    async fn pump(&self, link: &Link, direction: Direction) {
        let (from, mut to) = link.ends(direction);
        let mut reader = from.clone();
        let mut record = (direction == Direction::ToTarget).then(|| self.state.recorder.connection());
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length @ 1..) = reader.read(&mut buffer).await {
            if let Some(record) = &mut record {
                record.append(&buffer[..length]);
            }
            let flow = self.opened(direction).await;
            if let Flow::Delay(delay_ms) = flow {
                task::sleep(delay_ms.as_std()).await;
            }
            if flow == Flow::Cut || to.write_all(&buffer[..length]).await.is_err() {
                // The sender must learn that nobody receives its bytes.
                let _ = from.shutdown(Shutdown::Both);
                break;
            }
        }
        link.end(direction);
    }

    async fn opened(&self, direction: Direction) -> Flow {
        loop {
            let changed = self.state.changed.listen();
            match self.flow(direction) {
                Flow::Hold => drop(changed.await),
                flow => return flow,
            }
        }
    }
}

impl Link {
    fn ends(&self, direction: Direction) -> (TcpStream, TcpStream) {
        match direction {
            Direction::ToTarget => (self.caller.clone(), self.target.clone()),
            Direction::ToCaller => (self.target.clone(), self.caller.clone()),
        }
    }

    /// Shows the receiver of `direction` the end of the stream. A stream that is closed already has shown it.
    fn end(&self, direction: Direction) {
        let (_, to) = self.ends(direction);
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
        let cuts = control.cuts();
        // A target that cannot be reached closes the caller's connection, as a dead link does.
        task::spawn(async move { control.relay(caller, cuts).await });
    }
}
