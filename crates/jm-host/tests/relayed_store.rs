//! Guards against a host that stalls while the store does not answer it, and against writes applied twice.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use async_trait::async_trait;
use jm_host::{RelayPeer, RelayedStore};
use jm_platform::{
    Changes, Condition, Listing, ListingFault, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError,
    Version, WatchError,
};
use jm_types::{DurationMs, SystemClock};

/// Direct connection of this host to the store.
#[derive(Default)]
struct DirectStore {
    inner: MemoryPlatform,
    is_disconnected: AtomicBool,
    loses_answers: AtomicBool,
    /// Listings repeat their pages.
    repeats_pages: AtomicBool,
}

impl DirectStore {
    fn check(&self) -> Result<(), ReadError> {
        match self.is_disconnected.load(Ordering::SeqCst) {
            true => Err(ReadError::ReadUnavailable {
                reason: "disconnected".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ObjectStore for DirectStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.check()?;
        self.inner.get(key).await
    }
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        if self.is_disconnected.load(Ordering::SeqCst) {
            return Err(ObjectError::Unavailable {
                reason: "disconnected".to_owned(),
            });
        }
        let result = self.inner.put(key, value, condition).await;
        match self.loses_answers.load(Ordering::SeqCst) {
            true => Err(ObjectError::AnswerLost {
                reason: "lost".to_owned(),
            }),
            false => result,
        }
    }
    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.inner.delete(key, condition).await
    }
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.check()?;
        match self.repeats_pages.load(Ordering::SeqCst) {
            true => Err(ReadError::FaultyListing {
                prefix: prefix.to_owned(),
                fault: ListingFault::Repeated,
            }),
            false => self.inner.list(prefix).await,
        }
    }
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.check()?;
        self.inner.watch(prefix, after, wait).await
    }
}

/// Another host, which can reach the store.
struct OtherHost {
    store: MemoryPlatform,
    calls: AtomicUsize,
    failures: Mutex<VecDeque<ObjectError>>,
}

#[async_trait]
impl RelayPeer for OtherHost {
    async fn get(&self, key: &str) -> Option<Result<Option<Object>, ReadError>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Some(self.store.get(key).await)
    }
    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: Condition,
    ) -> Option<Result<Version, ObjectError>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if let Some(failure) = self.failures.lock().unwrap().pop_front() {
            return Some(Err(failure));
        }
        Some(self.store.put(key, value.to_vec(), condition).await)
    }
    async fn list(&self, prefix: &str) -> Option<Result<Listing, ReadError>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Some(self.store.list(prefix).await)
    }
}

fn stores() -> (RelayedStore, Arc<DirectStore>, Arc<OtherHost>) {
    let direct = Arc::new(DirectStore::default());
    let other = Arc::new(OtherHost {
        store: direct.inner.clone(),
        calls: AtomicUsize::new(0),
        failures: Mutex::default(),
    });
    let relayed = RelayedStore::new(
        Arc::clone(&direct) as _,
        Arc::clone(&other) as _,
        Arc::new(SystemClock),
    );
    (relayed, direct, other)
}

#[async_std::test]
async fn direct_while_available() {
    let (store, _direct, other) = stores();
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    store.get("kind/a").await.unwrap().unwrap();
    assert_eq!(other.calls.load(Ordering::SeqCst), 0);
}

#[async_std::test]
async fn through_another_host() {
    let (store, direct, other) = stores();
    direct.is_disconnected.store(true, Ordering::SeqCst);
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    assert_eq!(store.get("kind/a").await.unwrap().unwrap().value, b"1");
    assert_eq!(store.list("kind/").await.unwrap().objects.len(), 1);
    assert!(other.calls.load(Ordering::SeqCst) >= 3);
}

/// A relayed watch would occupy a connection of the other host, so a disconnected host lists instead.
#[async_std::test]
async fn listing_replaces_watch() {
    let (store, direct, _other) = stores();
    direct.is_disconnected.store(true, Ordering::SeqCst);
    let before = store.list("kind/").await.unwrap().version;
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    let watched = store.watch("kind/", before, DurationMs::new(1)).await;
    assert!(matches!(watched, Err(WatchError::Relist { .. })), "{watched:?}");
}

/// The write took effect, but its answer was lost. The relayed retry must fail with a conflict instead of writing
/// again.
#[async_std::test]
async fn lost_answer_applies_once() {
    let (store, direct, _other) = stores();
    direct.loses_answers.store(true, Ordering::SeqCst);
    let result = store.put("kind/a", b"1".to_vec(), Condition::Absent).await;
    assert!(matches!(result, Err(ObjectError::Conflict { .. })), "{result:?}");
    assert_eq!(store.list("kind/").await.unwrap().objects.len(), 1);
}

/// While the store is unavailable to all, hosts must not relay calls for one another, which would multiply the calls.
#[async_std::test]
async fn no_relaying_in_an_outage() {
    let (store, direct, _other) = stores();
    assert!(store.direct_for_peers().is_some());
    direct.is_disconnected.store(true, Ordering::SeqCst);
    let _ = store.get("kind/a").await;
    assert!(store.direct_for_peers().is_none());
}

/// A relayed write whose answer was lost may take effect, even when all later attempts are rejected. The error must
/// say so.
#[async_std::test]
async fn lost_answer_is_reported() {
    let (store, direct, other) = stores();
    direct.is_disconnected.store(true, Ordering::SeqCst);
    store.get("kind/a").await.unwrap();
    let reason = "other".to_owned();
    let failures = [
        ObjectError::AnswerLost {
            reason: reason.clone(),
        },
        ObjectError::Unavailable { reason },
    ];
    other.failures.lock().unwrap().extend(failures);
    let error = store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap_err();
    assert!(error.may_be_applied(), "{error:?}");
}

/// Guards against a faulty listing that each host reads through all others, and that turns other calls away from the store.
#[async_std::test]
async fn faulty_listing() {
    let (store, direct, other) = stores();
    direct.repeats_pages.store(true, Ordering::SeqCst);
    store.list("kind/").await.unwrap_err();
    store.get("kind/a").await.unwrap();
    assert_eq!(other.calls.load(Ordering::SeqCst), 0);
}
