//! Client side of one connection.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    future::timeout,
    io,
    net::TcpStream,
    task,
};
use futures::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use jm_types::DurationMs;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::{
    FleetSecret, PeerReply, PeerRequest,
    envelope::{Envelope, Kind},
    pool::LinkOptions,
};

pub(crate) type Socket = WebSocketStream<Compat<TcpStream>>;

/// Maximum message size. The HTTP limits keep request bodies well below it.
const MAX_MESSAGE_BYTES: usize = 16_000_000;

/// Flow-control window: reply bytes of one call that may be in flight before the server side waits. It prevents a slow
/// caller from exhausting the memory of both sides.
pub(crate) const CALL_WINDOW_BYTES: usize = 256_000;

/// Number of consumed bytes after which the caller returns credit to the server side.
const CREDIT_THRESHOLD_BYTES: u64 = (CALL_WINDOW_BYTES / 4) as u64;

/// Reason why a call ended before its last reply.
#[derive(Debug, Clone, Snafu)]
pub enum LinkError {
    /// No connection could be opened. Nothing was written.
    #[snafu(display("cannot connect to daemon {address}: {reason}"))]
    Connect {
        /// Address of the other daemon.
        address: String,
        /// Why no connection could be opened, as text.
        reason: String,
    },
    /// The connection closed during the call.
    #[snafu(display("connection to daemon {address} closed"))]
    Closed {
        /// Address of the other daemon.
        address: String,
        /// Whether any byte of the request may have been sent.
        written: bool,
    },
    /// No reply arrived within the timeout of the caller.
    #[snafu(display("no reply from the daemon within {waited_ms}"))]
    Timeout {
        /// The timeout that passed.
        waited_ms: DurationMs,
    },
}

impl LinkError {
    /// Whether any byte of the request may have reached the other daemon. If not, a retry cannot run the request twice.
    pub fn request_written(&self) -> bool {
        match self {
            Self::Connect { .. } => false,
            Self::Closed { written, .. } => *written,
            Self::Timeout { .. } => true,
        }
    }
}

#[derive(Debug)]
enum CallEvent {
    Reply(PeerReply),
    End,
}

/// Decides once whether a request is written or abandoned. A request that is reported as not written must never be
/// written later, although its message may remain in the outbox after another task has closed the connection.
#[derive(Debug, Default)]
struct WriteState(AtomicU8);

impl WriteState {
    const QUEUED: u8 = 0;
    const WRITTEN: u8 = 1;
    const ABANDONED: u8 = 2;

    /// Claims the request for writing. Returns false when the caller has abandoned the request.
    fn begin_write(&self) -> bool {
        self.decide(Self::WRITTEN) == Self::WRITTEN
    }

    /// Abandons the request unless it was already claimed for writing. Returns true when it was claimed, so that any
    /// byte of it may have been written.
    fn written_or_abandon(&self) -> bool {
        self.decide(Self::ABANDONED) == Self::WRITTEN
    }

    fn decide(&self, wanted: u8) -> u8 {
        let changed = self
            .0
            .compare_exchange(Self::QUEUED, wanted, Ordering::SeqCst, Ordering::SeqCst);
        match changed {
            Ok(_) => wanted,
            Err(decided) => decided,
        }
    }
}

#[derive(Debug)]
struct Outgoing {
    envelope: Envelope,
    /// `None` for messages whose delivery is not reported.
    state: Option<Arc<WriteState>>,
}

type Calls = Arc<Mutex<HashMap<u64, Sender<CallEvent>>>>;

/// An open connection to one daemon.
#[derive(Debug)]
pub(crate) struct Connection {
    address: String,
    outbox: Sender<Outgoing>,
    calls: Calls,
    next_call: AtomicU64,
    closed: Arc<AtomicBool>,
}

