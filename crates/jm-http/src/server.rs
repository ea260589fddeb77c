//! The server: accepts connections within the limit and waits for open requests when it stops.

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
use jm_types::{LogEvent, ResultCode};

use crate::{
    SharedLimits,
    connection::{ServerConnection, refuse},
    head::Refusal,
    stream::BufferedStream,
};

/// Wait after a failed accept. The usual cause is a lack of file descriptors, which lasts until a connection closes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections over the limit that are told so at the same time; further ones are closed without an answer, so that
/// a flood of connections cannot take more than this.
const MAX_REFUSALS: usize = 64;

/// What a handler knows about the connection that a request came on.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Address of the caller.
    pub peer: Option<SocketAddr>,
}

/// Answers requests. A trait object so that each daemon brings its own endpoints.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, whose body is whole. The future is dropped when the caller goes away.
    async fn handle(&self, request: Request, connection: &Connection) -> Response;
}

/// An HTTP server on one listener.
pub struct Server {
    limits: SharedLimits,
    handler: Arc<dyn Handler>,
}

impl Server {
    /// A server that answers with `handler` within `limits`.
    pub fn new(limits: impl Into<SharedLimits>, handler: Arc<dyn Handler>) -> Self {
        let limits = limits.into();
        Self { limits, handler }
    }

    /// Accepts connections until `stop` resolves, then waits for open requests to finish.
    ///
    /// When `stop` resolves, the listener closes, kept-alive connections without a request close, and open requests
    /// are answered with `connection: close`. A connection that has not carried a request yet may send its first one
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
        // Resolves with an error once the last connection has dropped its end of the channel.
        let _ = all_closed.recv().await;
        Ok(())
    }
}

/// The channels carry no messages: an end that is dropped is the signal, and the number of ends is the number of
/// connections.
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
                LogEvent::ConnectionFailed.write(format!("cannot accept: {error}"));
                task::sleep(ACCEPT_PAUSE).await;
            }
            self.start(accepted);
        }
    }

    /// Accepts what the kernel has already connected; closing the listener would reset these connections.
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
        let open = self.open.clone();
        let connection = ServerConnection::new(
            stream,
            Connection { peer: Some(peer) },
            self.server.limits.clone(),
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
