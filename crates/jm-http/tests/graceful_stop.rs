//! Guards against a stop that cuts requests, and one that waits for idle connections.

mod common;

use std::sync::Arc;

use async_std::{
    channel::bounded,
    net::{TcpListener, TcpStream},
};
use async_trait::async_trait;
use common::{TestServer, client, drop_signal, get, long_limits, read_to_close, read_until, without_hang};
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
async fn open_request_is_answered_and_idle_connection_closed() {
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
    without_hang(running.recv()).await.unwrap();

    drop(server.stop.take());
    assert_eq!(read_to_close(&mut idle).await, "");
    go.send(()).await.unwrap();
    let answer = read_to_close(&mut open).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer:?}");
    drop((idle, open));
    without_hang(server.served).await.unwrap();
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// The kernel accepts connections before the server does. They may carry a request when the server stops.
#[async_std::test]
async fn request_written_before_the_stop_is_answered() {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .await
            .unwrap();
        let stop = futures::future::ready(()).shared();
        let server = Server::new(long_limits(), Arc::new(Empty));
        let answer = async {
            let answer = read_to_close(&mut stream).await;
            drop(stream);
            answer
        };
        let (served, answer) = without_hang(join(server.serve(listener, stop), answer)).await;
        served.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    }
}

/// The request of a connection that was just opened may still be on its way.
#[async_std::test]
async fn first_request_after_the_stop_is_answered() {
    let mut server = TestServer::echo(long_limits()).await;
    let mut stream = server.connect().await;
    drop(server.stop.take());
    without_hang(async { while TcpStream::connect(server.address).await.is_ok() {} }).await;
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let answer = read_to_close(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    drop(stream);
    without_hang(server.served).await.unwrap();
}

#[async_std::test]
async fn pooled_connection_does_not_delay_the_stop() {
    let mut server = TestServer::echo(long_limits()).await;
    let client = client();
    client.send(get(server.address)).await.unwrap();
    drop(server.stop.take());
    without_hang(server.served).await.unwrap();
    let error = client.send(get(server.address)).await.unwrap_err();
    assert!(!error.request_written(), "{error}");
}
