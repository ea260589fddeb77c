//! Guards against missed changes when a watch delivers no events, is disconnected or has lost its history.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use async_std::task;
use async_trait::async_trait;
use jm_host::{
    CacheSource, CachedChanges, ListingRequests, ObjectSpace, PrefixWatch, StoreCache, WatchHandler,
    WatchOptions,
};
use jm_platform::{
    Change, Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError,
    Version, WatchError,
};
use jm_types::{DurationMs, SystemClock};

/// Store that counts its calls and whose watches can be silenced.
#[derive(Default)]
struct WatchedStore {
    inner: MemoryPlatform,
    silent: AtomicBool,
    is_down: AtomicBool,
    /// Watches answer at once without changes.
    answers_at_once: AtomicBool,
    /// Watches answer that their history is gone.
    forgets_history: AtomicBool,
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
        if self.is_down.load(Ordering::SeqCst) {
            let reason = "scripted".to_owned();
            return Err(ReadError::ReadUnavailable { reason });
        }
        self.inner.list(prefix).await
    }
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.forgets_history.load(Ordering::SeqCst) {
            return Err(WatchError::Relist { current: after });
        }
        if self.answers_at_once.load(Ordering::SeqCst) {
            return Ok(Changes {
                changes: Vec::new(),
                version: after,
            });
        }
        if self.silent.load(Ordering::SeqCst) {
            // Behaves like a watch without changes and reports the reader as up to date.
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

/// Cache of another host, filled by the test; `None` when there is no such host.
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
    async fn list_at_any_age(&self, space: ObjectSpace, prefix: &str) -> Option<(Listing, DurationMs)> {
        self.0.as_ref()?.listing(space, prefix, DurationMs::new(u64::MAX))
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
struct ObservedKeys(Mutex<Vec<String>>);

impl WatchHandler for ObservedKeys {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        *self.0.lock().unwrap() = listing.objects.into_iter().map(|object| object.key).collect();
    }
    fn on_change(&self, change: Change, _version: Version) {
        let mut observed = self.0.lock().unwrap();
        observed.retain(|key| *key != change.key);
        if change.value.is_some() {
            observed.push(change.key);
        }
    }
}

impl ObservedKeys {
    async fn wait_for(&self, key: &str) {
        let found = async {
            while !self.0.lock().unwrap().iter().any(|observed| observed == key) {
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
) -> (Arc<ObservedKeys>, Arc<StoreCache>) {
    start_with_requests(store, other, watch_ms, Arc::default())
}

fn start_with_requests(
    store: &Arc<WatchedStore>,
    other: Option<Arc<StoreCache>>,
    watch_ms: u64,
    requests: Arc<ListingRequests>,
) -> (Arc<ObservedKeys>, Arc<StoreCache>) {
    let observed = Arc::new(ObservedKeys::default());
    let cache = Arc::new(StoreCache::new(Arc::new(SystemClock)));
    let prefix_watch = PrefixWatch {
        store: Arc::clone(store) as _,
        space: ObjectSpace::Product,
        prefix: "kind/",
        options: WatchOptions {
            watch_ms: DurationMs::new(watch_ms),
            relist_ms: DurationMs::new(40),
            max_age_ms: DurationMs::new(5_000),
            retry_ms: DurationMs::new(5),
            max_retry_ms: DurationMs::new(20),
            starts_at_any_age: true,
        },
        clock: Arc::new(SystemClock),
        cache: Arc::clone(&cache),
        source: Arc::new(OtherHost(other)),
        handler: Arc::clone(&observed) as _,
        requests,
    };
    task::spawn(prefix_watch.run());
    (observed, cache)
}

async fn write(store: &WatchedStore, key: &str) {
    store.inner.put(key, b"1".to_vec(), Condition::Any).await.unwrap();
}

#[async_std::test]
async fn watched_change() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let (observed, _mirror) = start(&store, None, 10);
    observed.wait_for("kind/a").await;
    write(&store, "kind/b").await;
    observed.wait_for("kind/b").await;
}

/// A watch that lost its events cannot be distinguished from one without changes. The next listing must reveal the
/// change.
#[async_std::test]
async fn silent_watch() {
    let store = Arc::new(WatchedStore::default());
    let (observed, _mirror) = start(&store, None, 10);
    write(&store, "kind/a").await;
    observed.wait_for("kind/a").await;
    store.silent.store(true, Ordering::SeqCst);
    write(&store, "kind/b").await;
    observed.wait_for("kind/b").await;
}

/// Polling alone must reveal changes, as for objects that must take effect within a bound.
#[async_std::test]
async fn listed_change() {
    let store = Arc::new(WatchedStore::default());
    store.silent.store(true, Ordering::SeqCst);
    let (observed, _mirror) = start(&store, None, 0);
    write(&store, "kind/a").await;
    observed.wait_for("kind/a").await;
}

/// Guards against a requested listing that shows what another host read earlier, and against requests without an answer while the store
/// is down.
#[async_std::test]
async fn requested_listing() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let other = Arc::new(StoreCache::new(Arc::new(SystemClock)));
    let listing = store.inner.list("kind/").await.unwrap();
    other.apply_listing(ObjectSpace::Product, "kind/", &listing, DurationMs::new(0));
    let requests: Arc<ListingRequests> = Arc::default();
    let (observed, _) = start_with_requests(&store, Some(other), 0, Arc::clone(&requests));
    observed.wait_for("kind/a").await;
    write(&store, "kind/b").await;
    let (first, second) = futures::future::join(requests.listing(), requests.listing()).await;
    assert!(first && second);
    assert_eq!(*observed.0.lock().unwrap(), ["kind/a", "kind/b"]);
    store.is_down.store(true, Ordering::SeqCst);
    assert!(!requests.listing().await);
}

/// Hosts that read from another host's cache make no store calls, so store calls don't grow with the number of hosts.
#[async_std::test]
async fn calls_do_not_grow_with_hosts() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let (first, cache) = start(&store, None, 10);
    first.wait_for("kind/a").await;
    let readers: Vec<_> = (0..20)
        .map(|_| start(&Arc::default(), Some(Arc::clone(&cache)), 10))
        .collect();
    write(&store, "kind/b").await;
    for (observed, _mirror) in &readers {
        observed.wait_for("kind/a").await;
        observed.wait_for("kind/b").await;
    }
}

fn empty_cache() -> Arc<StoreCache> {
    Arc::new(StoreCache::new(Arc::new(SystemClock)))
}

/// Guards against an older listing that reaches the handler because the store was last read more than a second ago.
#[async_std::test]
async fn older_listing_after_a_gap() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let listing = store.inner.list("kind/").await.unwrap();
    write(&store, "kind/b").await;
    let other = empty_cache();
    let (observed, cache) = start(&store, Some(Arc::clone(&other)), 0);
    observed.wait_for("kind/b").await;
    store.is_down.store(true, Ordering::SeqCst);
    task::sleep(std::time::Duration::from_millis(1_200)).await;
    other.apply_listing(ObjectSpace::Product, "kind/", &listing, DurationMs::new(0));
    task::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(observed.0.lock().unwrap().len(), 2);
    let cached = cache.listing(ObjectSpace::Product, "kind/", DurationMs::new(u64::MAX));
    assert_eq!(cached.unwrap().0.objects.len(), 2);
}

