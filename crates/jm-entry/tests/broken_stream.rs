//! Completions when links or engines fail.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, KEY_A, completion, post};
use futures::{AsyncBufReadExt, StreamExt};
use jm_types::ResultCode;
use serde_json::{Value, json};

fn tokens(text: &str) -> Vec<Value> {
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines
        .filter(|line| line.get("token").is_some())
        .map(|line| line["token"].clone())
        .collect()
}

fn last(text: &str) -> Value {
    serde_json::from_str(text.lines().last().unwrap()).unwrap()
}

/// Guards against a token that is lost or sent twice when the link breaks during an answer.
#[async_std::test]
async fn stream_resumes_after_broken_link() {
    let fixture = Fixture::start(2).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | piece b 1 | hold");
    fixture.add_answer("head 200 gen-1 | piece c 2 | piece d 2 | done");
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    let mut text = String::new();
    for _ in 0..2 {
        text += &(lines.next().await.unwrap().unwrap() + "\n");
    }
    let (member, _) = fixture.executed().remove(0);
    let broken = fixture.dispatcher_in(member.as_str());
    broken.relay.cut_connections();
    while let Some(line) = lines.next().await {
        text += &(line.unwrap() + "\n");
    }
    assert_eq!(tokens(&text), ["a", "b", "c", "d"]);
    let segments = json!([{"version": 1, "tokens": 2}, {"version": 2, "tokens": 2}]);
    assert_eq!(
        last(&text),
        json!({"done": true, "segments": segments, "tokens": 4})
    );
    let executed = fixture.executed();
    let (other, resumed) = &executed[1];
    assert_eq!((resumed.resume_tokens, executed.len()), (2, 2));
    assert_ne!(*other, member);
}

/// Guards against a stream that is resumed on the engine that failed, and against a lost last token.
#[async_std::test]
async fn failed_engine_is_avoided() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | refuse TargetFailed");
    fixture.add_answer("head 200 gen-2 | piece b 1 | done");
    let text = fixture.text(completion(Some(KEY_A))).await;
    assert_eq!(tokens(&text), ["a", "b"]);
    let (_, resumed) = &fixture.executed()[1];
    assert_eq!(resumed.avoid, ["gen-1".parse().unwrap()]);
}

/// Guards against a retry after the last token, which would generate an extra token.
#[async_std::test]
async fn break_after_last_token_is_complete() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | piece b 1 | piece c 1 | piece d 1 | refuse AnswerCut");
    let text = fixture.text(completion(Some(KEY_A))).await;
    assert_eq!(
        (last(&text)["tokens"].as_u64(), fixture.executed().len()),
        (Some(4), 1)
    );
}

/// Guards against a truncated answer that looks complete, against "not run" after tokens were delivered, and against
/// unlimited attempts.
#[async_std::test]
async fn abandoned_stream_is_truncated() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | refuse TargetFailed");
    (0..9).for_each(|_| fixture.add_answer("refuse NoTarget"));
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    let piece = lines.next().await.unwrap().unwrap();
    let error: Value = serde_json::from_str(&lines.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(tokens(&piece), ["a"]);
    assert_eq!(error["error"]["execution"], "outcome unknown");
    assert!(lines.next().await.unwrap().is_err());
    assert_eq!(fixture.executed().len(), 3);
}

/// Guards against a refusal that is sent as a stream, and against a retry of a request that was refused because the
/// queue is full.
#[async_std::test]
async fn early_refusal_is_not_streamed() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("refuse QueueFull");
    fixture
        .assert_refused(completion(Some(KEY_A)), ResultCode::QueueFull)
        .await;
    assert_eq!(fixture.executed().len(), 1);
}

/// Guards against "not run" when an earlier attempt may have run or a part of the answer was delivered.
#[async_std::test]
async fn refusal_covers_all_attempts() {
    let fixture = Fixture::start(1).await;
    fixture.add_answer("refuse TargetFailed");
    (0..2).for_each(|_| fixture.add_answer("refuse NoTarget"));
    fixture
        .assert_refused(completion(Some(KEY_A)), ResultCode::TargetFailed)
        .await;
    fixture.add_answer("head 200 gen-1 | piece a 1 | refuse QueueFull");
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    lines.next().await.unwrap().unwrap();
    let error: Value = serde_json::from_str(&lines.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(error["error"]["name"], "AnswerCut");
}

/// Guards against retries that multiply the load during an outage.
#[async_std::test]
async fn spent_budget_ends_retries() {
    let fixture = Fixture::start(1).await;
    while fixture.node.router.withdraw_retry() {}
    fixture.add_answer("refuse TargetFailed");
    fixture
        .assert_refused(completion(Some(KEY_A)), ResultCode::TargetFailed)
        .await;
    assert_eq!(fixture.executed().len(), 1);
}

/// Guards against misspelled fields that are silently ignored.
#[async_std::test]
async fn unknown_field_is_refused() {
    let fixture = Fixture::start(1).await;
    let body = r#"{"service":"gen","prompt":"a","max_tokens":1,"max_token":9}"#;
    let request = post("/v1/completions", Some(KEY_A), body);
    fixture
        .assert_refused(request, ResultCode::MalformedRequest)
        .await;
    assert_eq!(fixture.entry.open_requests(), 0);
}
