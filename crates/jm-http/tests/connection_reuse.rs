//! Guards against requests on a connection that the peer is about to close, and against limits that cannot be changed
//! while connections are open.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use async_std::{channel::bounded, net::TcpListener, task};
use common::{client, long_limits, read_until, request, with_hang_timeout};
use futures::{AsyncWriteExt, FutureExt};
use jm_http::{
    Connection, Handler, Limits, Method, Request, RequestTarget, Response, Reuse, Server, SharedLimits, Url,
};
use jm_types::ByteSize;

/// Starts a peer that keeps connections open and responds with `head`. Returns its address and its connection counter.
async fn peer(head: &'static str) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            task::spawn(async move {
                loop {
                    read_until(&mut stream, "\r\n\r\n").await;
                    if stream.write_all(head.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

const KEPT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const KEPT_BRIEFLY: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0, max=9\r\ncontent-length: 0\r\n\r\n";

#[async_std::test]
async fn idempotent_requests_share_a_connection() {
    let (address, connections) = peer(KEPT).await;
    let client = client();
    for _ in 0..3 {
        let post = request(Method::Post, address);
        with_hang_timeout(client.send_to(address.to_string(), post, Reuse::Pooled))
            .await
            .unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    let post = request(Method::Post, address);
    with_hang_timeout(client.send_to(address.to_string(), post, Reuse::Fresh))
        .await
        .unwrap();
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// Guards against reusing a connection whose announced idle timeout has passed.
#[async_std::test]
async fn announced_idle_timeout() {
    let (address, connections) = peer(KEPT_BRIEFLY).await;
    let client = client();
    for _ in 0..3 {
        let get = request(Method::Get, address);
        with_hang_timeout(client.send_to(address.to_string(), get, Reuse::Pooled))
            .await
            .unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 3);
}

/// Guards against a forwarded path that is normalised by the URL type.
#[async_std::test]
async fn path_as_given() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (lines, seen) = bounded(1);
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = read_until(&mut stream, "\r\n\r\n").await;
        lines.try_send(head).unwrap();
        stream.write_all(KEPT.as_bytes()).await.unwrap();
    });
    let mut call = Request::new(Method::Get, Url::parse("http://desk.example/").unwrap());
    call.ext_mut().insert(RequestTarget::new("/a/../b/./c%2e?x=%20"));
    with_hang_timeout(client().send_to(address.to_string(), call, Reuse::Fresh))
        .await
        .unwrap();
    let head = seen.recv().await.unwrap().to_string();
    assert!(
        head.starts_with("GET /a/../b/./c%2e?x=%20 HTTP/1.1\r\n"),
        "{head}"
    );
    assert!(head.contains("host: desk.example\r\n"), "{head}");
}

struct Echo;

#[async_trait::async_trait]
impl Handler for Echo {
    async fn handle(&self, request: Request, _connection: &Connection) -> Response {
        let target = request.ext().get::<RequestTarget>().map(RequestTarget::as_str);
        let mut response = Response::new(200);
        response.set_body(target.unwrap_or_default());
        response
    }
}

/// Guards against changed limits that do not apply to open connections.
#[async_std::test]
async fn changed_limits() {
    let limits = SharedLimits::from(long_limits());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(limits.clone(), Arc::new(Echo));
    task::spawn(async move {
        server
            .serve(listener, std::future::pending::<()>().boxed().shared())
            .await
    });
    let mut stream = async_std::net::TcpStream::connect(address).await.unwrap();
    let call = "POST /a/./b HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    stream.write_all(call.as_bytes()).await.unwrap();
    let response = read_until(&mut stream, "\r\n\r\n/a/./b").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    limits.set(Limits {
        body_bytes: ByteSize::new(3),
        ..long_limits()
    });
    stream.write_all(call.as_bytes()).await.unwrap();
    let head = read_until(&mut stream, "\r\n\r\n").await;
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
}
