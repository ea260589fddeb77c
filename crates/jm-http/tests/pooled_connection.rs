//! Guards against a request whose outcome is unknown because the peer was closing its pooled connection.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use async_std::{channel::bounded, net::TcpListener, task};
use common::{
    AfterResponse, TestServer, client, get, long_limits, raw_peer, read_until, request, with_hang_timeout,
};
use futures::AsyncWriteExt;
use jm_http::{Client, ClientError, Limits, Method, Response};
use jm_types::DurationMs;

const EMPTY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Starts a peer that responds to `per_connection` requests on each connection and closes the connection after reading
/// one more.
async fn closing_peer(per_connection: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            for _ in 0..per_connection {
                read_until(&mut stream, "\r\n\r\n").await;
                stream.write_all(EMPTY).await.unwrap();
            }
            read_until(&mut stream, "\r\n\r\n").await;
        }
    });
    (address, connections)
}

#[async_std::test]
async fn safe_requests_share_a_connection() {
    let (address, connections) = closing_peer(4).await;
    let client = client();
    for method in [Method::Get, Method::Options, Method::Head, Method::Get] {
        with_hang_timeout(client.send(request(method, address)))
            .await
            .unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Guards against a second execution of a request that changes state. This includes `PUT` and `DELETE`: conditional
/// ones are not idempotent, and a retried `DELETE` whose first attempt took effect was reported as not applied.
#[async_std::test]
async fn unsafe_requests_use_a_new_connection() {
    let (peers, seen) = bounded(10);
    let counting = TestServer::start(long_limits(), move |request| {
        peers.try_send(request.peer_addr().unwrap().to_owned()).unwrap();
        async { Response::new(200) }
    })
    .await;
    let client = client();
    let methods = [
        Method::Get,
        Method::Post,
        Method::Patch,
        Method::Put,
        Method::Delete,
    ];
    for method in methods {
        with_hang_timeout(client.send(request(method, counting.address)))
            .await
            .unwrap();
    }
    with_hang_timeout(client.send_once(get(counting.address)))
        .await
        .unwrap();
    let mut peers = Vec::new();
    for _ in 0..=methods.len() {
        peers.push(seen.recv().await.unwrap());
    }
    peers.sort();
    peers.dedup();
    assert_eq!(peers.len(), methods.len() + 1);
}

/// Guards against a failed request when the peer closes a pooled connection while the request is being written.
#[async_std::test]
async fn safe_request_is_retried_on_a_new_connection() {
    let (address, connections) = closing_peer(1).await;
    let client = client();
    for _ in 0..3 {
        with_hang_timeout(client.send(get(address))).await.unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 3);
    let mut with_body = request(Method::Options, address);
    with_body.set_body("abc");
    with_hang_timeout(client.send(with_body)).await.unwrap();
    assert_eq!(connections.load(Ordering::SeqCst), 4);
}

/// Guards against reporting `not run` when the retry cannot connect, because the first attempt was already sent.
#[async_std::test]
async fn failed_retry_counts_as_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(EMPTY).await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        drop(listener);
    });
    let client = client();
    with_hang_timeout(client.send(get(address))).await.unwrap();
    let error = with_hang_timeout(client.send(get(address))).await.unwrap_err();
    assert!(error.request_written(), "{error}");
}

/// Guards against a retry after a timeout. The peer already has the request, so a retry would double its work.
#[async_std::test]
async fn late_response_is_not_retried() {
    let (address, connections) = raw_peer(EMPTY, AfterResponse::KeepOpen).await;
    let client = Client::new(Limits {
        // Long enough for the first response to arrive in time on a loaded machine.
        answer_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    with_hang_timeout(client.send(get(address))).await.unwrap();
    let error = with_hang_timeout(client.send(get(address))).await.unwrap_err();
    assert!(matches!(error, ClientError::ResponseTimeout { .. }), "{error}");
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Guards against excess bytes after a response that are returned as the response to the next request.
#[async_std::test]
async fn unexpected_bytes_end_a_connection() {
    let responses =
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    let (address, connections) = raw_peer(responses, AfterResponse::KeepOpen).await;
    let client = client();
    for _ in 0..2 {
        let mut response = with_hang_timeout(client.send(get(address))).await.unwrap();
        assert_eq!(response.body_string().await.unwrap(), "a");
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// Guards against bytes that arrive on an idle connection and are returned as the response to the next request.
#[async_std::test]
async fn unexpected_bytes_end_an_idle_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = client();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(EMPTY).await.unwrap();
        stream
    };
    let (response, mut stream) =
        with_hang_timeout(futures::future::join(client.send(get(address)), peer)).await;
    assert!(response.is_ok());
    stream
        .write_all(b"HTTP/1.1 500 Late\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(EMPTY).await.unwrap();
    };
    let (response, ()) = with_hang_timeout(futures::future::join(client.send(get(address)), peer)).await;
    assert_eq!(response.unwrap().status(), 200);
}

#[async_std::test]
async fn closing_connections_are_not_pooled() {
    let responses: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nconnection: keep, Close\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
    ];
    for response in responses {
        let (address, connections) = raw_peer(response, AfterResponse::KeepOpen).await;
        let client = client();
        for _ in 0..2 {
            // For the last response, this leaves the body unread.
            with_hang_timeout(client.send(get(address))).await.unwrap();
        }
        assert_eq!(connections.load(Ordering::SeqCst), 2);
    }
}

#[async_std::test]
async fn expired_connection_is_not_used() {
    let (address, connections) = raw_peer(EMPTY, AfterResponse::KeepOpen).await;
    let client = Client::new(Limits {
        idle_timeout_ms: DurationMs::new(0),
        ..long_limits()
    });
    for _ in 0..2 {
        with_hang_timeout(client.send(get(address))).await.unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[async_std::test]
async fn idle_connection_is_closed_by_the_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::new(Limits {
        idle_timeout_ms: DurationMs::new(20),
        ..long_limits()
    });
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(EMPTY).await.unwrap();
        common::read_to_close(&mut stream).await
    };
    let (response, rest) = with_hang_timeout(futures::future::join(client.send(get(address)), peer)).await;
    assert!(response.is_ok());
    assert_eq!(rest, "");
}
