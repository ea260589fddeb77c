//! Guards against a pause after a failed listing that is too long or too short.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{future::timeout, task};
use async_trait::async_trait;
use jm_host::{CacheSource, CachedChanges, ObjectSpace, PrefixWatch, StoreCache, WatchHandler, WatchOptions};
use jm_platform::{
    Change, Changes, Condition, Listing, ListingFault, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::{DurationMs, ManualClock};

/// Time that each listing takes.
const LISTING_MS: DurationMs = DurationMs::new(3_000);

/// Longer than the pause after the first failure, and shorter than [`LISTING_MS`].
const PAUSE_MS: DurationMs = DurationMs::new(250);

/// A store whose listings fail after [`LISTING_MS`].
struct FailingStore {
    clock: Arc<ManualClock>,
    error: ReadError,
    listings: AtomicUsize,
}

fn unavailable() -> ReadError {
    ReadError::ReadUnavailable {
        reason: "scripted".to_owned(),
    }
}

#[async_trait]
impl ObjectStore for FailingStore {
    async fn get(&self, _key: &str) -> Result<Option<Object>, ReadError> {
        Err(unavailable())
    }
    async fn put(&self, _: &str, _: Vec<u8>, _: Condition) -> Result<Version, ObjectError> {
        Err(ObjectError::Unavailable {
            reason: "scripted".to_owned(),
        })
    }
    async fn delete(&self, _key: &str, _condition: Condition) -> Result<(), ObjectError> {
        Ok(())
    }
    async fn list(&self, _prefix: &str) -> Result<Listing, ReadError> {
        self.clock.advance(LISTING_MS);
        self.listings.fetch_add(1, Ordering::SeqCst);
        Err(self.error.clone())
    }
    async fn watch(&self, _: &str, _: Version, _: DurationMs) -> Result<Changes, WatchError> {
        Err(unavailable().into())
    }
}

/// Has no data, and counts the attempts to list.
#[derive(Default)]
struct NoSource(AtomicUsize);

#[async_trait]
impl CacheSource for NoSource {
    async fn list(&self, _: ObjectSpace, _: &str, _: DurationMs) -> Option<(Listing, DurationMs)> {
        self.0.fetch_add(1, Ordering::SeqCst);
        None
    }
    async fn list_at_any_age(&self, _: ObjectSpace, _: &str) -> Option<(Listing, DurationMs)> {
        None
    }
    async fn watch(
        &self,
        _: ObjectSpace,
        _: &str,
        _: Version,
        _: DurationMs,
        _: DurationMs,
    ) -> CachedChanges {
        CachedChanges::Stale
    }
}

struct Ignored;

impl WatchHandler for Ignored {
    fn on_list(&self, _listing: Listing, _gap: DurationMs) {}
    fn on_change(&self, _change: Change, _version: Version) {}
}

async fn reaches(count: &AtomicUsize, expected: usize) {
    let reached = async {
        while count.load(Ordering::SeqCst) < expected {
            task::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(20), reached)
        .await
        .expect("the attempt is made");
}

fn start(error: ReadError) -> (Arc<FailingStore>, Arc<NoSource>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    let store = Arc::new(FailingStore {
        clock: Arc::clone(&clock),
        error,
        listings: AtomicUsize::default(),
    });
    let source = Arc::new(NoSource::default());
    let prefix_watch = PrefixWatch {
        store: Arc::clone(&store) as _,
        space: ObjectSpace::Platform,
        prefix: "kind/",
        options: WatchOptions {
            watch_ms: DurationMs::new(0),
            relist_ms: DurationMs::new(40),
            max_age_ms: DurationMs::new(5_000),
            retry_ms: DurationMs::new(2),
            max_retry_ms: DurationMs::new(2),
            starts_at_any_age: false,
        },
        clock: Arc::clone(&clock) as _,
        cache: Arc::new(StoreCache::new(Arc::clone(&clock) as _)),
        source: Arc::clone(&source) as _,
        handler: Arc::new(Ignored),
        requests: Arc::default(),
    };
    task::spawn(prefix_watch.run());
    (store, source, clock)
}

/// Guards against a host that learns of the return of the store late, because the calls before it ended by their time limits.
#[async_std::test]
async fn unavailable_store() {
    let (store, source, clock) = start(unavailable());
    // The second attempt begins after the pause was set.
    reaches(&source.0, 2).await;
    clock.advance(PAUSE_MS);
    reaches(&store.listings, 2).await;
}

/// Guards against a faulty listing that is read most of the time.
#[async_std::test]
async fn faulty_listing() {
    let (store, source, clock) = start(ReadError::FaultyListing {
        prefix: "kind/".to_owned(),
        fault: ListingFault::TooSlow,
    });
    reaches(&source.0, 2).await;
    clock.advance(PAUSE_MS);
    reaches(&source.0, 5).await;
    assert_eq!(store.listings.load(Ordering::SeqCst), 1);
    clock.advance(LISTING_MS);
    reaches(&store.listings, 2).await;
}
