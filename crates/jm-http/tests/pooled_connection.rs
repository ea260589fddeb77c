//! Guards against a request that becomes ambiguous because its pooled connection was closing.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use async_std::{channel::bounded, net::TcpListener, task};
use common::{TestServer, Then, client, get, long_limits, raw_peer, read_until, request, without_hang};
use futures::AsyncWriteExt;
use jm_http::{Client, ClientError, Limits, Method, Response};
use jm_types::DurationMs;

const EMPTY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A peer that answers `per_connection` requests on each connection and closes when it has read one more.
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
        without_hang(client.send(request(method, address))).await.unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Guards against a second run of a change. `PUT` and `DELETE` count as changes: under a condition they are not
/// idempotent, and a repeated deletion whose first attempt took effect was reported as not applied.
#[async_std::test]
async fn other_requests_use_a_fresh_connection() {
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
        without_hang(client.send(request(method, counting.address)))
            .await
            .unwrap();
    }
    without_hang(client.send_once(get(counting.address)))
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

/// The peer closes a connection just as the next request is written to it.
#[async_std::test]
async fn safe_request_moves_to_a_fresh_connection() {
    let (address, connections) = closing_peer(1).await;
    let client = client();
    for _ in 0..3 {
        without_hang(client.send(get(address))).await.unwrap();
    }
    assert_eq!(connections.load(Ordering::SeqCst), 3);
    let mut with_body = request(Method::Options, address);
    with_body.set_body("abc");
    without_hang(client.send(with_body)).await.unwrap();
    assert_eq!(connections.load(Ordering::SeqCst), 4);
}

/// The first attempt left this host, so `not run` would be wrong although no second connection opens.
#[async_std::test]
async fn failed_repetition_is_written() {
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
    without_hang(client.send(get(address))).await.unwrap();
    let error = without_hang(client.send(get(address))).await.unwrap_err();
    assert!(error.request_written(), "{error}");
}

/// A peer that is late has the request; asking again would double its work.
#[async_std::test]
async fn late_answer_is_not_repeated() {
    let (address, connections) = raw_peer(EMPTY, Then::Hold).await;
    let client = Client::new(Limits {
        // Long enough for a busy machine to give the first answer in time.
        answer_timeout_ms: DurationMs::new(1_000),
        ..long_limits()
    });
    without_hang(client.send(get(address))).await.unwrap();
    let error = without_hang(client.send(get(address))).await.unwrap_err();
    assert!(matches!(error, ClientError::ResponseTimeout { .. }), "{error}");
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Bytes that follow an answer belong to no request and must not become the answer to the next one.
#[async_std::test]
async fn unexpected_bytes_end_a_connection() {
    let answers =
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    let (address, connections) = raw_peer(answers, Then::Hold).await;
    let client = client();
    for _ in 0..2 {
        let mut response = without_hang(client.send(get(address))).await.unwrap();
        assert_eq!(response.body_string().await.unwrap(), "a");
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// The same for bytes that arrive while the connection is idle.
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
    let (response, mut stream) = without_hang(futures::future::join(client.send(get(address)), peer)).await;
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
    let (response, ()) = without_hang(futures::future::join(client.send(get(address)), peer)).await;
    assert_eq!(response.unwrap().status(), 200);
}

#[async_std::test]
async fn closing_answers_are_not_pooled() {
    let answers: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nconnection: keep, Close\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
    ];
    for answer in answers {
        let (address, connections) = raw_peer(answer, Then::Hold).await;
        let client = client();
        for _ in 0..2 {
            // The body of the last answer is not read to its end.
            without_hang(client.send(get(address))).await.unwrap();
        }
        assert_eq!(connections.load(Ordering::SeqCst), 2);
    }
}

#[async_std::test]
async fn expired_connection_is_not_used() {
    let (address, connections) = raw_peer(EMPTY, Then::Hold).await;
    let client = Client::new(Limits {
        idle_timeout_ms: DurationMs::new(0),
        ..long_limits()
    });
    for _ in 0..2 {
        without_hang(client.send(get(address))).await.unwrap();
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
    let (response, rest) = without_hang(futures::future::join(client.send(get(address)), peer)).await;
    assert!(response.is_ok());
    assert_eq!(rest, "");
}
