//! Guards against responses that are buffered, truncated without an error or sent out of order.

mod common;

use std::sync::{Arc, Mutex};

use common::{TestServer, client, get, long_limits, read_to_close, request, with_hang_timeout};
use futures::{AsyncReadExt, AsyncWriteExt};
use jm_http::{Body, Method, Response, channel_body, error_response, read_body_to_end};
use jm_types::{ByteSize, ResultCode};

const CLOSING: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

async fn server_with(body: Body) -> TestServer {
    let body = Arc::new(Mutex::new(Some(body)));
    TestServer::start(long_limits(), move |_| {
        let body = body.lock().unwrap().take().unwrap();
        async move {
            let mut response = Response::new(200);
            response.set_body(body);
            response
        }
    })
    .await
}

#[async_std::test]
async fn each_piece_arrives_immediately() {
    let (sender, body) = channel_body();
    let server = server_with(body).await;
    let mut response = client().send(get(server.address)).await.unwrap();
    for piece in [b"one", b"two"] {
        sender.send(piece.to_vec()).await.unwrap();
        let mut read = [0; 3];
        with_hang_timeout(response.read_exact(&mut read)).await.unwrap();
        assert_eq!(&read, piece);
    }
    sender.finish().await.unwrap();
    assert_eq!(response.body_bytes().await.unwrap(), b"");
}

#[async_std::test]
async fn unfinished_body_is_an_error() {
    let (sender, body) = channel_body();
    let server = server_with(body).await;
    let mut response = client().send(get(server.address)).await.unwrap();
    sender.send(b"one".to_vec()).await.unwrap();
    drop(sender);
    let mut bytes = Vec::new();
    let error = with_hang_timeout(response.read_to_end(&mut bytes))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof);
    assert_eq!(bytes, b"one");
}

#[async_std::test]
async fn short_body_of_declared_length_is_an_error() {
    let server = server_with(Body::from_reader(futures::io::Cursor::new(b"short"), Some(50))).await;
    let mut response = client().send(get(server.address)).await.unwrap();
    let error = with_hang_timeout(response.body_bytes()).await.unwrap_err();
    assert!(
        error.to_string().contains("before its declared length"),
        "{error}"
    );
}

#[async_std::test]
async fn pipelined_responses_keep_their_order() {
    let server = TestServer::echo(long_limits()).await;
    let mut requests = String::new();
    for body in ["a", "bb", "ccc"] {
        let length = body.len();
        requests += &format!("PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}");
    }
    requests += "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let responses = server.exchange(requests.as_bytes()).await;
    let bodies = responses.split("HTTP/1.1 200 OK\r\n").skip(1);
    let bodies = bodies.map(|response| response.split_once("\r\n\r\n").unwrap().1);
    assert_eq!(bodies.collect::<Vec<_>>(), ["a", "bb", "ccc", ""]);
}

#[async_std::test]
async fn copied_framing_headers_do_not_contradict_the_body() {
    let server = TestServer::start(long_limits(), |_| async {
        let mut response = Response::new(200);
        response.set_body("abc");
        response.insert_header("content-length", "50");
        response.insert_header("transfer-encoding", "chunked");
        response.insert_header("connection", "upgrade");
        response
    })
    .await;
    let mut response = client().send(get(server.address)).await.unwrap();
    assert_eq!(response.body_string().await.unwrap(), "abc");
    let head = client()
        .send(request(Method::Head, server.address))
        .await
        .unwrap();
    assert_eq!(head.header("content-length").unwrap().as_str(), "50");
}

#[async_std::test]
async fn header_with_a_line_break_is_not_written() {
    let server = TestServer::start(long_limits(), |_| async {
        let mut response = Response::new(200);
        response.insert_header("x", "1\r\nset-cookie: 2");
        response
    })
    .await;
    let response = server.exchange(CLOSING).await;
    assert!(!response.contains("set-cookie"), "{response:?}");
    assert!(
        response.contains(&ResultCode::Internal.to_string()),
        "{response:?}"
    );
}

#[async_std::test]
async fn response_without_body_leaves_the_connection_usable() {
    let server = TestServer::start(long_limits(), |request| async move {
        let mut response = Response::new(if request.url().path() == "/204" { 204 } else { 200 });
        response.set_body("abc");
        response
    })
    .await;
    let mut stream = server.connect().await;
    let first = b"GET /204 HTTP/1.1\r\nhost: a\r\n\r\nHEAD / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(first).await.unwrap();
    stream.write_all(CLOSING).await.unwrap();
    let responses = read_to_close(&mut stream).await;
    assert_eq!(responses.matches("abc").count(), 1, "{responses:?}");
    assert_eq!(responses.matches("HTTP/1.1 20").count(), 3, "{responses:?}");
}

#[async_std::test]
async fn error_response_escapes_its_message() {
    let message = "\"quoted\" \\ \n \u{1} š";
    let mut response = error_response(ResultCode::MalformedRequest, message);
    let content: serde_json::Value = serde_json::from_str(&response.body_string().await.unwrap()).unwrap();
    assert_eq!(content["message"], message);
    assert_eq!(content["code"], "JM1007");
    assert_eq!(content["name"], "MalformedRequest");
    assert_eq!(content["execution"], "not run");
}

#[async_std::test]
async fn body_is_read_up_to_its_limit() {
    assert_eq!(
        read_body_to_end("abc".into(), ByteSize::new(3)).await.unwrap(),
        b"abc"
    );
    let error = read_body_to_end("abcd".into(), ByteSize::new(3))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::FileTooLarge);
}
