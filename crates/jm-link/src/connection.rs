//! The calling side of one connection.

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

/// Largest message; request bodies are bounded by the HTTP limits well below this.
const MESSAGE_LIMIT_BYTES: usize = 16_000_000;

/// Reply bytes that one call may have in flight before the answering side waits. It keeps one slow caller from
/// filling the memory of both sides.
pub(crate) const CALL_WINDOW_BYTES: usize = 256_000;

/// Consumed bytes after which credit is returned.
const CREDIT_STEP_BYTES: u64 = (CALL_WINDOW_BYTES / 4) as u64;

/// Why a call ended without its last reply.
#[derive(Debug, Clone, Snafu)]
pub enum LinkError {
    /// No connection could be opened; nothing was written.
    #[snafu(display("cannot connect to daemon {address}: {reason}"))]
    Connect {
        /// Address of the other daemon.
        address: String,
        /// The cause.
        reason: String,
    },
    /// The connection closed during the call.
    #[snafu(display("connection to daemon {address} closed"))]
    Closed {
        /// Address of the other daemon.
        address: String,
        /// Whether any byte of the request may have left this process.
        written: bool,
    },
    /// No reply within the time that the caller allows.
    #[snafu(display("daemon did not reply within {waited_ms}"))]
    Timeout {
        /// The time allowed.
        waited_ms: DurationMs,
    },
}

impl LinkError {
    /// Whether any byte of the request may have reached the other daemon.
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

/// Decides once between writing a request and giving it up. A call that is reported as not written must never be written
/// afterwards, and messages stay in the outbox of a connection that another task has closed.
#[derive(Debug, Default)]
struct WriteState(AtomicU8);

impl WriteState {
    const QUEUED: u8 = 0;
    const WRITTEN: u8 = 1;
    const GIVEN_UP: u8 = 2;

    /// Claims the request for writing; false when its caller has given it up.
    fn begin_write(&self) -> bool {
        self.decide(Self::WRITTEN) == Self::WRITTEN
    }

    /// Gives the request up unless any byte of it may be written; true when it was too late.
    fn is_written_or_give_up(&self) -> bool {
        self.decide(Self::GIVEN_UP) == Self::WRITTEN
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
    /// Absent for messages that nobody reports about.
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
    /// Connects, proves the fleet secret and starts the reading and writing tasks.
    pub(crate) async fn open(
        address: &str,
        secret: &FleetSecret,
        options: &LinkOptions,
    ) -> Result<Arc<Self>, LinkError> {
        let handshake = connect_and_prove(address, secret);
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
        let closer = Closer::of(&connection);
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

    /// Opens a call. The request is on its way when this returns; errors appear on the stream.
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

    fn post(&self, call: u64, kind: Kind) {
        let envelope = Envelope { call, kind };
        // A closed outbox means that the connection is gone; the call's stream reports that.
        let _ = self.outbox.try_send(Outgoing {
            envelope,
            state: None,
        });
    }
}

fn lock(calls: &Calls) -> std::sync::MutexGuard<'_, HashMap<u64, Sender<CallEvent>>> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Replies of one call. Dropping it before the end cancels the call.
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
    /// The next reply, `None` after the last one, or an error when the connection closed before.
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
                    written: self.state.is_written_or_give_up(),
                }
                .fail()
            }
        }
    }

    /// The next reply within `limit_ms`.
    pub async fn next_within(&mut self, limit_ms: DurationMs) -> Result<Option<PeerReply>, LinkError> {
        match timeout(limit_ms.as_std(), self.next()).await {
            Ok(reply) => reply,
            Err(_) => TimeoutSnafu { waited_ms: limit_ms }.fail(),
        }
    }

    fn return_credit(&mut self, reply: &PeerReply) {
        self.consumed_bytes += reply.window_bytes() as u64;
        if self.consumed_bytes >= CREDIT_STEP_BYTES {
            self.connection.post(
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
        if open && !self.ended && self.state.is_written_or_give_up() {
            self.connection.post(self.call, Kind::Cancel);
        }
    }
}

/// Marks a connection as closed and ends its calls, from whichever task notices first.
#[derive(Clone)]
struct Closer {
    calls: Calls,
    closed: Arc<AtomicBool>,
    outbox: Sender<Outgoing>,
}

impl Closer {
    fn of(connection: &Connection) -> Self {
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

async fn connect_and_prove(address: &str, secret: &FleetSecret) -> Result<Socket, String> {
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
        return Err("the daemon did not send a challenge".to_owned());
    };
    let proof = secret.sign(&nonce).into();
    let answer = Envelope {
        call: 0,
        kind: Kind::Proof { proof },
    };
    socket
        .send(Message::binary(answer.encode()))
        .await
        .map_err(|error| error.to_string())?;
    Ok(socket)
}

/// Settings of both ends of a connection.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT_BYTES))
        .max_frame_size(Some(MESSAGE_LIMIT_BYTES))
}

/// Why no message could be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReceiveError {
    /// The other side closed the connection.
    #[snafu(display("connection closed"))]
    Ended,
    /// The WebSocket layer failed.
    #[snafu(display("{source}"))]
    Socket { source: tungstenite::Error },
    /// A message could not be decoded.
    #[snafu(display("{reason}"))]
    Decode { reason: String },
    /// Nothing arrived, not even a pong.
    #[snafu(display("the other daemon is silent"))]
    Silent,
}

/// Reads the next message that carries an envelope.
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
            Ok(Ok(message)) => send_marked(&mut sink, message).await,
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

async fn send_marked(sink: &mut SplitSink<Socket, Message>, message: Outgoing) -> io::Result<()> {
    if message.state.is_some_and(|state| !state.begin_write()) {
        return Ok(());
    }
    sink.send(Message::binary(message.envelope.encode()))
        .await
        .map_err(io::Error::other)
}

async fn read_messages(mut stream: SplitStream<Socket>, silence: Duration, closer: Closer) {
    while let Ok(Ok(message)) = timeout(silence, stream.next())
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
        // The receiver is gone when the call was dropped in the meantime; the reply has no reader then.
        let _ = sender.try_send(event);
    }
    if ends {
        calls.remove(&envelope.call);
    }
}
