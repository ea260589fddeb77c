//! Guards against a wrong statement on whether a request may have run: `not run` must be true.

mod common;

use async_std::net::TcpListener;
use common::{TestServer, Then, client, get, long_limits, raw_peer, request, without_hang};
use jm_http::{Body, Client, ClientError, Limits, Method, Request, Response, Url, channel_body};
use jm_types::{ByteSize, DurationMs};

async fn error_of(client: &Client, request: Request) -> ClientError {
    without_hang(client.send(request)).await.unwrap_err()
}

#[async_std::test]
async fn refused_connection_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = error_of(&client(), request(Method::Post, address)).await;
    assert!(!error.request_written(), "{error}");
}

#[async_std::test]
async fn invalid_request_is_not_written() {
    let (address, connections) = raw_peer(b"HTTP/1.1 200 OK\r\n\r\n", Then::Close).await;
    let mut line_end = get(address);
    line_end.insert_header("x", "1\r\ny: 2");
    let mut bad_name = get(address);
    bad_name.insert_header("x y", "1");
    let mut two_keys = get(address);
    two_keys.append_header("authorization", "Bearer a");
    two_keys.append_header("authorization", "Bearer b");
    let mut short_body = request(Method::Post, address);
    short_body.set_body(Body::from_reader(futures::io::Cursor::new(b"abc"), Some(30)));
    let other_scheme = Request::new(Method::Get, Url::parse("https://127.0.0.1/").unwrap());
    for invalid in [line_end, bad_name, two_keys, short_body, other_scheme] {
        let error = error_of(&client(), invalid).await;
        assert!(!error.request_written(), "{error}");
    }
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 0);
}

#[async_std::test]
async fn closed_connection_is_written() {
    let (address, _) = raw_peer(b"", Then::Close).await;
    let error = error_of(&client(), request(Method::Post, address)).await;
    assert!(error.request_written(), "{error}");
}

#[async_std::test]
async fn late_answers_are_written() {
    for (answer, limits) in [
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
        let (address, _) = raw_peer(answer, Then::Hold).await;
        let error = error_of(&Client::new(limits), request(Method::Post, address)).await;
        assert!(matches!(error, ClientError::ResponseTimeout { .. }), "{error}");
        assert!(error.request_written(), "{error}");
    }
}

/// The peer must see a cut request, not a whole one, when the body fails after the head was written.
#[async_std::test]
async fn failing_body_is_written_and_never_handled() {
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

/// A server refuses a large body before it has read it; its answer is worth more than the failed write.
#[async_std::test]
async fn early_answer_is_returned() {
    let limits = Limits {
        body_bytes: ByteSize::new(10),
        ..long_limits()
    };
    let server = TestServer::echo(limits).await;
    let mut post = request(Method::Post, server.address);
    post.set_body(vec![b'x'; 4_000_000]);
    let response = without_hang(client().send(post)).await.unwrap();
    assert_eq!(response.status(), 413);
    assert_eq!(server.handled(), 0);
}

#[async_std::test]
async fn streamed_request_arrives_whole() {
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
    let (response, ()) = without_hang(futures::future::join(client.send(post), feed)).await;
    assert_eq!(response.unwrap().body_string().await.unwrap(), "onetwo");
}

/// A request that is passed on must not name the host that its caller named.
#[async_std::test]
async fn host_is_that_of_the_url() {
    let server = TestServer::start(long_limits(), |request| async move {
        let mut response = Response::new(200);
        response.set_body(request.host().unwrap_or_default());
        response
    })
    .await;
    let mut copied = get(server.address);
    copied.insert_header("host", "elsewhere");
    let mut response = without_hang(client().send(copied)).await.unwrap();
    assert_eq!(response.body_string().await.unwrap(), server.address.to_string());
}
