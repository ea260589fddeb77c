//! Faults injected into single responses, and a crash of the whole engine.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use common::{SEED, engine, generate, generate_request, post, read_answer, request, send, try_send, version};
use futures::{AsyncBufReadExt, StreamExt};
use jm_http::{Body, Method, StatusCode};
use jm_standins::{EngineFault, Segment, expected_text};

/// Guards against a crash that leaves the listener open. Callers must get a refused connection, from which they can
/// conclude that the request did not run.
#[async_std::test]
async fn crash_refuses_connections() {
    let engine = engine().await;
    engine.fail_next(EngineFault::Crash { after_tokens: 3 });
    let mut generate_post = request(Method::Post, engine.address(), "/v1/generate");
    generate_post.set_body(Body::from_json(&generate_request("p", 10, 0)).unwrap());
    match try_send(generate_post).await {
        Ok(response) => {
            let answer = read_answer(response).await;
            assert!(answer.done.is_empty() && answer.tokens.len() <= 3);
        }
        // A crash also loses bytes in flight, which may include the response head.
        Err(error) => assert!(error.request_written()),
    }
    let refused = try_send(request(Method::Get, engine.address(), "/v1/load")).await;
    assert!(!refused.unwrap_err().request_written());
    engine.restart().await.unwrap();
    let answer = generate(engine.address(), &generate_request("p", 10, 0)).await;
    assert_eq!(answer.text(), expected_text(SEED, "p", 0, 10));
    assert_eq!(answer.done.len(), 1);
}

/// Guards against a truncation that callers could detect by a transport error.
#[async_std::test]
async fn truncated_without_error() {
    let engine = engine().await;
    engine.fail_next(EngineFault::Truncate { after_tokens: 4 });
    let answer = generate(engine.address(), &generate_request("p", 10, 0)).await;
    assert_eq!(
        (answer.tokens.len(), answer.done.len(), answer.cut),
        (4, 0, false)
    );
}

/// Guards against a stalled stream that cannot be cancelled.
#[async_std::test]
async fn stalled_stream_is_cancelled() {
    let engine = engine().await;
    engine.fail_next(EngineFault::Stall { after_tokens: 2 });
    let response = post(engine.address(), "/v1/generate", &generate_request("p", 10, 0)).await;
    let mut lines = response.lines();
    lines.next().await.unwrap().unwrap();
    lines.next().await.unwrap().unwrap();
    let cancel = send(request(Method::Delete, engine.address(), "/v1/requests/r1")).await;
    assert_eq!(cancel.status(), StatusCode::NoContent);
    let last = lines.next().await.unwrap().unwrap();
    let done: jm_standins::FinalLine = serde_json::from_str(&last).unwrap();
    assert!(done.cancelled);
    assert_eq!(engine.counts().cancelled, 1);
    let unknown = send(request(Method::Delete, engine.address(), "/v1/requests/r1")).await;
    assert_eq!(unknown.status(), StatusCode::NotFound);
}

/// Guards against a response under `NoVersion` that still contains a version.
#[async_std::test]
async fn no_version() {
    let engine = engine().await;
    engine.fail_next(EngineFault::NoVersion);
    let answer = generate(engine.address(), &generate_request("p", 5, 0)).await;
    assert!(answer.tokens.iter().all(|line| line.version.is_none()));
    assert!(answer.done[0].segments.is_empty());
}

/// Guards against a response under `WrongVersion` that still contains the loaded version.
#[async_std::test]
async fn wrong_version() {
    let engine = engine().await;
    engine.fail_next(EngineFault::WrongVersion { version: version(0) });
    let answer = generate(engine.address(), &generate_request("p", 5, 0)).await;
    let wrong = Segment {
        version: version(0),
        tokens: 5,
    };
    assert_eq!(answer.done[0].segments, [wrong]);
    assert!(answer.tokens.iter().all(|line| line.version == Some(version(0))));
}

/// Guards against a duplicate that differs from the first copy.
#[async_std::test]
async fn duplicate_response() {
    let engine = engine().await;
    engine.fail_next(EngineFault::SendTwice);
    let answer = generate(engine.address(), &generate_request("p", 5, 0)).await;
    let once = expected_text(SEED, "p", 0, 5);
    assert_eq!(answer.text(), format!("{once}{once}"));
    assert_eq!(answer.done.len(), 2);
    assert_eq!(answer.done[0], answer.done[1]);
}

/// Guards against a queued fault that also affects the next response, and against queued and default faults that are
/// applied in the wrong order.
#[async_std::test]
async fn faults_in_order() {
    let engine = engine().await;
    engine.set_fault(Some(EngineFault::NoVersion));
    engine.fail_next(EngineFault::Truncate { after_tokens: 0 });
    let request = generate_request("p", 2, 0);
    let first = read_answer(post(engine.address(), "/v1/generate", &request).await).await;
    let second = generate(engine.address(), &request).await;
    engine.set_fault(None);
    let third = generate(engine.address(), &request).await;
    assert!(first.tokens.is_empty());
    assert!(second.tokens.iter().all(|line| line.version.is_none()));
    assert!(third.tokens.iter().all(|line| line.version == Some(version(1))));
}
