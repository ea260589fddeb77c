//! Test helpers: a server with a closure as handler, and a peer that writes raw bytes.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use async_trait::async_trait;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt, future::BoxFuture};
use jm_http::{Client, Connection, Handler, Limits, Method, Request, Response, Server, Url};
use jm_types::{ByteSize, DurationMs};

/// Ends a test that would otherwise hang. Its length does not affect any result.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(20);

type RespondFn = Box<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

struct ClosureHandler {
    respond: RespondFn,
    handled: Arc<AtomicUsize>,
}

#[async_trait]
impl Handler for ClosureHandler {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        self.handled.fetch_add(1, Ordering::SeqCst);
        (self.respond)(request).await
    }
}

pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) handled: Arc<AtomicUsize>,
    pub(crate) stop: Option<Sender<()>>,
    pub(crate) served: JoinHandle<std::io::Result<()>>,
}

impl TestServer {
    pub(crate) async fn start<F>(
        limits: Limits,
        respond: impl Fn(Request) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handled = Arc::new(AtomicUsize::new(0));
        let handler = ClosureHandler {
            respond: Box::new(move |request| respond(request).boxed()),
            handled: Arc::clone(&handled),
        };
        let (stop, stopped) = bounded::<()>(1);
        let server = Server::new(limits, Arc::new(handler));
        let stopped = async move { stopped.recv().await.map_or((), |()| ()) }
            .boxed()
            .shared();
        let served = task::spawn(async move { server.serve(listener, stopped).await });
        Self {
            address,
            handled,
            stop: Some(stop),
            served,
        }
    }

    /// Starts a server that responds to each request with the request body.
    pub(crate) async fn echo(limits: Limits) -> Self {
        Self::start(limits, |mut request| async move {
            let mut response = Response::new(200);
            response.set_body(request.take_body());
            response
        })
        .await
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Writes `bytes` on a new connection and returns everything that comes back until the server closes.
    pub(crate) async fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.unwrap();
        read_to_close(&mut stream).await
    }

    pub(crate) fn handled(&self) -> usize {
        self.handled.load(Ordering::SeqCst)
    }
}

pub(crate) async fn with_hang_timeout<T>(work: impl Future<Output = T>) -> T {
    timeout(HANG_TIMEOUT, work).await.expect("the test timed out")
}

pub(crate) async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response counts as a close here, because the tests only check the bytes.
    let _ = with_hang_timeout(stream.read_to_end(&mut bytes)).await;
    String::from_utf8(bytes).unwrap()
}

/// Reads until the received text ends with `end`.
pub(crate) async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        let amount = with_hang_timeout(stream.read(&mut byte)).await.unwrap();
        assert_eq!(amount, 1, "closed after {text:?}");
        text.push(char::from(byte[0]));
    }
    text
}

/// What a raw peer does after it has written its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    Close,
    KeepOpen,
}

/// Starts a peer that responds with `bytes` to the first request of each connection. Returns its address and its
/// connection counter.
pub(crate) async fn raw_peer(
    bytes: &'static [u8],
    after_response: AfterResponse,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    task::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            read_until(&mut stream, "\r\n\r\n").await;
            stream.write_all(bytes).await.unwrap();
            if after_response == AfterResponse::KeepOpen {
                open.push(stream);
            }
        }
    });
    (address, connections)
}

pub(crate) fn request(method: Method, address: SocketAddr) -> Request {
    Request::new(method, Url::parse(&format!("http://{address}/path?q=1")).unwrap())
}

pub(crate) fn get(address: SocketAddr) -> Request {
    request(Method::Get, address)
}

/// Limits under which nothing in a test times out unless the test shortens one of them.
pub(crate) fn long_limits() -> Limits {
    Limits {
        head_timeout_ms: DurationMs::new(60_000),
        body_timeout_ms: DurationMs::new(60_000),
        idle_timeout_ms: DurationMs::new(60_000),
        answer_timeout_ms: DurationMs::new(60_000),
        body_bytes: ByteSize::new(1_000),
        ..Limits::default()
    }
}

pub(crate) fn client() -> Client {
    Client::new(long_limits())
}

/// Creates a channel whose receiver returns an error once the sender has been dropped.
pub(crate) fn drop_signal() -> (Sender<()>, Receiver<()>) {
    bounded(1)
}
