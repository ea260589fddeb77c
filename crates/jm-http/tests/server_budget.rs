//! Guards against servers that buffer more than the memory budget of their process, and against rejections that are not
//! true or hit small bodies.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use async_trait::async_trait;
use common::{long_limits, with_hang_timeout};
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use jm_http::{
    BufferBudget, Client, Connection, Handler, Limits, Method, RejectionReason, Request, Response, Reuse,
    Server, SharedBytes, Url,
};
use jm_types::ByteSize;

const BUDGET_BYTES: u64 = 4_000_000;

/// Answers with the number of received bytes, or with as many bytes as the path says.
struct Counting;

#[async_trait]
impl Handler for Counting {
    async fn handle(&self, mut request: Request, _connection: &Connection) -> Response {
        let wanted = request.url().path().trim_start_matches('/').parse::<usize>();
        let body = SharedBytes::take(&mut request).await.unwrap();
        let mut response = Response::new(200);
        match wanted {
            Ok(count) => response.set_body(vec![b'x'; count]),
            Err(_) => response.set_body(body.len().to_string()),
        }
        response
    }
}

async fn serve(budget: &BufferBudget) -> SocketAddr {
    let limits = Limits {
        body_bytes: ByteSize::new(8_000_000),
        ..long_limits()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let never = std::future::pending::<()>().boxed().shared();
    let server = Server::new(limits, Arc::new(Counting)).with_budget(budget.clone());
    task::spawn(async move { server.serve(listener, never).await });
    address
}

async fn post(address: SocketAddr, body: Vec<u8>) -> (u16, String) {
    let mut request = Request::new(Method::Post, Url::parse("http://desk.example/").unwrap());
    request.set_body(body);
    let client = Client::new(long_limits());
    let sent = client.send_to(address.to_string(), request, Reuse::Fresh).await;
    let mut response = sent.unwrap();
    (response.status().into(), response.body_string().await.unwrap())
}

/// Sends a head and `sent` bytes of a body, and stays open.
async fn send_part(address: SocketAddr, length: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: desk.example\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; sent]).await.unwrap();
    stream
}

async fn wait_until(condition: impl Fn() -> bool) {
    with_hang_timeout(async {
        while !condition() {
            task::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// The stalled bodies are refused as not run, with a time to retry, and the complete one is served.
#[async_std::test]
async fn stalled_bodies() {
    let budget = BufferBudget::new(ByteSize::new(BUDGET_BYTES));
    let address = serve(&budget).await;
    let mut stalled = Vec::new();
    for _ in 0..2 {
        stalled.push(send_part(address, 1_900_000, 1_899_999).await);
    }
    wait_until(|| budget.used().get() >= 3_800_000).await;
    let answer = with_hang_timeout(post(address, vec![b'y'; 3_000_000])).await;
    assert_eq!(answer, (200, "3000000".to_owned()));
    assert!(budget.rejected(RejectionReason::Selected) >= 1);
    let mut refusals = 0;
    for stream in &mut stalled {
        let mut text = vec![0; 2_000];
        let Ok(Ok(amount)) =
            async_std::future::timeout(Duration::from_millis(300), stream.read(&mut text)).await
        else {
            continue;
        };
        let text = String::from_utf8_lossy(&text[..amount]).into_owned();
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
        assert!(text.contains("retry-after: 1"), "{text}");
        assert!(text.contains("JM1018") && text.contains("not run"), "{text}");
        refusals += 1;
    }
    assert!(refusals >= 1);
    drop(stalled);
    wait_until(|| budget.used().get() == 0).await;
}

/// Guards against small bodies that are refused while large ones fill the budget.
#[async_std::test]
async fn small_bodies() {
    let budget = BufferBudget::new(ByteSize::new(BUDGET_BYTES));
    let address = serve(&budget).await;
    let held = budget.share();
    held.set(BUDGET_BYTES);
    for _ in 0..20 {
        assert_eq!(post(address, vec![b'y'; 65_536]).await, (200, "65536".to_owned()));
    }
    let (status, _) = post(address, vec![b'y'; 1_000_000]).await;
    assert_eq!(status, 503);
    assert_eq!(budget.rejected(RejectionReason::NoMemory), 1);
    drop(held);
    assert_eq!(post(address, vec![b'y'; 1_000_000]).await.0, 200);
}

/// Guards against a caller that uploads a body for which the whole budget does not suffice.
#[async_std::test]
async fn body_above_budget() {
    let budget = BufferBudget::new(ByteSize::new(BUDGET_BYTES));
    let address = serve(&budget).await;
    let mut stream = send_part(address, 5_000_000, 0).await;
    let mut text = vec![0; 2_000];
    let amount = with_hang_timeout(stream.read(&mut text)).await.unwrap();
    assert!(text[..amount].starts_with(b"HTTP/1.1 503"));
}

/// Guards against responses that stay in memory because nobody reads them.
#[async_std::test]
async fn unread_responses() {
    let budget = BufferBudget::new(ByteSize::new(20_000_000));
    let address = serve(&budget).await;
    let mut open = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = "GET /16000000 HTTP/1.1\r\nhost: desk.example\r\n\r\n";
        stream.write_all(request.repeat(4).as_bytes()).await.unwrap();
        open.push(stream);
    }
    // A reader is given up once it has stopped and another connection needs memory.
    with_hang_timeout(async {
        while budget.rejected(RejectionReason::Selected) < 3 {
            assert_eq!(post(address, b"which".to_vec()).await, (200, "5".to_owned()));
            task::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    wait_until(|| budget.used().get() <= 20_000_000).await;
    drop(open);
    wait_until(|| budget.used().get() == 0).await;
}

/// Guards against idle connections that take all descriptors of a process.
#[async_std::test]
async fn idle_connections() {
    let budget = BufferBudget::with_connections(ByteSize::new(BUDGET_BYTES), 8);
    let address = serve(&budget).await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    wait_until(|| budget.used().get() >= 8 * 8_192).await;
    // A connection that has just been opened is not closed for another one.
    assert_eq!(post(address, b"which".to_vec()).await.0, 503);
    with_hang_timeout(async {
        while post(address, b"which".to_vec()).await != (200, "5".to_owned()) {
            task::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    assert_eq!(budget.rejected(RejectionReason::Selected), 1);
}

/// Guards against answers that take all memory of the process, so that no request can be accepted.
#[async_std::test]
async fn answers_leave_room() {
    let budget = BufferBudget::new(ByteSize::new(10_000_000));
    let limits = Limits {
        body_bytes: ByteSize::new(8_000_000),
        ..long_limits()
    };
    let client = Client::new(limits).with_budget(budget.clone());
    let mut answer = Response::new(200);
    answer.set_body(vec![b'x'; 5_000_000]);
    assert_eq!(client.read_body(&mut answer).await.unwrap().len(), 5_000_000);
    answer.set_body(vec![b'x'; 7_000_000]);
    let error = client.read_body(&mut answer).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::QuotaExceeded);
    assert_eq!(budget.used().get(), 0);
}
