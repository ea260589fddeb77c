//! Guards against a part of a response that is returned as the whole one because the peer reset the connection while the
//! request was being written.

mod common;

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use async_std::task;
use common::{client, request, with_hang_timeout};
use futures::{
    AsyncReadExt,
    future::{Either, select},
};
use jm_http::{ClientError, Method, Request, Response, Reuse, channel_body};

/// Larger than the buffers of both sockets, so that the request is never written completely.
const UPLOAD_BYTES: usize = 32_000_000;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Accepts a connection and reads the head of its request and nothing of its body.
fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    stream
}

fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn upload(method: Method, address: SocketAddr) -> Request {
    let mut request = request(method, address);
    request.set_body(vec![b'x'; UPLOAD_BYTES]);
    request
}

/// An upload in chunks, which never ends.
fn chunked_upload(method: Method, address: SocketAddr) -> Request {
    let (sender, body) = channel_body();
    task::spawn(async move { while sender.send(vec![b'x'; 64 * 1024]).await.is_ok() {} });
    let mut request = request(method, address);
    request.set_body(body);
    request
}

/// Sends `request` to a peer that writes `response` and ends the connection with `end` after it has read the head of the request.
/// The client does not run meanwhile, so that it finds the response and the end of the connection at once.
async fn answered_at_once(
    request: impl FnOnce(SocketAddr) -> Request,
    reuse: Reuse,
    response: &[u8],
    end: impl FnOnce(TcpStream),
) -> Result<Response, ClientError> {
    let (listener, address) = listen();
    let client = client();
    let send = Box::pin(client.send_to(address.to_string(), request(address), reuse));
    let accepted = task::spawn_blocking(move || accept(&listener));
    let Either::Right((mut stream, send)) = with_hang_timeout(select(send, accepted)).await else {
        panic!("the client got a response before the peer wrote one");
    };
    stream.write_all(response).unwrap();
    end(stream);
    with_hang_timeout(send).await
}

async fn body_of(mut response: Response) -> std::io::Result<String> {
    let mut text = String::new();
    let mut body = response.take_body();
    with_hang_timeout(body.read_to_string(&mut text)).await?;
    Ok(text)
}

/// Guards against a body without a length that ends with a reset and is returned as complete.
#[async_std::test]
async fn reset_during_upload() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\npart",
        b"HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nconnection: close\r\n\r\npart",
    ];
    let requests = [
        (upload as fn(_, _) -> _, Reuse::Pooled),
        (upload, Reuse::Fresh),
        (chunked_upload, Reuse::Fresh),
    ];
    let mut taken_as_whole = Vec::new();
    for bytes in responses {
        for (build, reuse) in requests {
            let build = |address| build(Method::Post, address);
            let body = match answered_at_once(build, reuse, bytes, reset).await {
                Ok(response) => body_of(response).await,
                Err(error) => {
                    assert!(error.request_written(), "{error}");
                    continue;
                }
            };
            taken_as_whole.extend(body);
        }
    }
    assert_eq!(taken_as_whole, Vec::<String>::new());
}

/// Guards against a lost response of a peer that declares the end of the body and resets the connection behind it.
#[async_std::test]
async fn declared_end_before_a_reset() {
    let responses: [&[u8]; 3] = [
        b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 5\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ];
    for bytes in responses {
        let build = |address| upload(Method::Post, address);
        let response = answered_at_once(build, Reuse::Fresh, bytes, reset).await.unwrap();
        let expected = if response.status() == 204 { "" } else { "whole" };
        assert_eq!(body_of(response).await.unwrap(), expected);
    }
    let cut: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
    ];
    for bytes in cut {
        let build = |address| upload(Method::Post, address);
        let response = answered_at_once(build, Reuse::Fresh, bytes, reset).await.unwrap();
        assert_eq!(
            body_of(response).await.unwrap_err().kind(),
            ErrorKind::UnexpectedEof
        );
    }
}

/// Guards against a reset that follows the head of the response, and against a response that is lost because the peer ends it in
/// order and does not read the rest of the upload.
#[async_std::test]
async fn end_after_the_head() {
    for ends_in_order in [true, false] {
        let (listener, address) = listen();
        let client = client();
        let send = Box::pin(client.send(upload(Method::Post, address)));
        let answer = task::spawn_blocking(move || {
            let mut stream = accept(&listener);
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole").unwrap();
            stream
        });
        let (response, stream) = with_hang_timeout(futures::future::join(send, answer)).await;
        let stream = match ends_in_order {
            true => {
                stream.shutdown(Shutdown::Write).unwrap();
                Some(stream)
            }
            false => {
                reset(stream);
                None
            }
        };
        let body = body_of(response.unwrap()).await;
        assert_eq!(body.is_ok(), ends_in_order, "{body:?}");
        drop(stream);
    }
}
