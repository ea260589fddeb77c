//! Completions over links and engines that break.

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

/// Guards against a token that is lost or sent twice when the link breaks within an answer.
#[async_std::test]
async fn broken_link_is_resumed() {
    let fixture = Fixture::start(2).await;
    fixture.add("head 200 gen-1 | piece a 1 | piece b 1 | hold");
    fixture.add("head 200 gen-1 | piece c 2 | piece d 2 | done");
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    let mut text = String::new();
    for _ in 0..2 {
        text += &(lines.next().await.unwrap().unwrap() + "\n");
    }
    let (member, _) = fixture.executed().remove(0);
    let broken = fixture.fake(member.as_str());
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

/// Guards against a resumed stream that meets the same broken engine, and against a lost last token.
#[async_std::test]
async fn failed_engine_is_avoided() {
    let fixture = Fixture::start(1).await;
    fixture.add("head 200 gen-1 | piece a 1 | refuse TargetFailed");
    fixture.add("head 200 gen-2 | piece b 1 | done");
    let text = fixture.text(completion(Some(KEY_A))).await;
    assert_eq!(tokens(&text), ["a", "b"]);
    let (_, resumed) = &fixture.executed()[1];
    assert_eq!(resumed.avoid, ["gen-1".parse().unwrap()]);
}

/// Guards against an attempt after the last token, which would add one.
#[async_std::test]
async fn break_after_last_token_is_whole() {
    let fixture = Fixture::start(1).await;
    fixture.add("head 200 gen-1 | piece a 1 | piece b 1 | piece c 1 | piece d 1 | refuse AnswerCut");
    let text = fixture.text(completion(Some(KEY_A))).await;
    assert_eq!(
        (last(&text)["tokens"].as_u64(), fixture.executed().len()),
        (Some(4), 1)
    );
}

/// Guards against a cut answer that looks whole, against "not run" after delivered tokens, and against endless attempts.
#[async_std::test]
async fn given_up_stream_is_cut() {
    let fixture = Fixture::start(1).await;
    fixture.add("head 200 gen-1 | piece a 1 | refuse TargetFailed");
    (0..9).for_each(|_| fixture.add("refuse NoTarget"));
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    let piece = lines.next().await.unwrap().unwrap();
    let error: Value = serde_json::from_str(&lines.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(tokens(&piece), ["a"]);
    assert_eq!(error["error"]["execution"], "outcome unknown");
    assert!(lines.next().await.unwrap().is_err());
    assert_eq!(fixture.executed().len(), 3);
}

/// Guards against a refusal that comes as a stream, and against a repeated request that the queue refused.
#[async_std::test]
async fn early_refusal_is_plain() {
    let fixture = Fixture::start(1).await;
    fixture.add("refuse QueueFull");
    fixture
        .refused(completion(Some(KEY_A)), ResultCode::QueueFull)
        .await;
    assert_eq!(fixture.executed().len(), 1);
}

/// Guards against "not run" when an earlier attempt or the delivered part may have run.
#[async_std::test]
async fn refusal_is_true_for_all_attempts() {
    let fixture = Fixture::start(1).await;
    fixture.add("refuse TargetFailed");
    (0..2).for_each(|_| fixture.add("refuse NoTarget"));
    fixture
        .refused(completion(Some(KEY_A)), ResultCode::TargetFailed)
        .await;
    fixture.add("head 200 gen-1 | piece a 1 | refuse QueueFull");
    let mut lines = fixture.send(completion(Some(KEY_A))).await.lines();
    lines.next().await.unwrap().unwrap();
    let error: Value = serde_json::from_str(&lines.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(error["error"]["name"], "AnswerCut");
}

/// Guards against retries that multiply the load of an outage.
#[async_std::test]
async fn spent_budget_ends_retries() {
    let fixture = Fixture::start(1).await;
    while fixture.node.router.withdraw_retry() {}
    fixture.add("refuse TargetFailed");
    fixture
        .refused(completion(Some(KEY_A)), ResultCode::TargetFailed)
        .await;
    assert_eq!(fixture.executed().len(), 1);
}

/// Guards against misspelt fields that are silently ignored.
#[async_std::test]
async fn unknown_field_is_refused() {
    let fixture = Fixture::start(1).await;
    let body = r#"{"service":"gen","prompt":"a","max_tokens":1,"max_token":9}"#;
    let request = post("/v1/completions", Some(KEY_A), body);
    fixture.refused(request, ResultCode::MalformedRequest).await;
    assert_eq!(fixture.entry.open_requests(), 0);
}
