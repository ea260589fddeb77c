//! Guards against a client that waits forever for a stalled peer, and against an unlimited number of connections.

mod common;

use common::{AfterResponse, TestServer, get, long_limits, raw_peer, with_hang_timeout};
use futures::AsyncReadExt;
use jm_http::{Client, Limits};
use jm_types::DurationMs;

#[async_std::test]
async fn stalled_body_is_an_error() {
    let (address, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde",
        AfterResponse::KeepOpen,
    )
    .await;
    let client = Client::new(Limits {
        body_timeout_ms: DurationMs::new(50),
        ..long_limits()
    });
    let mut response = with_hang_timeout(client.send(get(address))).await.unwrap();
    let error = with_hang_timeout(response.read_to_end(&mut Vec::new()))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}

#[async_std::test]
async fn connections_are_bounded() {
    let (address, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n",
        AfterResponse::KeepOpen,
    )
    .await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    let open = with_hang_timeout(client.send(get(address))).await.unwrap();
    let error = with_hang_timeout(client.send(get(address))).await.unwrap_err();
    assert!(!error.request_written(), "{error}");
    drop(open);
    with_hang_timeout(client.send(get(address))).await.unwrap();
}

/// Guards against idle connections to one address that block requests to another address.
#[async_std::test]
async fn idle_connection_is_evicted() {
    let idle = TestServer::echo(long_limits()).await;
    let (busy, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n",
        AfterResponse::KeepOpen,
    )
    .await;
    let client = Client::new(Limits {
        connections: 2,
        connect_timeout_ms: DurationMs::new(60_000),
        ..long_limits()
    });
    with_hang_timeout(client.send(get(idle.address))).await.unwrap();
    let _first = with_hang_timeout(client.send(get(busy))).await.unwrap();
    let _second = with_hang_timeout(client.send(get(busy))).await.unwrap();
}

#[async_std::test]
async fn clones_share_the_bound() {
    let (address, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n",
        AfterResponse::KeepOpen,
    )
    .await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    let _open = with_hang_timeout(client.clone().send(get(address)))
        .await
        .unwrap();
    assert!(with_hang_timeout(client.send(get(address))).await.is_err());
    assert!(
        with_hang_timeout(common::client().send(get(address)))
            .await
            .is_ok()
    );
}

/// Guards against a waiting request that does not get the slot of a connection that becomes idle.
#[async_std::test]
async fn waiting_request_gets_the_next_connection() {
    let server = TestServer::echo(long_limits()).await;
    let (busy, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
        AfterResponse::KeepOpen,
    )
    .await;
    let client = Client::new(Limits {
        connections: 1,
        connect_timeout_ms: DurationMs::new(60_000),
        ..long_limits()
    });
    let mut open = with_hang_timeout(client.send(get(busy))).await.unwrap();
    let waiting = client.send(get(server.address));
    let (response, body) = with_hang_timeout(futures::future::join(waiting, open.body_bytes())).await;
    assert!(response.is_ok());
    assert_eq!(body.unwrap(), b"a");
}
