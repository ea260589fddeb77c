//! The token rate shared by all streams of an engine.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use std::time::Duration;

use async_std::{future::timeout, task};
use common::{SEED, engine, generate, generate_request, post, read_answer};
use futures::{AsyncBufReadExt, StreamExt};
use jm_standins::expected_text;
use jm_types::Rate;

/// Wait for a token that is not due until much later, so a slow machine does not change the result.
const NO_TOKEN_WAIT: Duration = Duration::from_millis(50);

/// Maximum number of polls until an expected state is reached.
const MAX_POLLS: usize = 2_000;

/// Guards against an engine in which one long stream starves all others.
#[async_std::test]
async fn streams_share_capacity() {
    let engine = engine().await;
    engine.configure(|settings| settings.tokens_per_s = Rate::new(2_000.0));
    // The long stream alone would take 50 s, so it is still running when the short one is done.
    let long = post(
        engine.address(),
        "/v1/generate",
        &generate_request("long", 100_000, 0),
    )
    .await;
    let mut lines = long.lines();
    lines.next().await.unwrap().unwrap();
    let short = generate(engine.address(), &generate_request("short", 20, 0)).await;
    assert_eq!(short.done.len(), 1);
    assert_eq!((engine.running(), engine.counts().finished), (1, 1));
}

/// Guards against a `tokens_per_s` setting without effect.
#[async_std::test]
async fn rate_limits_streams() {
    let engine = engine().await;
    // At this rate a token takes 100 s.
    engine.configure(|settings| settings.tokens_per_s = Rate::new(0.01));
    let slow = post(engine.address(), "/v1/generate", &generate_request("slow", 1, 0)).await;
    let mut lines = slow.lines();
    assert!(timeout(NO_TOKEN_WAIT, lines.next()).await.is_err());
    engine.configure(|settings| settings.tokens_per_s = Rate::new(1_000.0));
    let next = generate(engine.address(), &generate_request("next", 3, 0)).await;
    assert_eq!(next.text(), expected_text(SEED, "next", 0, 3));
}

/// Guards against streams that are queued or rejected. An engine admits every request on arrival.
#[async_std::test]
async fn admits_all() {
    const STREAMS: usize = 64;
    let engine = engine().await;
    engine.configure(|settings| settings.tokens_per_s = Rate::new(10_000.0));
    let prompts: Vec<_> = (0..STREAMS).map(|number| format!("prompt {number}")).collect();
    let requests = prompts.iter().map(|prompt| generate_request(prompt, 20, 0));
    let requests: Vec<_> = requests.collect();
    let heads = requests
        .iter()
        .map(|request| post(engine.address(), "/v1/generate", request));
    let heads = futures::future::join_all(heads).await;
    assert_eq!(engine.counts().started, STREAMS as u64);
    let answers = futures::future::join_all(heads.into_iter().map(read_answer)).await;
    for (prompt, answer) in prompts.iter().zip(&answers) {
        assert_eq!(answer.text(), expected_text(SEED, prompt, 0, 20));
    }
}

/// Guards against streams that keep running after the caller has disconnected, which would use up the capacity.
#[async_std::test]
async fn caller_disconnects() {
    let engine = engine().await;
    engine.configure(|settings| settings.stream_tokens_per_s = Rate::new(1_000.0));
    let long = post(
        engine.address(),
        "/v1/generate",
        &generate_request("long", 1_000_000, 0),
    )
    .await;
    let mut lines = long.lines();
    lines.next().await.unwrap().unwrap();
    drop(lines);
    for _ in 0..MAX_POLLS {
        if engine.running() == 0 {
            break;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!((engine.running(), engine.counts().finished), (0, 0));
}
