//! Server side: accepts connections, authenticates the peers and runs each call in its own task.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    future::timeout,
    net::{TcpListener, TcpStream},
    sync::{Condvar, Mutex},
    task::{self, JoinHandle},
};
use async_trait::async_trait;
use futures::{FutureExt, SinkExt, StreamExt, future::Shared, select, stream::SplitSink};
use jm_types::LogEvent;
use snafu::Snafu;
use tokio_tungstenite::{accept_async_with_config, tungstenite::Message};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::{
    FleetSecret, PeerReply, PeerRequest,
    connection::{CALL_WINDOW_BYTES, ReceiveError, Socket, receive, socket_config},
    envelope::{Envelope, Kind},
    pool::LinkOptions,
};

/// Size of the random nonce in the authentication challenge.
const NONCE_BYTES: usize = 32;

/// Handles calls. It is used as a trait object so that each daemon implements its own requests.
#[async_trait]
pub trait LinkHandler: Send + Sync + 'static {
    /// Handles one call and sends its replies through `replies`. The future is dropped when the caller cancels the call
    /// or its connection closes.
    async fn call(&self, request: PeerRequest, replies: ReplySender);
}

/// Error of a reply that cannot be sent, because the caller has cancelled the call or the connection has closed.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has cancelled the call or closed the connection"))]
pub struct CallCancelled;

/// Sends the replies of one call. Dropping it ends the call.
pub struct ReplySender {
    call: u64,
    outbox: Sender<Envelope>,
    window: Arc<Window>,
}

impl ReplySender {
    /// Sends one reply. Waits while the flow-control window of the call is full.
    pub async fn send(&self, reply: PeerReply) -> Result<(), CallCancelled> {
        self.window.acquire(reply.window_bytes()).await;
        let envelope = Envelope {
            call: self.call,
            kind: Kind::Reply(reply),
        };
        self.outbox.try_send(envelope).map_err(|_| CallCancelled)
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        // A closed outbox means that the connection is closed, which ends the call too.
        let _ = self.outbox.try_send(Envelope {
            call: self.call,
            kind: Kind::End,
        });
    }
}

#[derive(Default)]
struct Window {
    in_flight_bytes: Mutex<usize>,
    changed: Condvar,
}

impl Window {
    async fn acquire(&self, bytes: usize) {
        let in_flight = self.in_flight_bytes.lock().await;
        let mut in_flight = self
            .changed
            .wait_until(in_flight, |bytes| *bytes < CALL_WINDOW_BYTES)
            .await;
        *in_flight += bytes;
    }

    async fn release(&self, bytes: u64) {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let mut in_flight = self.in_flight_bytes.lock().await;
        *in_flight = in_flight.saturating_sub(bytes);
        self.changed.notify_all();
    }
}

/// Accepts connections from other daemons and passes their calls to a handler.
pub struct LinkServer {
    secret: FleetSecret,
    options: LinkOptions,
    handler: Arc<dyn LinkHandler>,
}

impl LinkServer {
    /// Creates a server that accepts only peers with the same `secret`.
    pub fn new(secret: FleetSecret, options: LinkOptions, handler: Arc<dyn LinkHandler>) -> Self {
        Self {
            secret,
            options,
            handler,
        }
    }

    /// Accepts connections until `stop` resolves. Open connections stay open until the process ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Shared<impl Future<Output = ()>>) {
        let mut stopped = stop.fuse();
        loop {
            let accepted = select! {
                accepted = listener.accept().fuse() => accepted,
                () = stopped => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    task::spawn(Arc::clone(&self).serve_connection(stream));
                }
                Err(error) => LogEvent::ConnectionFailed.write(format_args!("link listener: {error}")),
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let peer = stream
            .peer_addr()
            .map_or_else(|_| "unknown peer".to_owned(), |address| address.to_string());
        let handshake = self.accept(stream);
        match timeout(self.options.connect_timeout_ms.as_std(), handshake).await {
            Ok(Ok(socket)) => self.serve_calls(socket).await,
            Ok(Err(reason)) => LogEvent::ConnectionFailed.write(format_args!("link from {peer}: {reason}")),
            Err(_) => LogEvent::ConnectionFailed.write(format_args!("link from {peer}: handshake timed out")),
        }
    }

