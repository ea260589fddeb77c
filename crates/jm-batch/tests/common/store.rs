//! A store with faults.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task,
};
use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::DurationMs;

use super::with_timeout;

/// A store that can lose responses or be unavailable.
pub(crate) struct FaultyStore {
    pub(crate) inner: MemoryPlatform,
    /// Loses the response of the next write after applying it.
    pub(crate) loses_next_response: AtomicBool,
    /// Fails all reads and writes without applying them.
    pub(crate) is_down: AtomicBool,
    /// Does not respond to calls. They are applied when the store responds again.
    pub(crate) is_silent: AtomicBool,
    pub(crate) reads: AtomicU64,
    /// Writes of batch states, also those without a response yet.
    pub(crate) state_writes: AtomicU64,
    /// Number of deletes that are still applied. Later ones fail.
    pub(crate) deletes_left: AtomicU64,
    held_calls: Mutex<Vec<HeldPrefix>>,
}

/// Keys whose calls get their answers only after the test dropped the [`Hold`].
struct HeldPrefix {
    kind: CallKind,
    prefix: &'static str,
    released: Receiver<()>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Keeps answers of the store back until it is dropped.
pub(crate) struct Hold(#[allow(dead_code, reason = "its drop closes the channel")] Sender<()>);

impl FaultyStore {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: MemoryPlatform::default(),
            loses_next_response: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            state_writes: AtomicU64::new(0),
            deletes_left: AtomicU64::new(u64::MAX),
            held_calls: Mutex::default(),
        })
    }

    /// Applies calls on keys that begin with `prefix` at once, but keeps their answers back.
    pub(crate) fn hold_answers(&self, kind: CallKind, prefix: &'static str) -> Hold {
        let (sender, released) = bounded(1);
        let held = HeldPrefix {
            kind,
            prefix,
            released,
        };
        self.held_calls.lock().unwrap().push(held);
        Hold(sender)
    }

    /// Answers new calls at once. Those that wait already do so until their [`Hold`] is dropped.
    pub(crate) fn hold_no_more(&self) {
        self.held_calls.lock().unwrap().clear();
    }

    /// The holds on a call. They are read before the call is applied, because a test that sees its effect may have ended
    /// the hold for later calls.
    fn holds(&self, kind: CallKind, key: &str) -> Vec<Receiver<()>> {
        let calls = self.held_calls.lock().unwrap();
        let matching = calls
            .iter()
            .filter(|held| held.kind == kind && key.starts_with(held.prefix));
        matching.map(|held| held.released.clone()).collect()
    }

    async fn wait_while_held(holds: Vec<Receiver<()>>) {
        for released in holds {
            // The error says that the hold was dropped.
            let _ = released.recv().await;
        }
    }

    pub(crate) async fn wait_for_saved_texts(&self, batch: &str) {
        let prefix = format!("batch-texts/{batch}.");
        with_timeout(async {
            while self.inner.list(&prefix).await.unwrap().objects.is_empty() {
                task::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    async fn wait_while_silent(&self) {
        while self.is_silent.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(2)).await;
        }
    }

    fn check(&self) -> Result<(), ReadError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(ReadError::ReadUnavailable {
                reason: "down".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.wait_while_silent().await;
        self.check()?;
        let holds = self.holds(CallKind::Read, key);
        let object = self.inner.get(key).await;
        Self::wait_while_held(holds).await;
        object
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        let is_state = key.starts_with(jm_batch::BATCH_STATE_PREFIX);
        self.state_writes.fetch_add(u64::from(is_state), Ordering::SeqCst);
        self.wait_while_silent().await;
        if self.is_down.load(Ordering::SeqCst) {
            return Err(ObjectError::Unavailable {
                reason: "down".to_owned(),
            });
        }
        let holds = self.holds(CallKind::Write, key);
        let result = self.inner.put(key, value, condition).await;
        Self::wait_while_held(holds).await;
        if self.loses_next_response.swap(false, Ordering::SeqCst) {
            return Err(ObjectError::AnswerLost {
                reason: "lost".to_owned(),
            });
        }
        result
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        let left = self.deletes_left.load(Ordering::SeqCst);
        if left == 0 || self.is_down.load(Ordering::SeqCst) {
            return Err(ObjectError::Unavailable {
                reason: "down".to_owned(),
            });
        }
        self.deletes_left.store(left - 1, Ordering::SeqCst);
        self.inner.delete(key, condition).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.wait_while_silent().await;
        self.check()?;
        self.inner.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.inner.watch(prefix, after, wait).await
    }
}
