//! Guards against answers that `async-h1` returns short, empty or as something else: each is whole or an error.

mod common;

use std::io::ErrorKind;

use common::{Then, client, get, raw_peer, request, without_hang};
use futures::AsyncReadExt;
use jm_http::Method;

async fn body_of(answer: &'static [u8]) -> std::io::Result<String> {
    let (address, _) = raw_peer(answer, Then::Close).await;
    let mut response = without_hang(client().send(get(address))).await.unwrap();
    let mut text = String::new();
    without_hang(response.read_to_string(&mut text))
        .await
        .map(|_| text)
}

async fn assert_cut(answer: &'static [u8], kind: ErrorKind) {
    let error = body_of(answer).await.unwrap_err();
    assert_eq!(error.kind(), kind, "{:?}", String::from_utf8_lossy(answer));
}

async fn assert_refused(answer: &'static [u8]) {
    let (address, _) = raw_peer(answer, Then::Close).await;
    let text = String::from_utf8_lossy(answer);
    let error = without_hang(client().send(get(address))).await.expect_err(&text);
    assert!(error.request_written(), "{text:?}: {error}");
}

#[async_std::test]
async fn cut_bodies_are_errors() {
    let cut = ErrorKind::UnexpectedEof;
    assert_cut(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde", cut).await;
    assert_cut(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
        cut,
    )
    .await;
    assert_cut(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        cut,
    )
    .await;
    assert_cut(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
        cut,
    )
    .await;
    assert_cut(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", cut).await;
}

#[async_std::test]
async fn bad_chunks_are_errors() {
    let bad = ErrorKind::InvalidData;
    assert_cut(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        bad,
    )
    .await;
    assert_cut(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        bad,
    )
    .await;
}

/// A second read after the error must not look like the end of the body.
#[async_std::test]
async fn error_of_a_body_stays() {
    let (address, _) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabcde", Then::Close).await;
    let mut response = client().send(get(address)).await.unwrap();
    for _ in 0..2 {
        let error = without_hang(response.read_to_end(&mut Vec::new()))
            .await
            .unwrap_err();
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof);
    }
}

#[async_std::test]
async fn whole_bodies_are_read() {
    let answers: [&[u8]; 8] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
        b"HTTP/1.0 200 OK\r\n\r\nabc",
        b"HTTP/1.1 299 Custom\r\n\r\nabc",
        b"HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2;a=b\r\nab\r\n1\r\nc\r\n0\r\nx: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc",
    ];
    for answer in answers {
        assert_eq!(
            body_of(answer).await.unwrap(),
            "abc",
            "{:?}",
            String::from_utf8_lossy(answer)
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
async fn answers_without_body_end_with_their_head() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n";
    let (address, _) = raw_peer(answer, Then::Hold).await;
    let mut response = without_hang(client().send(request(Method::Head, address)))
        .await
        .unwrap();
    assert_eq!(response.header("content-length").unwrap().as_str(), "50");
    assert_eq!(without_hang(response.body_bytes()).await.unwrap(), b"");
    for answer in [
        &b"HTTP/1.1 204 No Content\r\n\r\n"[..],
        b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
    ] {
        let (address, _) = raw_peer(answer, Then::Hold).await;
        let mut response = without_hang(client().send(get(address))).await.unwrap();
        assert_eq!(without_hang(response.body_bytes()).await.unwrap(), b"");
    }
}