impl Connection {
    /// Connects, authenticates with the fleet secret and starts the reader and writer tasks.
    pub(crate) async fn open(
        address: &str,
        secret: &FleetSecret,
        options: &LinkOptions,
    ) -> Result<Arc<Self>, LinkError> {
        let handshake = connect_and_authenticate(address, secret);
        let socket = match timeout(options.connect_timeout_ms.as_std(), handshake).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(reason)) => return ConnectSnafu { address, reason }.fail(),
            Err(_) => {
                return ConnectSnafu {
                    address,
                    reason: "timed out",
                }
                .fail();
            }
        };
        let (sink, stream) = socket.split();
        let (outbox, outgoing) = unbounded();
        let connection = Arc::new(Self {
            address: address.to_owned(),
            outbox,
            calls: Calls::default(),
            next_call: AtomicU64::new(1),
            closed: Arc::new(AtomicBool::new(false)),
        });
        let closer = Closer::new(&connection);
        task::spawn(write_messages(
            sink,
            outgoing,
            options.ping_interval_ms.as_std(),
            closer.clone(),
        ));
        task::spawn(read_messages(
            stream,
            options.heartbeat_timeout_ms.as_std(),
            closer,
        ));
        Ok(connection)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Opens a call. The request is queued for writing when this returns. Errors are reported by the returned stream.
    pub(crate) fn call(self: &Arc<Self>, request: PeerRequest) -> ReplyStream {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, events) = unbounded();
        let state = Arc::new(WriteState::default());
        lock(&self.calls).insert(call, sender);
        let envelope = Envelope {
            call,
            kind: Kind::Request(request),
        };
        let outgoing = Outgoing {
            envelope,
            state: Some(Arc::clone(&state)),
        };
        if self.is_closed() || self.outbox.try_send(outgoing).is_err() {
            lock(&self.calls).remove(&call);
        }
        ReplyStream {
            connection: Arc::clone(self),
            call,
            events,
            state,
            consumed_bytes: 0,
            ended: false,
        }
    }

    fn send(&self, call: u64, kind: Kind) {
        let envelope = Envelope { call, kind };
        // A closed outbox means that the connection is closed. The stream of the call reports that.
        let _ = self.outbox.try_send(Outgoing {
            envelope,
            state: None,
        });
    }
}

fn lock(calls: &Calls) -> std::sync::MutexGuard<'_, HashMap<u64, Sender<CallEvent>>> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Stream of the replies of one call. Dropping it before the call has ended cancels the call.
#[derive(Debug)]
pub struct ReplyStream {
    connection: Arc<Connection>,
    call: u64,
    events: Receiver<CallEvent>,
    state: Arc<WriteState>,
    consumed_bytes: u64,
    ended: bool,
}

impl ReplyStream {
    /// Returns the next reply, or `None` after the last one. Fails when the connection closes before the last reply.
    pub async fn next(&mut self) -> Result<Option<PeerReply>, LinkError> {
        if self.ended {
            return Ok(None);
        }
        match self.events.recv().await {
            Ok(CallEvent::Reply(reply)) => {
                self.return_credit(&reply);
                Ok(Some(reply))
            }
            Ok(CallEvent::End) => {
                self.ended = true;
                Ok(None)
            }
            Err(_) => {
                self.ended = true;
                let address = self.connection.address.clone();
                ClosedSnafu {
                    address,
                    written: self.state.written_or_abandon(),
                }
                .fail()
            }
        }
    }

    /// Returns the next reply like [`ReplyStream::next`], but fails when none arrives within `limit_ms`.
    pub async fn next_within(&mut self, limit_ms: DurationMs) -> Result<Option<PeerReply>, LinkError> {
        match timeout(limit_ms.as_std(), self.next()).await {
            Ok(reply) => reply,
            Err(_) => TimeoutSnafu { waited_ms: limit_ms }.fail(),
        }
    }

    fn return_credit(&mut self, reply: &PeerReply) {
        self.consumed_bytes += reply.window_bytes() as u64;
        if self.consumed_bytes >= CREDIT_THRESHOLD_BYTES {
            self.connection.send(
                self.call,
                Kind::Credit {
                    bytes: self.consumed_bytes,
                },
            );
            self.consumed_bytes = 0;
        }
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        let open = lock(&self.connection.calls).remove(&self.call).is_some();
        if open && !self.ended && self.state.written_or_abandon() {
            self.connection.send(self.call, Kind::Cancel);
        }
    }
}

/// Marks a connection as closed and ends its calls. The reader and the writer task share it, and the one that fails
/// first closes the connection.
#[derive(Clone)]
struct Closer {
    calls: Calls,
    closed: Arc<AtomicBool>,
    outbox: Sender<Outgoing>,
}

