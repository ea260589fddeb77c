//! The plain service: execution counts, faults and recording.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use std::net::SocketAddr;

use async_std::net::TcpStream;
use common::{request, send, try_send};
use futures::{AsyncReadExt, AsyncWriteExt};
use jm_http::{Method, Request};
use jm_standins::{PlainService, REQUEST_ID_HEADER, ServiceAnswer, ServiceFault, ServiceOptions};
use jm_types::DurationMs;

async fn service() -> PlainService {
    PlainService::start(ServiceOptions::default()).await.unwrap()
}

fn order(address: SocketAddr, id: &str) -> Request {
    let mut order = request(Method::Post, address, "/orders/new");
    order.set_body(format!("{{\"request_id\":\"{id}\",\"racks\":2}}"));
    order
}

/// The raw response bytes on a new connection, read without an HTTP library.
async fn raw_exchange(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: service\r\njm-request-id: raw\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against executions counted under the wrong id.
#[async_std::test]
async fn counts_by_id() {
    let service = service().await;
    let mut answer = send(order(service.address(), "a")).await;
    let answer: ServiceAnswer = answer.body_json().await.unwrap();
    assert_eq!(answer.echo, "{\"request_id\":\"a\",\"racks\":2}");
    assert_eq!(
        (answer.method.as_str(), answer.path.as_str()),
        ("POST", "/orders/new")
    );
    send(order(service.address(), "a")).await;
    let mut by_header = request(Method::Put, service.address(), "/orders/1");
    by_header.insert_header(REQUEST_ID_HEADER, "b");
    send(by_header).await;
    send(request(Method::Get, service.address(), "/orders?request_id=c")).await;
    send(request(Method::Get, service.address(), "/orders")).await;
    let counts = ["a", "b", "c"].map(|id| service.executions(id));
    assert_eq!((counts, service.executions_without_id()), ([2, 1, 1], 1));
}

/// Guards against `CrashBefore` that counts an execution and `CrashAfter` that counts none. The tests of at-most-once
/// execution rely on these counts.
#[async_std::test]
async fn crash_before_and_after() {
    let service = service().await;
    service.fail_next(ServiceFault::CrashBefore);
    service.fail_next(ServiceFault::CrashAfter);
    let before = try_send(order(service.address(), "before")).await;
    let after = try_send(order(service.address(), "after")).await;
    assert!(before.unwrap_err().request_written());
    assert!(after.unwrap_err().request_written());
    assert_eq!(
        (service.executions("before"), service.executions("after")),
        (0, 1)
    );
}

/// Guards against a crashed service that still accepts connections.
#[async_std::test]
async fn crash_and_restart() {
    let service = service().await;
    service.crash().await;
    let refused = try_send(order(service.address(), "a")).await;
    assert!(!refused.unwrap_err().request_written());
    service.restart().await.unwrap();
    send(order(service.address(), "a")).await;
    assert_eq!(service.executions("a"), 1);
}

/// Guards against a server library that corrects the wrong `content-length` before the response reaches the caller.
#[async_std::test]
async fn wrong_lengths() {
    let service = service().await;
    let stated = |answer: &str| -> usize {
        let (_, rest) = answer.split_once("content-length: ").unwrap();
        rest.split_once("\r\n").unwrap().0.parse().unwrap()
    };
    let body = |answer: &str| answer.split_once("\r\n\r\n").unwrap().1.len();
    service.fail_next(ServiceFault::ShortAnswer { missing_bytes: 9 });
    let short = raw_exchange(service.address()).await;
    assert_eq!(stated(&short) - body(&short), 9);
    service.fail_next(ServiceFault::LongAnswer { surplus_bytes: 5 });
    let long = raw_exchange(service.address()).await;
    assert_eq!(body(&long) - stated(&long), 5);
    assert_eq!(service.executions("raw"), 2);
}

/// Guards against a `Late` response whose request has not run, and against a `Slow` request that never runs.
#[async_std::test]
async fn slow_and_late() {
    let service = service().await;
    let delay_ms = DurationMs::new(20);
    service.set_fault(Some(ServiceFault::Slow { delay_ms }));
    send(order(service.address(), "slow")).await;
    service.set_fault(Some(ServiceFault::Late { delay_ms }));
    send(order(service.address(), "late")).await;
    assert_eq!((service.executions("slow"), service.executions("late")), (1, 1));
}

/// Guards against received bytes that are missing from the recording. Other tests search recordings for keys that must
/// not reach a target.
#[async_std::test]
async fn records_head_and_body() {
    let service = service().await;
    let mut secret = order(service.address(), "in-body");
    secret.insert_header("x-secret", "in-head");
    send(secret).await;
    let recording = service.recording();
    assert!(recording.complete);
    assert!(recording.contains(b"in-head") && recording.contains(b"in-body"));
    assert!(!recording.contains(b"elsewhere"));
}

/// Guards against a recording that reached its limit but reports that it is complete.
#[async_std::test]
async fn recording_is_bounded() {
    let options = ServiceOptions {
        max_recorded_bytes: 10,
        ..ServiceOptions::default()
    };
    let service = PlainService::start(options).await.unwrap();
    send(order(service.address(), "a")).await;
    let recording = service.recording();
    assert_eq!((recording.bytes(), recording.complete), (10, false));
}
