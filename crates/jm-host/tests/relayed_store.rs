//! Guards against a host that stands still because the store does not answer it, and against changes made twice.

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
    Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::{DurationMs, SystemClock};

/// The store as this host reaches it.
#[derive(Default)]
struct OwnWay {
    inner: MemoryPlatform,
    is_cut: AtomicBool,
    loses_answers: AtomicBool,
}

impl OwnWay {
    fn check(&self) -> Result<(), ReadError> {
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(ReadError::ReadUnavailable {
                reason: "cut".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ObjectStore for OwnWay {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.check()?;
        self.inner.get(key).await
    }
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(ObjectError::Unavailable {
                reason: "cut".to_owned(),
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
        self.inner.list(prefix).await
    }
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.check()?;
        self.inner.watch(prefix, after, wait).await
    }
}

/// Another host that reaches the store.
struct Neighbour {
    store: MemoryPlatform,
    calls: AtomicUsize,
    failures: Mutex<VecDeque<ObjectError>>,
}

#[async_trait]
impl RelayPeer for Neighbour {
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

fn stores() -> (RelayedStore, Arc<OwnWay>, Arc<Neighbour>) {
    let own = Arc::new(OwnWay::default());
    let neighbour = Arc::new(Neighbour {
        store: own.inner.clone(),
        calls: AtomicUsize::new(0),
        failures: Mutex::default(),
    });
    let relayed = RelayedStore::new(
        Arc::clone(&own) as _,
        Arc::clone(&neighbour) as _,
        Arc::new(SystemClock),
    );
    (relayed, own, neighbour)
}

#[async_std::test]
async fn direct_while_it_answers() {
    let (store, _own, neighbour) = stores();
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    store.get("kind/a").await.unwrap().unwrap();
    assert_eq!(neighbour.calls.load(Ordering::SeqCst), 0);
}

#[async_std::test]
async fn through_a_neighbour() {
    let (store, own, neighbour) = stores();
    own.is_cut.store(true, Ordering::SeqCst);
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    assert_eq!(store.get("kind/a").await.unwrap().unwrap().value, b"1");
    assert_eq!(store.list("kind/").await.unwrap().objects.len(), 1);
    assert!(neighbour.calls.load(Ordering::SeqCst) >= 3);
}

/// A watch through another host would hold its connection, so a host that is cut off lists instead.
#[async_std::test]
async fn listing_for_a_watch() {
    let (store, own, _neighbour) = stores();
    own.is_cut.store(true, Ordering::SeqCst);
    let before = store.list("kind/").await.unwrap().version;
    store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap();
    let watched = store.watch("kind/", before, DurationMs::new(1)).await;
    assert!(matches!(watched, Err(WatchError::Relist { .. })), "{watched:?}");
}

/// The answer was lost and the change was made: the relayed repetition meets its own condition as a conflict.
#[async_std::test]
async fn made_once() {
    let (store, own, _neighbour) = stores();
    own.loses_answers.store(true, Ordering::SeqCst);
    let result = store.put("kind/a", b"1".to_vec(), Condition::Absent).await;
    assert!(matches!(result, Err(ObjectError::Conflict { .. })), "{result:?}");
    assert_eq!(store.list("kind/").await.unwrap().objects.len(), 1);
}

/// In an outage for all, hosts do not make one another's calls on top of their own.
#[async_std::test]
async fn no_calls_for_others_in_an_outage() {
    let (store, own, _neighbour) = stores();
    assert!(store.direct_for_peers().is_some());
    own.is_cut.store(true, Ordering::SeqCst);
    let _ = store.get("kind/a").await;
    assert!(store.direct_for_peers().is_none());
}

/// A relayed change whose answer was lost may take effect, even when every later attempt is turned away.
#[async_std::test]
async fn lost_answer_is_remembered() {
    let (store, own, neighbour) = stores();
    own.is_cut.store(true, Ordering::SeqCst);
    store.get("kind/a").await.unwrap();
    let reason = "neighbour".to_owned();
    let failures = [
        ObjectError::AnswerLost {
            reason: reason.clone(),
        },
        ObjectError::Unavailable { reason },
    ];
    neighbour.failures.lock().unwrap().extend(failures);
    let error = store
        .put("kind/a", b"1".to_vec(), Condition::Absent)
        .await
        .unwrap_err();
    assert!(error.may_be_applied(), "{error:?}");
}
