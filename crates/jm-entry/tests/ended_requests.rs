//! Requests that end because the caller disconnects or the daemon stops.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use std::sync::atomic::Ordering;

use common::{Fixture, KEY_A, body, completion, get, wait_until};
use jm_http::Response;

/// Waits until the dispatch daemon has `count` open calls.
async fn wait_for_open_calls(fixture: &Fixture, count: u64) {
    let open_calls = &fixture.dispatchers[0].handler.open_calls;
    wait_until(|| open_calls.load(Ordering::SeqCst) == count).await;
}

async fn samples(fixture: &Fixture) -> Response {
    let answers = &fixture.dispatchers[0].handler.step_answers;
    answers
        .lock()
        .unwrap()
        .push_back("chunk {\"sequence\":1} | hold".to_owned());
    fixture.send(get("/v1/steps/s/samples", Some(KEY_A))).await
}

/// Guards against targets that continue to work for callers that have disconnected.
#[async_std::test]
async fn disconnect_cancels_requests() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | hold");
    let stream = fixture.send(completion(Some(KEY_A))).await;
    wait_for_open_calls(&fixture, 1).await;
    assert_eq!(fixture.entry.open_requests(), 1);
    let read = samples(&fixture).await;
    wait_for_open_calls(&fixture, 2).await;
    assert_eq!(fixture.node.metrics.open_streams.get(), 2);
    drop((stream, read));
    wait_for_open_calls(&fixture, 0).await;
    assert_eq!(
        (
            fixture.entry.open_requests(),
            fixture.node.metrics.open_streams.get()
        ),
        (0, 0)
    );
}

/// Guards against a planned stop that waits for the end of a step or truncates its stream, and against a refusal of
/// requests from callers that have not received a new address list yet.
#[async_std::test]
async fn stop_ends_sample_streams() {
    let fixture = Fixture::start(1).await;
    let read = samples(&fixture).await;
    fixture.trigger.leave();
    fixture.add_answer("head 200 gen-1 | piece a 1 | done");
    assert!(
        fixture
            .text(completion(Some(KEY_A)))
            .await
            .contains("\"done\":true")
    );
    fixture.trigger.stop();
    let text = body(read).await.expect("a whole body");
    assert!(text.is_empty() || text == "{\"sequence\":1}\n");
    assert_eq!(fixture.entry.open_requests(), 0);
}
