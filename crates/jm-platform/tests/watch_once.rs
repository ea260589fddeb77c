//! Watches must return each change exactly once and in order, regardless of how writes and watches interleave.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use std::time::Duration;

use async_std::{future::timeout, task};
use common::{remote, remote_with};
use jm_platform::{Condition, HttpPlatform, MemoryOptions, MemoryPlatform, ObjectStore, Version, WatchError};
use jm_types::DurationMs;

const WRITERS: usize = 4;
const WRITES_EACH: usize = 100;
const WAIT: DurationMs = DurationMs::new(5_000);

async fn write_all(platform: MemoryPlatform, writer: usize) {
    for number in 0..WRITES_EACH {
        let key = format!("config/change/{writer}-{number}");
        platform
            .put(&key, key.clone().into_bytes(), Condition::Absent)
            .await
            .unwrap();
        platform.put("elsewhere", vec![], Condition::Any).await.unwrap();
        task::yield_now().await;
    }
}

/// Watches during concurrent writes and returns the changed keys in the order of arrival.
async fn watched_keys(store: &dyn ObjectStore, platform: &MemoryPlatform) -> Vec<String> {
    let writers = (0..WRITERS).map(|writer| task::spawn(write_all(platform.clone(), writer)));
    let writers: Vec<_> = writers.collect();
    let mut keys = Vec::new();
    let mut after = Version::default();
    while keys.len() < WRITERS * WRITES_EACH {
        let found = store.watch("config/", after, WAIT).await.unwrap();
        assert!(found.changes.iter().all(|change| change.version > after));
        assert!(found.changes.is_sorted_by_key(|change| change.version));
        assert!(!found.changes.is_empty(), "no change within the wait");
        after = found.version;
        keys.extend(found.changes.into_iter().map(|change| change.key));
    }
    futures::future::join_all(writers).await;
    keys
}

fn check_each_once(mut keys: Vec<String>) {
    let total = keys.len();
    keys.sort();
    keys.dedup();
    assert_eq!(
        (keys.len(), total),
        (WRITERS * WRITES_EACH, WRITERS * WRITES_EACH)
    );
}

/// Guards against changes that are missed between two watches or returned by both.
#[async_std::test]
async fn each_change_once() {
    let memory = MemoryPlatform::default();
    check_each_once(watched_keys(&memory, &memory).await);
    let remote = remote().await;
    check_each_once(watched_keys(&remote.client, remote.server.platform()).await);
}

async fn wait_for_watch(platform: &MemoryPlatform) {
    while platform.waiting_watches() == 0 {
        task::yield_now().await;
    }
}

/// Guards against a waiting watch that a change does not wake. The watch waits longer than the timeout of the test.
#[async_std::test]
async fn change_wakes_watch() {
    const TEST_TIMEOUT: Duration = Duration::from_secs(20);
    let platform = MemoryPlatform::default();
    let writing = platform.clone();
    let writer = task::spawn(async move {
        wait_for_watch(&writing).await;
        writing.put("elsewhere", vec![], Condition::Any).await.unwrap();
        wait_for_watch(&writing).await;
        writing.put("a/1", vec![], Condition::Any).await.unwrap();
    });
    let an_hour = DurationMs::new(3_600_000);
    let watch = platform.watch("a/", Version::default(), an_hour);
    let found = timeout(TEST_TIMEOUT, watch).await.unwrap().unwrap();
    writer.await;
    assert_eq!((found.changes.len(), found.version), (1, Version::new(2)));
}

/// Guards against a watch through the HTTP client that causes more than one call.
#[async_std::test]
async fn waiting_watch_wakes() {
    let remote = remote().await;
    let platform = remote.server.platform().clone();
    let writer = task::spawn(async move {
        wait_for_watch(&platform).await;
        platform
            .put("a/1", b"one".to_vec(), Condition::Any)
            .await
            .unwrap();
    });
    let found = remote.client.watch("a/", Version::default(), WAIT).await.unwrap();
    writer.await;
    assert_eq!(found.changes[0].value.as_deref(), Some(&b"one"[..]));
    assert_eq!((remote.client.calls(), remote.server.total_calls()), (1, 1));
}

/// Guards against a watch that keeps waiting while the store is unavailable.
#[async_std::test]
async fn outage_ends_watch() {
    let remote = remote().await;
    let client = HttpPlatform::new(remote.server.address(), jm_http::Limits::default());
    let watch = task::spawn(async move { client.watch("a/", Version::default(), WAIT).await });
    wait_for_watch(remote.server.platform()).await;
    remote.server.set_faults(|faults| faults.down = true);
    assert!(matches!(watch.await, Err(WatchError::Watch { .. })));
}

/// Guards against silently missed changes when the history no longer contains the requested version.
#[async_std::test]
async fn compacted_history() {
    let options = MemoryOptions {
        history_changes: 3,
        ..MemoryOptions::default()
    };
    let remote = remote_with(options).await;
    for number in 0..5u8 {
        remote
            .client
            .put("a/1", vec![number], Condition::Any)
            .await
            .unwrap();
    }
    let current = Version::new(5);
    let no_wait = DurationMs::new(0);
    let compacted = remote.client.watch("a/", Version::new(1), no_wait).await;
    assert_eq!(compacted, Err(WatchError::Relist { current }));
    let retained = remote.client.watch("a/", Version::new(2), no_wait).await.unwrap();
    assert_eq!(retained.changes.len(), 3);
    let listing = remote.client.list("a/").await.unwrap();
    let next = remote.client.watch("a/", listing.version, no_wait).await.unwrap();
    assert!(next.changes.is_empty());
}

/// Guards against missed changes after a result with the maximum number of changes. The next watch must continue after
/// the last returned change.
#[async_std::test]
async fn more_changes_than_one_result() {
    let remote = remote().await;
    let platform = remote.server.platform();
    for number in 0..600u64 {
        let key = if number % 2 == 0 { "a/even" } else { "b/odd" };
        platform.put(key, vec![], Condition::Any).await.unwrap();
    }
    let mut versions = Vec::new();
    let mut after = Version::default();
    while after < platform.version() {
        let found = remote.client.watch("a/", after, WAIT).await.unwrap();
        after = found.version;
        versions.extend(found.changes.iter().map(|change| change.version.get()));
    }
    let expected: Vec<_> = (0..300).map(|number| 2 * number + 1).collect();
    assert_eq!(versions, expected);
}
