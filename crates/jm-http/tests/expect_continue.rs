//! Guards against a handler that runs with an empty body because the caller waits for `100 Continue`.

mod common;

use common::{TestServer, long_limits, read_to_close, read_until};
use futures::AsyncWriteExt;
use jm_types::{DurationMs, ResultCode};

const HEAD: &str =
    "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-Continue\r\ncontent-length: 3\r\nconnection: close\r\n\r\n";

#[async_std::test]
async fn continues_and_reads_the_body() {
    let server = TestServer::echo(long_limits()).await;
    let mut stream = server.connect().await;
    stream.write_all(HEAD.as_bytes()).await.unwrap();
    let interim = read_until(&mut stream, "\r\n\r\n").await;
    assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(server.handled(), 0);
    stream.write_all(b"abc").await.unwrap();
    let response = read_to_close(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    assert!(response.ends_with("\r\n\r\nabc"), "{response:?}");
}

#[async_std::test]
async fn body_that_never_arrives_is_refused() {
    let mut limits = long_limits();
    limits.body_timeout_ms = DurationMs::new(50);
    let server = TestServer::echo(limits).await;
    let response = server.exchange(HEAD.as_bytes()).await;
    assert!(
        response.starts_with("HTTP/1.1 100 Continue\r\n\r\n"),
        "{response:?}"
    );
    assert!(
        response.contains(&ResultCode::RequestTimeout.to_string()),
        "{response:?}"
    );
    assert_eq!(server.handled(), 0);
}
