//! Requests whose key is withdrawn or can no longer be verified.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, KEY_A, KEY_B, body, completion, get, wait_until};
use futures::{AsyncBufReadExt, StreamExt};
use jm_types::ResultCode;
use serde_json::Value;

const UNFINISHED_ANSWER: &str = "head 200 gen-1 | piece a 1 | hold";

async fn open_stream_lines(fixture: &Fixture, key: &str) -> futures::io::Lines<jm_http::Response> {
    fixture.add_answer(UNFINISHED_ANSWER);
    let mut lines = fixture.send(completion(Some(key))).await.lines();
    lines.next().await.unwrap().unwrap();
    lines
}

async fn abort_code(lines: &mut futures::io::Lines<jm_http::Response>) -> Value {
    let last: Value = serde_json::from_str(&lines.next().await.unwrap().unwrap()).unwrap();
    assert!(
        lines.next().await.unwrap().is_err(),
        "the body ends as if complete"
    );
    last["error"]["code"].clone()
}

/// Guards against an open stream that continues after its key is withdrawn, and against aborted requests of other keys.
#[async_std::test]
async fn withdrawal_aborts_streams() {
    let fixture = Fixture::start(1).await;
    let mut withdrawn = open_stream_lines(&fixture, KEY_A).await;
    let mut other = open_stream_lines(&fixture, KEY_B).await;
    fixture.remove("key key-a").await;
    assert_eq!(
        abort_code(&mut withdrawn).await,
        ResultCode::CutByWithdrawal.to_string()
    );
    fixture
        .assert_refused(completion(Some(KEY_A)), ResultCode::UnknownKey)
        .await;
    fixture.dispatchers[0].relay.cut_connections();
    fixture.add_answer("head 200 gen-1 | piece b 1 | done");
    assert!(other.next().await.unwrap().unwrap().contains('b'));
}

/// Guards against samples that are sent to the holder of a withdrawn key, and against a request that is not aborted
/// while it waits for its answer.
#[async_std::test]
async fn withdrawal_aborts_waiting_calls() {
    let fixture = Fixture::start(1).await;
    let sample = "chunk {\"sequence\":1} | hold";
    fixture.dispatchers[0]
        .handler
        .step_answers
        .lock()
        .unwrap()
        .push_back(sample.to_owned());
    let samples = fixture
        .send(get("/v1/steps/s/samples?after=0", Some(KEY_A)))
        .await;
    fixture.add_answer("hold");
    let withdraw = async {
        wait_until(|| !fixture.executed().is_empty()).await;
        fixture.remove("key key-a").await;
    };
    let (code, ()) = futures::join!(fixture.refusal_code(completion(Some(KEY_A))), withdraw);
    assert_eq!(code, ResultCode::CutByWithdrawal);
    assert!(body(samples).await.is_err());
    assert_eq!(fixture.entry.open_requests(), 0);
}

/// Guards against keyed requests that are served while the configuration may be outdated, and against open services
/// that fail in that state.
#[async_std::test]
async fn stale_daemon_serves_open_routes() {
    let fixture = Fixture::start(1).await;
    let mut stream = open_stream_lines(&fixture, KEY_A).await;
    fixture.lose_freshness().await;
    assert_eq!(
        abort_code(&mut stream).await,
        ResultCode::OutcomeUnknown.to_string()
    );
    fixture
        .assert_refused(completion(Some(KEY_A)), ResultCode::NotFresh)
        .await;
    fixture
        .assert_refused(get("/v1/steps/s/samples", Some(KEY_A)), ResultCode::NotFresh)
        .await;
    fixture.add_answer("head 200 c | chunk list | done");
    let open = fixture
        .send(get("/v1/services/catalogue/list", Some(KEY_A)))
        .await;
    assert_eq!(body(open).await.unwrap(), "list");
    fixture.set_down(false);
    wait_until(|| fixture.node.is_fresh()).await;
    fixture.add_answer(UNFINISHED_ANSWER);
    assert!(fixture.send(completion(Some(KEY_A))).await.status().is_success());
}
