//! Guards against a shutdown that interrupts open requests, and against a shutdown that waits for idle connections.

mod common;

use std::sync::Arc;

use async_std::{
    channel::bounded,
    net::{TcpListener, TcpStream},
};
use async_trait::async_trait;
use common::{
    TestServer, client, drop_signal, get, long_limits, read_to_close, read_until, with_hang_timeout,
};
use futures::{AsyncWriteExt, FutureExt, future::join};
use jm_http::{Connection, Handler, Request, Response, Server};

struct Empty;

#[async_trait]
impl Handler for Empty {
    async fn handle(&self, _request: Request, _connection: &Connection) -> Response {
        Response::new(200)
    }
}

#[async_std::test]
async fn open_request_completes_and_idle_connection_closes() {
    let (go, wait) = bounded::<()>(1);
    let (entered, running) = drop_signal();
    let mut server = TestServer::start(long_limits(), move |request| {
        let wait = wait.clone();
        let entered = entered.clone();
        async move {
            if request.url().path() == "/slow" {
                entered.send(()).await.unwrap();
                wait.recv().await.unwrap();
            }
            Response::new(200)
        }
    })
    .await;
    let mut idle = server.connect().await;
    idle.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut idle, "\r\n\r\n").await;
    let mut open = server.connect().await;
    open.write_all(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    with_hang_timeout(running.recv()).await.unwrap();

    drop(server.stop.take());
    assert_eq!(read_to_close(&mut idle).await, "");
    go.send(()).await.unwrap();
    let response = read_to_close(&mut open).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    drop((idle, open));
    with_hang_timeout(server.served).await.unwrap();
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// Guards against lost requests of connections that the kernel has established and the server has not accepted yet.
#[async_std::test]
async fn request_written_before_the_stop_completes() {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .await
            .unwrap();
        let stop = futures::future::ready(()).shared();
        let server = Server::new(long_limits(), Arc::new(Empty));
        let response = async {
            let response = read_to_close(&mut stream).await;
            drop(stream);
            response
        };
        let (served, response) = with_hang_timeout(join(server.serve(listener, stop), response)).await;
        served.unwrap();
        assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    }
}

/// Guards against a lost request that is still in transit on a new connection when the server stops.
#[async_std::test]
async fn first_request_after_the_stop_completes() {
    let mut server = TestServer::echo(long_limits()).await;
    let mut stream = server.connect().await;
    drop(server.stop.take());
    with_hang_timeout(async { while TcpStream::connect(server.address).await.is_ok() {} }).await;
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let response = read_to_close(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    drop(stream);
    with_hang_timeout(server.served).await.unwrap();
}

#[async_std::test]
async fn pooled_connection_does_not_delay_the_stop() {
    let mut server = TestServer::echo(long_limits()).await;
    let client = client();
    client.send(get(server.address)).await.unwrap();
    drop(server.stop.take());
    with_hang_timeout(server.served).await.unwrap();
    let error = client.send(get(server.address)).await.unwrap_err();
    assert!(!error.request_written(), "{error}");
}