    async fn accept(&self, stream: TcpStream) -> Result<Socket, String> {
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let mut socket = accept_async_with_config(stream.compat(), Some(socket_config()))
            .await
            .map_err(|error| error.to_string())?;
        let nonce: [u8; NONCE_BYTES] = rand::random();
        let challenge = Envelope {
            call: 0,
            kind: Kind::Challenge {
                nonce: nonce.to_vec().into(),
            },
        };
        socket
            .send(Message::binary(challenge.encode()))
            .await
            .map_err(|error| error.to_string())?;
        let response = receive(&mut socket).await.map_err(|error| error.to_string())?;
        match response.kind {
            Kind::Proof { proof } if self.secret.verify(&nonce, &proof) => Ok(socket),
            _ => Err("authentication with the fleet secret failed".to_owned()),
        }
    }

    async fn serve_calls(&self, socket: Socket) {
        let (sink, mut stream) = socket.split();
        let (outbox, outgoing) = unbounded();
        let writer = task::spawn(write_replies(
            sink,
            outgoing,
            self.options.ping_interval_ms.as_std(),
        ));
        let mut calls = OpenCalls {
            handler: Arc::clone(&self.handler),
            outbox: outbox.clone(),
            open: HashMap::new(),
        };
        let heartbeat_timeout = self.options.heartbeat_timeout_ms.as_std();
        while let Ok(envelope) = receive_within(&mut stream, heartbeat_timeout).await {
            calls.dispatch(envelope).await;
        }
        calls.cancel_all().await;
        outbox.close();
        writer.await;
    }
}

async fn receive_within<S>(stream: &mut S, heartbeat_timeout: Duration) -> Result<Envelope, ReceiveError>
where
    S: futures::Stream<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    loop {
        let next = timeout(heartbeat_timeout, stream.next())
            .await
            .map_err(|_| ReceiveError::HeartbeatTimeout)?;
        match next {
            Some(Ok(Message::Binary(bytes))) => {
                let decoded = Envelope::decode(&bytes);
                return decoded.map_err(|error| ReceiveError::Decode {
                    reason: error.to_string(),
                });
            }
            Some(Ok(Message::Close(_))) | None => return Err(ReceiveError::Ended),
            Some(Ok(_)) => {}
            Some(Err(source)) => return Err(ReceiveError::Socket { source }),
        }
    }
}

struct OpenCalls {
    handler: Arc<dyn LinkHandler>,
    outbox: Sender<Envelope>,
    open: HashMap<u64, OpenCall>,
}

struct OpenCall {
    task: JoinHandle<()>,
    window: Arc<Window>,
}

impl OpenCalls {
    async fn dispatch(&mut self, envelope: Envelope) {
        match envelope.kind {
            Kind::Request(request) => self.start(envelope.call, request),
            Kind::Cancel => self.cancel(envelope.call).await,
            Kind::Credit { bytes } => {
                if let Some(call) = self.open.get(&envelope.call) {
                    call.window.release(bytes).await;
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, call: u64, request: PeerRequest) {
        self.open.retain(|_, open| Arc::strong_count(&open.window) > 1);
        let window = Arc::new(Window::default());
        let replies = ReplySender {
            call,
            outbox: self.outbox.clone(),
            window: Arc::clone(&window),
        };
        let handler = Arc::clone(&self.handler);
        let task = task::spawn(async move { handler.call(request, replies).await });
        self.open.insert(call, OpenCall { task, window });
    }

    async fn cancel(&mut self, call: u64) {
        if let Some(open) = self.open.remove(&call) {
            open.task.cancel().await;
        }
    }

    async fn cancel_all(&mut self) {
        for (_, open) in self.open.drain() {
            open.task.cancel().await;
        }
    }
}

async fn write_replies(
    mut sink: SplitSink<Socket, Message>,
    outgoing: Receiver<Envelope>,
    ping_interval: Duration,
) {
    loop {
        let message = match timeout(ping_interval, outgoing.recv()).await {
            Ok(Ok(envelope)) => Message::binary(envelope.encode()),
            Ok(Err(_)) => break,
            Err(_) => Message::Ping(Vec::new().into()),
        };
        if sink.send(message).await.is_err() {
            break;
        }
    }
    outgoing.close();
}
