//! Guards against a peer that sends bytes without end. A client that keeps reading holds the connection, fills its memory
//! or occupies its executor, so that no timeout and no other request makes progress.

mod common;

use std::net::SocketAddr;

use async_std::{
    channel::{Receiver, bounded},
    net::TcpListener,
    task,
};
use common::{get, long_limits, with_hang_timeout};
use futures::{AsyncReadExt, AsyncWriteExt};
use jm_http::{Client, ClientError, Limits};
use jm_types::ByteSize;

/// Answers each request with `start` and then `repeated` until the client closes. The receiver gets a message then.
async fn endless_peer(start: &'static str, repeated: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, on_close) = bounded(1);
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let amount = stream.read(&mut [0; 4_096]).await.unwrap();
        assert!(amount > 0, "the client sent a request");
        let repeated = repeated.repeat(1 + 16_000 / repeated.len());
        let mut written = stream.write_all(start.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(repeated.as_bytes()).await;
        }
        closed.send(()).await.unwrap();
    });
    (address, on_close)
}

fn limits() -> Limits {
    Limits {
        head_bytes: ByteSize::new(64_000),
        body_bytes: ByteSize::new(100_000),
        ..long_limits()
    }
}

/// The client fails with an invalid answer and closes the connection.
async fn assert_head_refused(start: &'static str, repeated: &'static str) {
    let (address, on_close) = endless_peer(start, repeated).await;
    let client = Client::new(limits());
    let result = with_hang_timeout(client.send(get(address))).await;
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::InvalidResponse { .. }), "{error:?}");
    with_hang_timeout(on_close.recv()).await.unwrap();
}

#[async_std::test]
async fn interim_heads() {
    assert_head_refused("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n").await;
}

#[async_std::test]
async fn header_lines() {
    assert_head_refused("HTTP/1.1 200 OK\r\n", "x-note: y\r\n").await;
}

#[async_std::test]
async fn no_answer_at_all() {
    assert_head_refused("", "noise ").await;
}

/// Reading the whole body fails at the size limit, and the connection is closed.
async fn assert_body_refused(start: &'static str, repeated: &'static str) {
    let (address, on_close) = endless_peer(start, repeated).await;
    let client = Client::new(limits());
    let mut response = with_hang_timeout(client.send(get(address))).await.unwrap();
    with_hang_timeout(client.read_body(&mut response))
        .await
        .expect_err("the body has no end");
    with_hang_timeout(on_close.recv()).await.unwrap();
}

#[async_std::test]
async fn chunks() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_body_refused(head, "4\r\nabcd\r\n").await;
}

#[async_std::test]
async fn trailers() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n";
    assert_body_refused(head, "x-note: y\r\n").await;
}

#[async_std::test]
async fn body_until_close() {
    assert_body_refused("HTTP/1.1 200 OK\r\n\r\n", "abcd").await;
}
