//! Guards against peers that keep a client waiting, and against a client without a bound on its connections.

mod common;

use common::{TestServer, Then, get, long_limits, raw_peer, without_hang};
use futures::AsyncReadExt;
use jm_http::{Client, Limits};
use jm_types::DurationMs;

#[async_std::test]
async fn late_piece_is_an_error() {
    let (address, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde", Then::Hold).await;
    let client = Client::new(Limits {
        body_timeout_ms: DurationMs::new(50),
        ..long_limits()
    });
    let mut response = without_hang(client.send(get(address))).await.unwrap();
    let error = without_hang(response.read_to_end(&mut Vec::new()))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}

#[async_std::test]
async fn connections_are_bounded() {
    let (address, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n", Then::Hold).await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    let open = without_hang(client.send(get(address))).await.unwrap();
    let error = without_hang(client.send(get(address))).await.unwrap_err();
    assert!(!error.request_written(), "{error}");
    drop(open);
    without_hang(client.send(get(address))).await.unwrap();
}

/// Idle connections to one address must not keep a client from reaching another.
#[async_std::test]
async fn idle_connection_gives_way() {
    let idle = TestServer::echo(long_limits()).await;
    let (busy, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n", Then::Hold).await;
    let client = Client::new(Limits {
        connections: 2,
        connect_timeout_ms: DurationMs::new(60_000),
        ..long_limits()
    });
    without_hang(client.send(get(idle.address))).await.unwrap();
    let _first = without_hang(client.send(get(busy))).await.unwrap();
    let _second = without_hang(client.send(get(busy))).await.unwrap();
}

#[async_std::test]
async fn clones_share_the_bound() {
    let (address, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n", Then::Hold).await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    let _open = without_hang(client.clone().send(get(address))).await.unwrap();
    assert!(without_hang(client.send(get(address))).await.is_err());
    assert!(without_hang(common::client().send(get(address))).await.is_ok());
}

/// A connection that becomes idle must make room for a request that is already waiting.
#[async_std::test]
async fn waiting_request_gets_the_next_connection() {
    let server = TestServer::echo(long_limits()).await;
    let (busy, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na", Then::Hold).await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(60_000),
        ..long_limits()
    });
    let mut open = without_hang(client.send(get(busy))).await.unwrap();
    let waiting = client.send(get(server.address));
    let (response, body) = without_hang(futures::future::join(waiting, open.body_bytes())).await;
    assert!(response.is_ok());
    assert_eq!(body.unwrap(), b"a");
}
