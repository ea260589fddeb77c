//! Guards against work that continues after its caller has disconnected.

mod common;

use std::sync::{Arc, Mutex};

use async_std::task;
use common::{TestServer, client, drop_signal, get, long_limits, read_until, with_hang_timeout};
use futures::{AsyncReadExt, AsyncWriteExt};
use jm_http::{Response, channel_body};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

#[async_std::test]
async fn waiting_handler_is_dropped() {
    let (guard, dropped) = drop_signal();
    let (entered, running) = drop_signal();
    let guard = Arc::new(Mutex::new(Some(guard)));
    let server = TestServer::start(long_limits(), move |_| {
        let guard = guard.lock().unwrap().take();
        let _ = entered.try_send(());
        async move {
            let _guard = guard;
            std::future::pending().await
        }
    })
    .await;
    let mut stream = server.connect().await;
    stream.write_all(REQUEST).await.unwrap();
    with_hang_timeout(running.recv()).await.unwrap();
    drop(stream);
    assert!(with_hang_timeout(dropped.recv()).await.is_err());
}

#[async_std::test]
async fn streaming_body_is_dropped() {
    let (sender, body) = channel_body();
    let body = Arc::new(Mutex::new(Some(body)));
    let server = TestServer::start(long_limits(), move |_| {
        let body = body.lock().unwrap().take().unwrap();
        async move {
            let mut response = Response::new(200);
            response.set_body(body);
            response
        }
    })
    .await;
    let mut stream = server.connect().await;
    stream.write_all(REQUEST).await.unwrap();
    sender.send(b"first".to_vec()).await.unwrap();
    read_until(&mut stream, "first\r\n").await;
    assert!(!sender.is_closed());
    drop(stream);
    // The server must detect the disconnect without writing another piece.
    with_hang_timeout(async {
        while !sender.is_closed() {
            task::yield_now().await;
        }
    })
    .await;
}

#[async_std::test]
async fn dropped_response_cancels_the_work_of_the_peer() {
    let (sender, body) = channel_body();
    let body = Arc::new(Mutex::new(Some(body)));
    let server = TestServer::start(long_limits(), move |_| {
        let body = body.lock().unwrap().take().unwrap();
        async move {
            let mut response = Response::new(200);
            response.set_body(body);
            response
        }
    })
    .await;
    sender.send(b"first".to_vec()).await.unwrap();
    let mut response = client().send(get(server.address)).await.unwrap();
    let mut piece = [0; 5];
    response.read_exact(&mut piece).await.unwrap();
    drop(response);
    with_hang_timeout(async {
        while !sender.is_closed() {
            task::yield_now().await;
        }
    })
    .await;
}
