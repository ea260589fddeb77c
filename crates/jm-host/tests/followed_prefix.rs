//! Guards against a host that misses changes because watches are silent, cut or forget their history.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use async_std::task;
use async_trait::async_trait;
use jm_host::{CacheSource, CachedChanges, ObjectSpace, PrefixWatch, StoreCache, WatchHandler, WatchOptions};
use jm_platform::{
    Change, Changes, Condition, KeyedObject, Listing, MemoryPlatform, Object, ObjectError, ObjectStore,
    ReadError, Version, WatchError,
};
use jm_types::{DurationMs, SystemClock};

/// A store whose watches can be silent, and which counts its calls.
#[derive(Default)]
struct WatchedStore {
    inner: MemoryPlatform,
    silent: AtomicBool,
    calls: AtomicUsize,
}

#[async_trait]
impl ObjectStore for WatchedStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.inner.get(key).await
    }
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.inner.put(key, value, condition).await
    }
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.inner.delete(key, condition).await
    }
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.inner.list(prefix).await
    }
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.silent.load(Ordering::SeqCst) {
            // Looks like a watch without changes, and says that the reader is up to date.
            task::sleep(wait.as_std()).await;
            let version = self.inner.list(prefix).await?.version;
            return Ok(Changes {
                changes: Vec::new(),
                version,
            });
        }
        self.inner.watch(prefix, after, wait).await
    }
}

/// The copy of another host: whatever the test puts there.
struct OtherHost(Option<Arc<StoreCache>>);

#[async_trait]
impl CacheSource for OtherHost {
    async fn list(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)> {
        self.0.as_ref()?.listing(space, prefix, max_age)
    }
    async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> CachedChanges {
        match &self.0 {
            Some(cache) => cache.watch(space, prefix, after, wait, max_age).await,
            None => CachedChanges::Stale,
        }
    }
}

#[derive(Default)]
struct Seen(Mutex<Vec<String>>);

impl WatchHandler for Seen {
    fn on_list(&self, objects: Vec<KeyedObject>, _gap: DurationMs) {
        *self.0.lock().unwrap() = objects.into_iter().map(|object| object.key).collect();
    }
    fn on_change(&self, change: Change) {
        let mut seen = self.0.lock().unwrap();
        seen.retain(|key| *key != change.key);
        if change.value.is_some() {
            seen.push(change.key);
        }
    }
}

impl Seen {
    async fn holds(&self, key: &str) {
        let found = async {
            while !self.0.lock().unwrap().iter().any(|seen| seen == key) {
                task::sleep(std::time::Duration::from_millis(2)).await;
            }
        };
        let limit = std::time::Duration::from_secs(20);
        async_std::future::timeout(limit, found)
            .await
            .expect("the change arrives");
    }
}

fn start(
    store: &Arc<WatchedStore>,
    other: Option<Arc<StoreCache>>,
    watch_ms: u64,
) -> (Arc<Seen>, Arc<StoreCache>) {
    let seen = Arc::new(Seen::default());
    let cache = Arc::new(StoreCache::new(Arc::new(SystemClock)));
    let follow = PrefixWatch {
        store: Arc::clone(store) as _,
        space: ObjectSpace::Product,
        prefix: "kind/",
        options: WatchOptions {
            watch_ms: DurationMs::new(watch_ms),
            relist_ms: DurationMs::new(40),
            max_age_ms: DurationMs::new(5_000),
            retry_ms: DurationMs::new(5),
            max_retry_ms: DurationMs::new(20),
        },
        clock: Arc::new(SystemClock),
        cache: Arc::clone(&cache),
        source: Arc::new(OtherHost(other)),
        handler: Arc::clone(&seen) as _,
    };
    task::spawn(follow.run());
    (seen, cache)
}

async fn write(store: &WatchedStore, key: &str) {
    store.inner.put(key, b"1".to_vec(), Condition::Any).await.unwrap();
}

#[async_std::test]
async fn watched_change() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let (seen, _mirror) = start(&store, None, 10);
    seen.holds("kind/a").await;
    write(&store, "kind/b").await;
    seen.holds("kind/b").await;
}

/// A watch that brings nothing looks like a quiet one; the next listing finds the change.
#[async_std::test]
async fn silent_watch() {
    let store = Arc::new(WatchedStore::default());
    let (seen, _mirror) = start(&store, None, 10);
    write(&store, "kind/a").await;
    seen.holds("kind/a").await;
    store.silent.store(true, Ordering::SeqCst);
    write(&store, "kind/b").await;
    seen.holds("kind/b").await;
}

/// Polling alone, as for what must take effect within a bound.
#[async_std::test]
async fn listed_change() {
    let store = Arc::new(WatchedStore::default());
    store.silent.store(true, Ordering::SeqCst);
    let (seen, _mirror) = start(&store, None, 0);
    write(&store, "kind/a").await;
    seen.holds("kind/a").await;
}

/// Hosts that read another one's copy make no call on the store, however many they are.
#[async_std::test]
async fn calls_do_not_grow_with_hosts() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let (first, copy) = start(&store, None, 10);
    first.holds("kind/a").await;
    let readers: Vec<_> = (0..20)
        .map(|_| start(&Arc::default(), Some(Arc::clone(&copy)), 10))
        .collect();
    write(&store, "kind/b").await;
    for (seen, _mirror) in &readers {
        seen.holds("kind/a").await;
        seen.holds("kind/b").await;
    }
}
