//! Guards against peers that keep connections open without making progress.

mod common;

use std::sync::{Arc, Mutex};

use common::{TestServer, long_limits, read_to_close, read_until, with_hang_timeout};
use futures::AsyncWriteExt;
use jm_http::{Limits, Response, channel_body};
use jm_types::{DurationMs, ResultCode};

const SHORT: DurationMs = DurationMs::new(50);

#[async_std::test]
async fn idle_connection_is_closed() {
    let limits = Limits {
        // Long enough to write the request in time on a loaded machine.
        idle_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    };
    let server = TestServer::echo(limits).await;
    assert_eq!(server.exchange(b"").await, "");
    let mut kept = server.connect().await;
    kept.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let response = read_to_close(&mut kept).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    assert!(!response.contains("connection: close"), "{response:?}");
}

#[async_std::test]
async fn late_head_is_refused() {
    let limits = Limits {
        head_timeout_ms: SHORT,
        ..long_limits()
    };
    let server = TestServer::echo(limits).await;
    let response = server.exchange(b"GET / HT").await;
    assert!(
        response.contains(&ResultCode::RequestTimeout.to_string()),
        "{response:?}"
    );
}

#[async_std::test]
async fn late_handler_times_out() {
    let limits = Limits {
        answer_timeout_ms: SHORT,
        ..long_limits()
    };
    let server = TestServer::start(limits, |_| std::future::pending()).await;
    let response = server
        .exchange(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await;
    assert!(
        response.contains(&ResultCode::AnswerTimeout.to_string()),
        "{response:?}"
    );
    assert!(response.contains("outcome unknown"), "{response:?}");
}

#[async_std::test]
async fn panicking_handler_returns_an_error() {
    let server = TestServer::start(long_limits(), |_| async { panic!("expected by the test") }).await;
    let response = server
        .exchange(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await;
    assert!(
        response.contains(&ResultCode::Internal.to_string()),
        "{response:?}"
    );
}

#[async_std::test]
async fn connections_over_the_limit_are_refused() {
    let limits = Limits {
        connections: 1,
        ..long_limits()
    };
    let server = TestServer::echo(limits).await;
    let mut first = server.connect().await;
    first
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut first, "\r\n\r\n").await;
    let response = server.exchange(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(
        response.contains(&ResultCode::TooManyConnections.to_string()),
        "{response:?}"
    );
    assert_eq!(server.handled(), 1);
    drop(first);
    with_hang_timeout(async {
        loop {
            let response = server
                .exchange(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                .await;
            if response.starts_with("HTTP/1.1 200 ") {
                return;
            }
        }
    })
    .await;
}

#[async_std::test]
async fn stalled_reader_is_disconnected() {
    let limits = Limits {
        body_timeout_ms: SHORT,
        ..long_limits()
    };
    let (sender, body) = channel_body();
    let body = Arc::new(Mutex::new(Some(body)));
    let server = TestServer::start(limits, move |_| {
        let body = body.lock().unwrap().take().unwrap();
        async move {
            let mut response = Response::new(200);
            response.set_body(body);
            response
        }
    })
    .await;
    let mut stream = server.connect().await;
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    with_hang_timeout(async { while sender.send(vec![0; 100_000]).await.is_ok() {} }).await;
}
