//! Requests that end because the caller goes away or the daemon stops.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use std::sync::atomic::Ordering;

use common::{Fixture, KEY_A, body, completion, get, until};
use jm_http::Response;

/// Waits until the dispatch daemon works on one held call.
async fn held(fixture: &Fixture, count: u64) {
    let held = &fixture.dispatchers[0].handler.held;
    until(|| held.load(Ordering::SeqCst) == count).await;
}

async fn samples(fixture: &Fixture) -> Response {
    let answers = &fixture.dispatchers[0].handler.step_answers;
    answers
        .lock()
        .unwrap()
        .push_back("chunk {\"sequence\":1} | hold".to_owned());
    fixture.send(get("/v1/steps/s/samples", Some(KEY_A))).await
}

/// Guards against targets that go on working for callers who have gone.
#[async_std::test]
async fn gone_caller_cancels() {
    let fixture = Fixture::start(1).await;
    fixture.add("head 200 gen-1 | piece a 1 | hold");
    let stream = fixture.send(completion(Some(KEY_A))).await;
    held(&fixture, 1).await;
    assert_eq!(fixture.entry.open_requests(), 1);
    let read = samples(&fixture).await;
    held(&fixture, 2).await;
    assert_eq!(fixture.node.metrics.open_streams.get(), 2);
    drop((stream, read));
    held(&fixture, 0).await;
    assert_eq!(
        (
            fixture.entry.open_requests(),
            fixture.node.metrics.open_streams.get()
        ),
        (0, 0)
    );
}

/// Guards against a planned stop that waits for the end of a step or cuts its stream, or that refuses requests of callers
/// who have not heard of it yet.
#[async_std::test]
async fn stop_ends_sample_streams() {
    let fixture = Fixture::start(1).await;
    let read = samples(&fixture).await;
    fixture.trigger.leave();
    fixture.add("head 200 gen-1 | piece a 1 | done");
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
