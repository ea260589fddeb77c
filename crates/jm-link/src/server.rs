//! The answering side: accepts connections, checks the proof of the secret and runs each call in its own task.

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

/// Bytes of the random challenge.
const NONCE_BYTES: usize = 32;

/// Answers calls. A trait object so that each daemon brings its own duties.
#[async_trait]
pub trait LinkHandler: Send + Sync + 'static {
    /// Answers one call through `replies`. The future is dropped when the caller cancels or its connection closes.
    async fn call(&self, request: PeerRequest, replies: ReplySender);
}

/// The calling side is gone.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has cancelled the call or closed the connection"))]
pub struct CallCancelled;

/// Sends the replies of one call; the call ends when it is dropped.
pub struct ReplySender {
    call: u64,
    outbox: Sender<Envelope>,
    window: Arc<Window>,
}

impl ReplySender {
    /// Sends one reply, after waiting until the caller has consumed enough of the earlier ones.
    pub async fn send(&self, reply: PeerReply) -> Result<(), CallCancelled> {
        self.window.take(reply.window_bytes()).await;
        let envelope = Envelope {
            call: self.call,
            kind: Kind::Reply(reply),
        };
        self.outbox.try_send(envelope).map_err(|_| CallCancelled)
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        // A closed outbox means that the connection is gone and the call with it.
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
    async fn take(&self, bytes: usize) {
        let in_flight = self.in_flight_bytes.lock().await;
        let mut in_flight = self
            .changed
            .wait_until(in_flight, |bytes| *bytes < CALL_WINDOW_BYTES)
            .await;
        *in_flight += bytes;
    }

    async fn give(&self, bytes: u64) {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let mut in_flight = self.in_flight_bytes.lock().await;
        *in_flight = in_flight.saturating_sub(bytes);
        self.changed.notify_all();
    }
}

/// Accepts connections of other daemons.
pub struct LinkServer {
    secret: FleetSecret,
    options: LinkOptions,
    handler: Arc<dyn LinkHandler>,
}

impl LinkServer {
    /// A server that answers calls with `handler`.
    pub fn new(secret: FleetSecret, options: LinkOptions, handler: Arc<dyn LinkHandler>) -> Self {
        Self {
            secret,
            options,
            handler,
        }
    }

    /// Accepts connections until `stop` resolves; open connections go on until the process ends.
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
            Ok(Ok(socket)) => self.answer_calls(socket).await,
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
        let answer = receive(&mut socket).await.map_err(|error| error.to_string())?;
        match answer.kind {
            Kind::Proof { proof } if self.secret.verify(&nonce, &proof) => Ok(socket),
            _ => Err("the daemon did not prove the fleet secret".to_owned()),
        }
    }

    async fn answer_calls(&self, socket: Socket) {
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
        let silence = self.options.heartbeat_timeout_ms.as_std();
        while let Ok(envelope) = receive_within(&mut stream, silence).await {
            calls.take(envelope).await;
        }
        calls.cancel_all().await;
        outbox.close();
        writer.await;
    }
}

async fn receive_within<S>(stream: &mut S, silence: Duration) -> Result<Envelope, ReceiveError>
where
    S: futures::Stream<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    loop {
        let next = timeout(silence, stream.next())
            .await
            .map_err(|_| ReceiveError::Silent)?;
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
    async fn take(&mut self, envelope: Envelope) {
        match envelope.kind {
            Kind::Request(request) => self.start(envelope.call, request),
            Kind::Cancel => self.cancel(envelope.call).await,
            Kind::Credit { bytes } => {
                if let Some(call) = self.open.get(&envelope.call) {
                    call.window.give(bytes).await;
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
