//! Guards against old data that counts as new, because its answer waited for a host that stood still.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_std::task;
use async_trait::async_trait;
use jm_host::{CacheSource, CachedChanges, ObjectSpace, PrefixWatch, StoreCache, WatchHandler, WatchOptions};
use jm_platform::{
    Change, Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError,
    Version, WatchError,
};
use jm_types::{Clock, DurationMs, Timestamp};

const SPACE: ObjectSpace = ObjectSpace::Platform;
const PREFIX: &str = "kind/";
const MAX_AGE_MS: DurationMs = DurationMs::new(1_300);
/// Longer than the store takes for a call that it answers.
const PAUSE_MS: u64 = 5_000;
/// As long as the store may take.
const CALL_MS: u64 = 400;

/// A clock that only the test moves.
#[derive(Default)]
struct MovedClock(AtomicU64);

impl Clock for MovedClock {
    fn now(&self) -> Timestamp {
        Timestamp::new(self.0.load(Ordering::SeqCst))
    }
}

/// The store and the other hosts, whose answers wait for this time.
struct LateAnswers {
    store: MemoryPlatform,
    clock: Arc<MovedClock>,
    wait_ms: u64,
    is_from_host: bool,
}

impl LateAnswers {
    async fn late_listing(&self, prefix: &str) -> Result<Listing, ReadError> {
        let listing = self.store.list(prefix).await;
        self.clock.0.fetch_add(self.wait_ms, Ordering::SeqCst);
        listing
    }
}

#[async_trait]
impl ObjectStore for LateAnswers {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.store.get(key).await
    }
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.store.put(key, value, condition).await
    }
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.store.delete(key, condition).await
    }
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.late_listing(prefix).await
    }
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.store.watch(prefix, after, wait).await
    }
}

#[async_trait]
impl CacheSource for LateAnswers {
    async fn list(&self, _: ObjectSpace, prefix: &str, _: DurationMs) -> Option<(Listing, DurationMs)> {
        if !self.is_from_host {
            return None;
        }
        Some((self.late_listing(prefix).await.unwrap(), DurationMs::new(0)))
    }
    async fn list_at_any_age(&self, _: ObjectSpace, _: &str) -> Option<(Listing, DurationMs)> {
        None
    }
    async fn watch(
        &self,
        _: ObjectSpace,
        _: &str,
        after: Version,
        wait: DurationMs,
        _: DurationMs,
    ) -> CachedChanges {
        task::sleep(wait.as_std()).await;
        let changes = Changes {
            changes: Vec::new(),
            version: after,
        };
        self.clock
            .0
            .fetch_add(wait.get() + self.wait_ms, Ordering::SeqCst);
        CachedChanges::Changes {
            changes,
            age_ms: DurationMs::new(0),
        }
    }
}

struct Ignored;

impl WatchHandler for Ignored {
    fn on_list(&self, _: Listing, _: DurationMs) {}
    fn on_change(&self, _: Change, _: Version) {}
}

/// Whether the cache counts its first listing as recent, which waited for this time at the host.
async fn is_recent(wait_ms: u64, is_from_host: bool) -> bool {
    let clock = Arc::new(MovedClock::default());
    let cache = Arc::new(StoreCache::new(Arc::clone(&clock) as _));
    let answers = LateAnswers {
        store: MemoryPlatform::default(),
        clock: Arc::clone(&clock),
        wait_ms,
        is_from_host,
    };
    let written = answers.store.put("kind/a", b"1".to_vec(), Condition::Any).await;
    written.unwrap();
    let answers = Arc::new(answers);
    let watch = PrefixWatch {
        store: Arc::clone(&answers) as _,
        space: SPACE,
        prefix: PREFIX,
        options: WatchOptions {
            watch_ms: DurationMs::new(0),
            relist_ms: DurationMs::new(750),
            max_age_ms: MAX_AGE_MS,
            retry_ms: DurationMs::new(150),
            max_retry_ms: DurationMs::new(600),
            starts_at_any_age: false,
        },
        clock,
        cache: Arc::clone(&cache),
        source: answers,
        handler: Arc::new(Ignored),
        requests: Arc::default(),
    };
    let listed = async {
        while cache.version(SPACE, PREFIX) == Version::default() {
            task::sleep(std::time::Duration::from_millis(1)).await;
        }
    };
    // The watch goes on after the listing, so it is dropped as soon as the cache holds the objects.
    futures::future::select(Box::pin(watch.run()), Box::pin(listed)).await;
    cache.listing(SPACE, PREFIX, MAX_AGE_MS).is_some()
}

/// Guards against an old listing that counts as new, and against one that counts as old because the store took its time.
#[async_std::test]
async fn late_listing() {
    for is_from_host in [false, true] {
        assert!(
            is_recent(CALL_MS, is_from_host).await,
            "from a host: {is_from_host}"
        );
        assert!(
            !is_recent(PAUSE_MS, is_from_host).await,
            "from a host: {is_from_host}"
        );
    }
}