/// A host that has listed a prefix in the store may be ahead of its peer, whose version of the prefix grows only with
/// changes. Guards against a host that watches the store itself until the prefix changes.
#[async_std::test]
async fn peer_with_an_older_version() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let older = store.inner.list("kind/").await.unwrap();
    write(&store, "other/a").await;
    let other = empty_cache();
    let (observed, cache) = start(&store, Some(Arc::clone(&other)), 10);
    observed.wait_for("kind/a").await;
    assert!(cache.version(ObjectSpace::Product, "kind/") > older.version);
    other.apply_listing(ObjectSpace::Product, "kind/", &older, DurationMs::new(0));
    task::sleep(std::time::Duration::from_millis(150)).await;
    let calls = store.calls.load(Ordering::SeqCst);
    task::sleep(std::time::Duration::from_millis(150)).await;
    assert_eq!(
        store.calls.load(Ordering::SeqCst),
        calls,
        "calls of the store while the peer answers"
    );
}

/// Guards against a host that restarts while the store is down and learns nothing, or takes a peer that has listed nothing
/// for a store without objects, or keeps the peer's state after the store has returned.
#[async_std::test]
async fn start_while_store_is_down() {
    let store = Arc::new(WatchedStore::default());
    write(&store, "kind/a").await;
    let listing = store.inner.list("kind/").await.unwrap();
    store.is_down.store(true, Ordering::SeqCst);
    let other = empty_cache();
    let (observed, cache) = start(&store, Some(Arc::clone(&other)), 0);
    task::sleep(std::time::Duration::from_millis(60)).await;
    assert_eq!(cache.version(ObjectSpace::Product, "kind/"), Version::default());
    let age = DurationMs::new(90_000);
    other.apply_listing(ObjectSpace::Product, "kind/", &listing, age);
    observed.wait_for("kind/a").await;
    write(&store, "kind/b").await;
    store.is_down.store(false, Ordering::SeqCst);
    observed.wait_for("kind/b").await;
}

/// Guards against a host that calls the store without a pause, because its watches end at once or its history is always gone.
#[async_std::test]
async fn watches_without_a_wait() {
    for forgets_history in [false, true] {
        let store = Arc::new(WatchedStore::default());
        store.answers_at_once.store(!forgets_history, Ordering::SeqCst);
        store.forgets_history.store(forgets_history, Ordering::SeqCst);
        write(&store, "kind/a").await;
        let (observed, _mirror) = start(&store, None, 20);
        observed.wait_for("kind/a").await;
        for _ in 0..20 {
            // As long as the pause between two calls.
            task::sleep(std::time::Duration::from_millis(5)).await;
        }
        let calls = store.calls.load(Ordering::SeqCst);
        assert!(calls <= 400, "{calls} calls in the time of 20 pauses");
    }
}
