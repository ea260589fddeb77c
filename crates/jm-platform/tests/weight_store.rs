//! The weight store and its rate limit, in memory and through the HTTP client, with a manual clock.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use std::sync::Arc;

use common::remote_with;
use jm_platform::{FetchError, MemoryOptions, MemoryPlatform, WeightStore};
use jm_types::{ByteSize, DurationMs, ManualClock, ModelId, WeightVersion};

const RATE: ByteSize = ByteSize::new(1_000);

fn options(clock: &Arc<ManualClock>) -> MemoryOptions {
    MemoryOptions {
        weight_bytes_per_s: RATE,
        clock: Arc::clone(clock) as _,
        ..MemoryOptions::default()
    }
}

async fn check_rate(store: &dyn WeightStore, platform: &MemoryPlatform, clock: &ManualClock) {
    let model = ModelId::new("draft").unwrap();
    let version = WeightVersion::new(4);
    platform.publish_weights(model.clone(), version, vec![7; 2_500]);
    let info = store.versions(&model).await.unwrap();
    assert_eq!(
        (info[0].version, info[0].size_bytes),
        (version, ByteSize::new(2_500))
    );
    let unknown = store.fetch(&model, WeightVersion::new(5)).await;
    assert_eq!(unknown, Err(FetchError::UnknownVersion));
    assert_eq!(store.fetch(&model, version).await.unwrap(), vec![7; 2_500]);
    // The fetch exceeded the limit by 1,500 bytes, and one more byte must become available.
    let retry_after_ms = DurationMs::new(1_501);
    let limited = store.fetch(&model, version).await;
    assert_eq!(limited, Err(FetchError::RateLimited { retry_after_ms }));
    clock.advance(DurationMs::new(1_500));
    assert!(store.fetch(&model, version).await.is_err());
    clock.advance(DurationMs::new(1));
    store.fetch(&model, version).await.unwrap();
    let other = ModelId::new("other").unwrap();
    assert!(store.versions(&other).await.unwrap().is_empty());
}

/// Guards against fetches that exceed the rate limit, and against a reported retry delay that is too short.
#[async_std::test]
async fn rate_limit() {
    let clock = Arc::new(ManualClock::default());
    let memory = MemoryPlatform::new(options(&clock));
    check_rate(&memory, &memory, &clock).await;
    let remote = remote_with(options(&clock)).await;
    check_rate(&remote.client, remote.server.platform(), &clock).await;
}
