//! Guards against invalid responses that `async-h1` returns truncated, empty or altered. Each response must be complete
//! or an error.

mod common;

use std::io::ErrorKind;

use common::{AfterResponse, client, get, raw_peer, request, with_hang_timeout};
use futures::AsyncReadExt;
use jm_http::Method;

async fn body_of(response: &'static [u8]) -> std::io::Result<String> {
    let (address, _) = raw_peer(response, AfterResponse::Close).await;
    let mut response = with_hang_timeout(client().send(get(address))).await.unwrap();
    let mut text = String::new();
    with_hang_timeout(response.read_to_string(&mut text))
        .await
        .map(|_| text)
}

async fn assert_body_error(response: &'static [u8], kind: ErrorKind) {
    let error = body_of(response).await.unwrap_err();
    assert_eq!(error.kind(), kind, "{:?}", String::from_utf8_lossy(response));
}

async fn assert_refused(response: &'static [u8]) {
    let (address, _) = raw_peer(response, AfterResponse::Close).await;
    let text = String::from_utf8_lossy(response);
    let error = with_hang_timeout(client().send(get(address)))
        .await
        .expect_err(&text);
    assert!(error.request_written(), "{text:?}: {error}");
}

#[async_std::test]
async fn truncated_bodies_are_errors() {
    let truncated = ErrorKind::UnexpectedEof;
    assert_body_error(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde", truncated).await;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
        truncated,
    )
    .await;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        truncated,
    )
    .await;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
        truncated,
    )
    .await;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        truncated,
    )
    .await;
}

#[async_std::test]
async fn bad_chunks_are_errors() {
    let bad = ErrorKind::InvalidData;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        bad,
    )
    .await;
    assert_body_error(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        bad,
    )
    .await;
}

/// Guards against a second read after an error that reports the end of the body.
#[async_std::test]
async fn body_error_persists() {
    let (address, _) = raw_peer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde",
        AfterResponse::Close,
    )
    .await;
    let mut response = client().send(get(address)).await.unwrap();
    for _ in 0..2 {
        let error = with_hang_timeout(response.read_to_end(&mut Vec::new()))
            .await
            .unwrap_err();
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof);
    }
}

#[async_std::test]
async fn complete_bodies_are_read() {
    let responses: [&[u8]; 8] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
        b"HTTP/1.0 200 OK\r\n\r\nabc",
        b"HTTP/1.1 299 Custom\r\n\r\nabc",
        b"HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2;a=b\r\nab\r\n1\r\nc\r\n0\r\nx: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc",
    ];
    for response in responses {
        assert_eq!(
            body_of(response).await.unwrap(),
            "abc",
            "{:?}",
            String::from_utf8_lossy(response)
        );
    }
}

#[async_std::test]
async fn unreadable_heads_are_errors() {
    let heads: [&[u8]; 13] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
        b"HTTP/2 200 OK\r\n\r\nabc",
        b"HTTP/1.1 200 OK\nx: y\n\nabc",
        b"nothing like HTTP\r\n\r\n",
    ];
    for head in heads {
        assert_refused(head).await;
    }
    let long = format!("HTTP/1.1 200 OK\r\nx: {}\r\n\r\n", "x".repeat(8_000));
    assert_refused(long.leak().as_bytes()).await;
}

#[async_std::test]
async fn responses_without_body_end_with_their_head() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n";
    let (address, _) = raw_peer(response, AfterResponse::KeepOpen).await;
    let mut response = with_hang_timeout(client().send(request(Method::Head, address)))
        .await
        .unwrap();
    assert_eq!(response.header("content-length").unwrap().as_str(), "50");
    assert_eq!(with_hang_timeout(response.body_bytes()).await.unwrap(), b"");
    for response in [
        &b"HTTP/1.1 204 No Content\r\n\r\n"[..],
        b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
    ] {
        let (address, _) = raw_peer(response, AfterResponse::KeepOpen).await;
        let mut response = with_hang_timeout(client().send(get(address))).await.unwrap();
        assert_eq!(with_hang_timeout(response.body_bytes()).await.unwrap(), b"");
    }
}
