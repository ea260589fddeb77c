//! The prefix cache: hits, bounded size, delayed events with gaps, and KV cache export.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod common;

use common::{engine, engine_options, generate, generate_request, get_json, request, send};
use jm_http::{Method, StatusCode};
use jm_standins::{BLOCK_BYTES, CacheEventKind, CacheEvents, Engine, prefix_hash};
use jm_types::DurationMs;

const BLOCK_TOKENS: u64 = 16;

fn prompt(letter: &str, blocks: usize) -> String {
    letter.repeat(blocks * BLOCK_BYTES)
}

async fn cached(engine: &Engine, prompt: &str) -> u64 {
    let answer = generate(engine.address(), &generate_request(prompt, 1, 0)).await;
    answer.done[0].cached_tokens
}

async fn events(engine: &Engine, after: u64) -> CacheEvents {
    get_json(engine.address(), &format!("/v1/cache-events?after={after}")).await
}

/// Guards against cache hits beyond the common prefix.
#[async_std::test]
async fn common_prefix() {
    let engine = engine().await;
    assert_eq!(cached(&engine, &prompt("a", 2)).await, 0);
    assert_eq!(cached(&engine, &prompt("a", 3)).await, 2 * BLOCK_TOKENS);
    assert_eq!(
        cached(&engine, &(prompt("a", 1) + &prompt("b", 2))).await,
        BLOCK_TOKENS
    );
    assert_eq!(cached(&engine, &prompt("b", 2)).await, 0);
}

/// Guards against an unbounded cache, and against the eviction of a block other than the least recently used one.
#[async_std::test]
async fn least_recent_is_evicted() {
    let mut options = engine_options();
    options.cache_blocks = 2;
    let engine = Engine::start(options).await.unwrap();
    cached(&engine, &prompt("a", 2)).await;
    cached(&engine, &prompt("b", 1)).await;
    assert_eq!(cached(&engine, &prompt("a", 2)).await, BLOCK_TOKENS);
    let kinds: Vec<_> = events(&engine, 0)
        .await
        .events
        .iter()
        .map(|event| event.event)
        .collect();
    assert_eq!(kinds[..2], [CacheEventKind::Stored, CacheEventKind::Stored]);
    assert!(kinds.contains(&CacheEventKind::Evicted));
}

/// Guards against events whose prefix hashes differ from the hashes that a reader computes with [`prefix_hash`].
#[async_std::test]
async fn events_name_prefixes() {
    let engine = engine().await;
    let prompt = prompt("a", 2);
    cached(&engine, &prompt).await;
    let events = events(&engine, 0).await.events;
    let mut names: Vec<_> = events.iter().map(|event| event.prefix.clone()).collect();
    names.sort();
    let name = |end| format!("{:016x}", prefix_hash(prompt.as_bytes(), end));
    let mut expected = vec![name(BLOCK_BYTES), name(2 * BLOCK_BYTES)];
    expected.sort();
    assert_eq!(names, expected);
}

/// Guards against `cache_event_gap` and `cache_event_delay_ms` settings without effect.
#[async_std::test]
async fn late_with_gaps() {
    let engine = engine().await;
    engine.configure(|settings| settings.cache_event_gap = 3);
    cached(&engine, &prompt("a", 7)).await;
    let sequences: Vec<_> = events(&engine, 1)
        .await
        .events
        .iter()
        .map(|event| event.sequence)
        .collect();
    assert_eq!(sequences, [2, 4, 5, 7]);
    engine.configure(|settings| settings.cache_event_delay_ms = DurationMs::new(3_600_000));
    assert_eq!(events(&engine, 0).await, CacheEvents::default());
}

/// Guards against an export that does not transfer the cached prefix to the other engine.
#[async_std::test]
async fn export_and_import() {
    let (from, to) = (engine().await, engine().await);
    let prompt = prompt("a", 3);
    cached(&from, &prompt).await;
    let mut export = send(request(Method::Get, from.address(), "/v1/kv/r1")).await;
    assert_eq!(export.status(), StatusCode::Ok);
    let mut import = request(Method::Put, to.address(), "/v1/kv/r1");
    import.set_body(export.body_bytes().await.unwrap());
    assert_eq!(send(import).await.status(), StatusCode::NoContent);
    assert_eq!(cached(&to, &prompt).await, 3 * BLOCK_TOKENS);
    let unknown = send(request(Method::Get, from.address(), "/v1/kv/r2")).await;
    assert_eq!(unknown.status(), StatusCode::NotFound);
}
