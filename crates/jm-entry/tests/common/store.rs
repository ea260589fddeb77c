//! A store that goes down or loses answers when a test says so.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::DurationMs;

#[derive(Default)]
pub(crate) struct TestStore {
    memory: MemoryPlatform,
    down: AtomicBool,
    lost_answers: AtomicUsize,
}

impl TestStore {
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// The next writes take effect and their answers are lost.
    pub(crate) fn lose_answers(&self, count: usize) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    fn reason(&self) -> Option<String> {
        self.down.load(Ordering::SeqCst).then(|| "down".to_owned())
    }

    fn check_read(&self) -> Result<(), ReadError> {
        let unavailable = |reason| Err(ReadError::ReadUnavailable { reason });
        self.reason().map_or(Ok(()), unavailable)
    }

    fn check_write(&self) -> Result<(), ObjectError> {
        let unavailable = |reason| Err(ObjectError::Unavailable { reason });
        self.reason().map_or(Ok(()), unavailable)
    }

    fn loses_answer(&self) -> bool {
        let take = |count: usize| count.checked_sub(1);
        let taken = self
            .lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_ok()
    }
}

#[async_trait]
impl ObjectStore for TestStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.check_read()?;
        self.memory.get(key).await
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.check_write()?;
        let written = self.memory.put(key, value, condition).await;
        if self.loses_answer() {
            let reason = "lost".to_owned();
            return Err(ObjectError::AnswerLost { reason });
        }
        written
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.check_write()?;
        self.memory.delete(key, condition).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.check_read()?;
        self.memory.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.check_read()?;
        // Short waits, so that a test sees an outage soon.
        let changes = self
            .memory
            .watch(prefix, after, wait.min(DurationMs::new(20)))
            .await;
        self.check_read()?;
        changes
    }
}