impl Closer {
    fn new(connection: &Connection) -> Self {
        Self {
            calls: Arc::clone(&connection.calls),
            closed: Arc::clone(&connection.closed),
            outbox: connection.outbox.clone(),
        }
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.outbox.close();
        lock(&self.calls).clear();
    }
}

async fn connect_and_authenticate(address: &str, secret: &FleetSecret) -> Result<Socket, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let url = format!("ws://{address}/link");
    let (mut socket, _) = client_async_with_config(url, stream.compat(), Some(socket_config()))
        .await
        .map_err(|error| error.to_string())?;
    let challenge = receive(&mut socket).await.map_err(|error| error.to_string())?;
    let Kind::Challenge { nonce } = challenge.kind else {
        return Err("the daemon did not send an authentication challenge".to_owned());
    };
    let proof = secret.sign(&nonce).into();
    let response = Envelope {
        call: 0,
        kind: Kind::Proof { proof },
    };
    socket
        .send(Message::binary(response.encode()))
        .await
        .map_err(|error| error.to_string())?;
    Ok(socket)
}

/// WebSocket settings of both sides of a connection.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Reason why no message could be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReceiveError {
    /// The peer closed the connection.
    #[snafu(display("connection closed"))]
    Ended,
    /// The WebSocket connection failed.
    #[snafu(display("{source}"))]
    Socket { source: tungstenite::Error },
    /// A message could not be decoded.
    #[snafu(display("{reason}"))]
    Decode { reason: String },
    /// Nothing arrived within the heartbeat timeout, not even a pong.
    #[snafu(display("no message within the heartbeat timeout"))]
    HeartbeatTimeout,
}

/// Reads the next envelope and skips control messages.
pub(crate) async fn receive<S>(stream: &mut S) -> Result<Envelope, ReceiveError>
where
    S: futures::Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match stream.next().await.context(EndedSnafu)?.context(SocketSnafu)? {
            Message::Binary(bytes) => {
                let decoded = Envelope::decode(&bytes);
                return decoded.map_err(|error| ReceiveError::Decode {
                    reason: error.to_string(),
                });
            }
            Message::Close(_) => return EndedSnafu.fail(),
            _ => {}
        }
    }
}

async fn write_messages(
    mut sink: SplitSink<Socket, Message>,
    outgoing: Receiver<Outgoing>,
    ping_interval: Duration,
    closer: Closer,
) {
    loop {
        let sent = match timeout(ping_interval, outgoing.recv()).await {
            Ok(Ok(message)) => send_unless_abandoned(&mut sink, message).await,
            Ok(Err(_)) => break,
            Err(_) => sink
                .send(Message::Ping(Vec::new().into()))
                .await
                .map_err(io::Error::other),
        };
        if sent.is_err() {
            break;
        }
    }
    closer.close();
}

async fn send_unless_abandoned(sink: &mut SplitSink<Socket, Message>, message: Outgoing) -> io::Result<()> {
    if message.state.is_some_and(|state| !state.begin_write()) {
        return Ok(());
    }
    sink.send(Message::binary(message.envelope.encode()))
        .await
        .map_err(io::Error::other)
}

async fn read_messages(mut stream: SplitStream<Socket>, heartbeat_timeout: Duration, closer: Closer) {
    while let Ok(Ok(message)) = timeout(heartbeat_timeout, stream.next())
        .await
        .map(|next| next.context(EndedSnafu))
    {
        let Ok(message) = message else { break };
        let Message::Binary(bytes) = message else { continue };
        let Ok(envelope) = Envelope::decode(&bytes) else {
            break;
        };
        deliver(&closer.calls, envelope);
    }
    closer.close();
}

fn deliver(calls: &Calls, envelope: Envelope) {
    let event = match envelope.kind {
        Kind::Reply(reply) => CallEvent::Reply(reply),
        Kind::End => CallEvent::End,
        _ => return,
    };
    let ends = matches!(event, CallEvent::End);
    let mut calls = lock(calls);
    if let Some(sender) = calls.get(&envelope.call) {
        // Sending fails when the call has been dropped, and the reply is not needed then.
        let _ = sender.try_send(event);
    }
    if ends {
        calls.remove(&envelope.call);
    }
}
