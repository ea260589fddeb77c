//! Guards against invalid request heads that `async-h1` accepts or drops without a response. Each of them must produce
//! its result code and close the connection, and the handler must not run.

mod common;

use common::{TestServer, long_limits};
use jm_types::ResultCode;

async fn refuses(head: &str, code: ResultCode) {
    let server = TestServer::echo(long_limits()).await;
    let response = server.exchange(head.as_bytes()).await;
    let status = format!("HTTP/1.1 {} ", code.http_status());
    assert!(response.starts_with(&status), "{head:?} got {response:?}");
    assert!(
        response.contains(&format!("\"code\":\"{code}\"")),
        "{head:?} got {response:?}"
    );
    assert!(
        response.contains("connection: close\r\n"),
        "{head:?} got {response:?}"
    );
    assert!(!response.contains("100 Continue"), "{head:?} got {response:?}");
    assert_eq!(server.handled(), 0, "{head:?}");
}

#[async_std::test]
async fn refuses_ambiguous_lengths() {
    let lengths = [
        "content-length: 3\r\ncontent-length: 4",
        "content-length: 3\r\nContent-Length: 3",
        "content-length: 3, 3",
        "content-length: +3",
        "content-length: ",
        "content-length: 99999999999999999999999",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked, chunked",
        "transfer-encoding: identity",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "content-length: 3\r\ntransfer-encoding: chunked",
        "expect: 100-continue\r\ncontent-length: 3\r\ntransfer-encoding: chunked",
    ];
    for lines in lengths {
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\nabc");
        refuses(&head, ResultCode::AmbiguousFraming).await;
    }
}

#[async_std::test]
async fn refuses_malformed_heads() {
    let heads = [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nhost:\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a@b\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a/b\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nauthorization: Bearer x\r\nAuthorization: Bearer y\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nname : value\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n",
        "GET / HTTP/1.1\nhost: a\n\n",
        "GET /a#b HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET ftp://a/b HTTP/1.1\r\nhost: a\r\n\r\n",
        "\u{16}\u{3}\u{1} not HTTP\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nx: \u{0}\r\n\r\n",
    ];
    for head in heads {
        refuses(head, ResultCode::MalformedRequest).await;
    }
}

#[async_std::test]
async fn refuses_other_versions_and_methods() {
    refuses(
        "GET / HTTP/1.0\r\nhost: a\r\n\r\n",
        ResultCode::UnsupportedVersion,
    )
    .await;
    refuses("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", ResultCode::UnsupportedVersion).await;
    refuses(
        "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
        ResultCode::MethodNotAllowed,
    )
    .await;
    refuses(
        "NOSUCH / HTTP/1.1\r\nhost: a\r\n\r\n",
        ResultCode::MethodNotAllowed,
    )
    .await;
}

#[async_std::test]
async fn refuses_heads_over_the_limit() {
    let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(8_000));
    refuses(&long, ResultCode::HeadTooLarge).await;
    let endless = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}", "x".repeat(20_000));
    refuses(&endless, ResultCode::HeadTooLarge).await;
    let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: 1\r\n".repeat(200));
    refuses(&many, ResultCode::HeadTooLarge).await;
}

#[async_std::test]
async fn refuses_unknown_expectations() {
    let head = "POST / HTTP/1.1\r\nhost: a\r\nexpect: 200-ok\r\ncontent-length: 1\r\n\r\n";
    refuses(head, ResultCode::UnsupportedExpectation).await;
}

/// Guards against a valid head that is refused because it arrives in many small reads.
#[async_std::test]
async fn accepts_a_head_in_single_bytes() {
    use futures::AsyncWriteExt;
    let server = TestServer::echo(long_limits()).await;
    let mut stream = server.connect().await;
    for byte in b"\r\nPOST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc" {
        stream.write_all(&[*byte]).await.unwrap();
    }
    let response = common::read_to_close(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    assert!(response.ends_with("\r\n\r\nabc"), "{response:?}");
}
