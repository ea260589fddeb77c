//! Guards against an error that reports a request as `not run` although it may have reached the peer.

mod common;

use async_std::net::TcpListener;
use common::{AfterResponse, TestServer, client, get, long_limits, raw_peer, request, with_hang_timeout};
use jm_http::{Body, Client, ClientError, Limits, Method, Request, Response, Url, channel_body};
use jm_types::{ByteSize, DurationMs};

async fn error_of(client: &Client, request: Request) -> ClientError {
    with_hang_timeout(client.send(request)).await.unwrap_err()
}

#[async_std::test]
async fn refused_connection_counts_as_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = error_of(&client(), request(Method::Post, address)).await;
    assert!(!error.request_written(), "{error}");
}

#[async_std::test]
async fn invalid_request_counts_as_not_written() {
    let (address, connections) = raw_peer(b"HTTP/1.1 200 OK\r\n\r\n", AfterResponse::Close).await;
    let mut line_break = get(address);
    line_break.insert_header("x", "1\r\ny: 2");
    let mut bad_name = get(address);
    bad_name.insert_header("x y", "1");
    let mut two_keys = get(address);
    two_keys.append_header("authorization", "Bearer a");
    two_keys.append_header("authorization", "Bearer b");
    let mut short_body = request(Method::Post, address);
    short_body.set_body(Body::from_reader(futures::io::Cursor::new(b"abc"), Some(30)));
    let other_scheme = Request::new(Method::Get, Url::parse("https://127.0.0.1/").unwrap());
    for invalid in [line_break, bad_name, two_keys, short_body, other_scheme] {
        let error = error_of(&client(), invalid).await;
        assert!(!error.request_written(), "{error}");
    }
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 0);
}

#[async_std::test]
async fn closed_connection_counts_as_written() {
    let (address, _) = raw_peer(b"", AfterResponse::Close).await;
    let error = error_of(&client(), request(Method::Post, address)).await;
    assert!(error.request_written(), "{error}");
}

#[async_std::test]
async fn late_responses_count_as_written() {
    for (response, limits) in [
        (
            &b""[..],
            Limits {
                answer_timeout_ms: DurationMs::new(50),
                ..long_limits()
            },
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n",
            Limits {
                answer_timeout_ms: DurationMs::new(50),
                ..long_limits()
            },
        ),
        (
            b"HTTP/1.1 200 O",
            Limits {
                head_timeout_ms: DurationMs::new(50),
                ..long_limits()
            },
        ),
    ] {
        let (address, _) = raw_peer(response, AfterResponse::KeepOpen).await;
        let error = error_of(&Client::new(limits), request(Method::Post, address)).await;
        assert!(matches!(error, ClientError::ResponseTimeout { .. }), "{error}");
        assert!(error.request_written(), "{error}");
    }
}

/// Guards against a request that looks complete to the peer although its body failed after the head was written.
#[async_std::test]
async fn failing_body_counts_as_written_and_is_not_handled() {
    let server = TestServer::echo(long_limits()).await;
    let (sender, body) = channel_body();
    sender.send(b"abc".to_vec()).await.unwrap();
    drop(sender);
    let mut post = request(Method::Post, server.address);
    post.set_body(body);
    let error = error_of(&client(), post).await;
    assert!(error.request_written(), "{error}");
    assert_eq!(server.handled(), 0);
}

/// Guards against a lost response of a server that refuses a large body before reading it. The client must return this
/// response and not the write error.
#[async_std::test]
async fn early_response_is_returned() {
    let limits = Limits {
        body_bytes: ByteSize::new(10),
        ..long_limits()
    };
    let server = TestServer::echo(limits).await;
    let mut post = request(Method::Post, server.address);
    post.set_body(vec![b'x'; 4_000_000]);
    let response = with_hang_timeout(client().send(post)).await.unwrap();
    assert_eq!(response.status(), 413);
    assert_eq!(server.handled(), 0);
}

#[async_std::test]
async fn streamed_request_arrives_completely() {
    let server = TestServer::start(long_limits(), |mut request| async move {
        let mut response = Response::new(200);
        response.set_body(request.take_body());
        response
    })
    .await;
    let (sender, body) = channel_body();
    let mut post = request(Method::Post, server.address);
    post.set_body(body);
    let feed = async {
        sender.send(b"one".to_vec()).await.unwrap();
        sender.send(b"two".to_vec()).await.unwrap();
        sender.finish().await.unwrap();
    };
    let client = client();
    let (response, ()) = with_hang_timeout(futures::future::join(client.send(post), feed)).await;
    assert_eq!(response.unwrap().body_string().await.unwrap(), "onetwo");
}

/// Guards against a forwarded request that still carries the `host` header of its caller.
#[async_std::test]
async fn host_header_matches_the_url() {
    let server = TestServer::start(long_limits(), |request| async move {
        let mut response = Response::new(200);
        response.set_body(request.host().unwrap_or_default());
        response
    })
    .await;
    let mut copied = get(server.address);
    copied.insert_header("host", "elsewhere");
    let mut response = with_hang_timeout(client().send(copied)).await.unwrap();
    assert_eq!(response.body_string().await.unwrap(), server.address.to_string());
}
