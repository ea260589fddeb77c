//! HTTP server: accepts connections up to a limit and shuts down gracefully.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    channel::{Receiver, Sender, bounded},
    io,
    net::{TcpListener, TcpStream},
    task,
};
use async_trait::async_trait;
use futures::{FutureExt, future::Shared, select};
use http_types::{Request, Response};
use jm_types::{ByteSize, LogEvent, ResultCode};

use crate::{
    BufferBudget, SharedLimits,
    connection::{ServerConnection, refuse},
    head::Refusal,
    stream::BufferedStream,
};

/// Delay after a failed accept. The usual cause is that no file descriptor is free until a connection closes.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections over the limit that receive an error response at the same time. Further connections
/// are closed without a response, which bounds the resources that a connection flood can use.
const MAX_REFUSALS: usize = 64;

/// Properties of the connection that carries a request.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Address of the caller, or `None` if it is unknown.
    pub peer: Option<SocketAddr>,
}

/// Handles requests. It is used as a trait object so that each daemon implements its own endpoints.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request whose body has been received completely. The future is dropped when the caller disconnects.
    async fn handle(&self, request: Request, connection: &Connection) -> Response;
}

/// An HTTP server that applies limits to its connections and requests.
pub struct Server {
    limits: SharedLimits,
    handler: Arc<dyn Handler>,
    budget: BufferBudget,
}

impl Server {
    /// Creates a server that passes requests to `handler`. The limits can be changed later through [`SharedLimits`].
    pub fn new(limits: impl Into<SharedLimits>, handler: Arc<dyn Handler>) -> Self {
        Self {
            limits: limits.into(),
            handler,
            budget: BufferBudget::new(ByteSize::new(u64::MAX / 2)),
        }
    }

    /// Applies a limit to the memory of all connections that this server and others with the same budget use together.
    #[must_use]
    pub fn with_budget(self, budget: BufferBudget) -> Self {
        Self { budget, ..self }
    }

    /// Accepts connections until `stop` resolves, then waits until open requests have completed.
    ///
    /// When `stop` resolves, the listener and idle keep-alive connections close, and the responses to open requests
    /// carry `connection: close`. A connection that has not carried a request yet may still send its first request
    /// within the head timeout.
    pub async fn serve(
        &self,
        listener: TcpListener,
        stop: Shared<impl Future<Output = ()> + Send + 'static>,
    ) -> std::io::Result<()> {
        let (open, all_closed) = bounded(1);
        let (running, stopping) = bounded(1);
        let acceptor = Acceptor {
            server: self,
            open,
            refusing: bounded(1).0,
            stopping,
        };
        acceptor.accept_until(&listener, stop).await;
        acceptor.accept_waiting(&listener);
        drop((listener, running, acceptor));
        // Returns an error once the last connection has dropped its sender.
        let _ = all_closed.recv().await;
        Ok(())
    }
}

/// State for accepting connections. The channels carry no messages. Dropping a sender or receiver is the signal, and
/// the number of senders is the number of connections.
struct Acceptor<'a> {
    server: &'a Server,
    open: Sender<Infallible>,
    refusing: Sender<Infallible>,
    stopping: Receiver<Infallible>,
}

impl Acceptor<'_> {
    async fn accept_until(&self, listener: &TcpListener, stop: Shared<impl Future<Output = ()>>) {
        let mut stop = stop.fuse();
        loop {
            let accepted = select! {
                accepted = listener.accept().fuse() => accepted,
                () = stop => return,
            };
            if let Err(error) = &accepted {
                LogEvent::ConnectionFailed.write(format!("cannot accept a connection: {error}"));
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
            self.start(accepted);
        }
    }

    /// Accepts the connections in the kernel's accept queue. Closing the listener would reset them.
    fn accept_waiting(&self, listener: &TcpListener) {
        while let Some(Ok(accepted)) = listener.accept().now_or_never() {
            self.start(Ok(accepted));
        }
    }

    fn start(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, peer)) = accepted else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = BufferedStream::new(stream);
        if self.open.sender_count() > self.server.limits.get().connections {
            self.refuse(stream, peer);
            return;
        }
        let Some(share) = self.server.budget.connection_share(Some(peer.ip())) else {
            self.refuse(stream, peer);
            return;
        };
        let open = self.open.clone();
        let connection = ServerConnection::new(
            stream,
            Connection { peer: Some(peer) },
            self.server.limits.clone(),
            share,
            Arc::clone(&self.server.handler),
            self.stopping.clone(),
        );
        task::spawn(async move {
            connection.run().await;
            drop(open);
        });
    }

    fn refuse(&self, mut stream: BufferedStream, peer: SocketAddr) {
        if self.refusing.sender_count() > MAX_REFUSALS {
            return;
        }
        let refusing = self.refusing.clone();
        let stall_timeout = self.server.limits.get().body_timeout_ms.as_std();
        task::spawn(async move {
            let refusal = Refusal::new(ResultCode::TooManyConnections, "the connection limit is reached");
            refuse(&mut stream, Some(peer), refusal, stall_timeout).await;
            drop(refusing);
        });
    }
}
