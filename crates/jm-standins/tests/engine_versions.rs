//! Version changes while a stream is running, and the load report.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use common::{Answer, engine, generate_request, get_json, model, order_version, post, version};
use futures::{AsyncBufReadExt, StreamExt};
use jm_standins::Load;
use jm_types::{DurationMs, Rate};

const TOKENS: u64 = 1_000;

/// Guards against segments that name the ordered version instead of the version that produced the tokens.
#[async_std::test]
async fn swap_inside_stream() {
    let engine = engine().await;
    // The stream would take 10 s at this rate, so the order arrives while it is running.
    engine.configure(|settings| settings.stream_tokens_per_s = Rate::new(100.0));
    let response = post(
        engine.address(),
        "/v1/generate",
        &generate_request("p", TOKENS, 0),
    )
    .await;
    let mut lines = response.lines();
    let mut answer = Answer::default();
    answer.add_line(&lines.next().await.unwrap().unwrap());
    order_version(engine.address(), 2, 1).await;
    engine.configure(|settings| settings.stream_tokens_per_s = Rate::new(1_000_000.0));
    while let Some(line) = lines.next().await {
        answer.add_line(&line.unwrap());
    }
    let old = answer
        .tokens
        .iter()
        .filter(|line| line.version == Some(version(1)))
        .count() as u64;
    let segments = &answer.done[0].segments;
    let counted: Vec<_> = segments
        .iter()
        .map(|segment| (segment.version, segment.tokens))
        .collect();
    assert_eq!(counted, [(version(1), old), (version(2), TOKENS - old)]);
}

/// Guards against a load report that ignores the configured lag.
#[async_std::test]
async fn load_lags() {
    let engine = engine().await;
    order_version(engine.address(), 2, 1).await;
    let current: Load = get_json(engine.address(), "/v1/load").await;
    assert_eq!(current.versions.get(&model()), Some(&version(2)));
    engine.configure(|settings| settings.load_lag_ms = DurationMs::new(3_600_000));
    order_version(engine.address(), 3, 1).await;
    let old: Load = get_json(engine.address(), "/v1/load").await;
    assert_eq!(old, Load::default());
}

/// Guards against a generation for a model that is not loaded.
#[async_std::test]
async fn unknown_model() {
    let engine = engine().await;
    let mut request = generate_request("p", 5, 0);
    request.model = jm_types::ModelId::new("other").unwrap();
    let response = post(engine.address(), "/v1/generate", &request).await;
    assert_eq!(response.status(), jm_http::StatusCode::NotFound);
}
