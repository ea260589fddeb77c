//! Counts store calls by operation, kind of object and outcome.

use std::sync::Arc;

use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, Listing, Object, ObjectError, ObjectStore, ReadError, Version, WatchError,
};
use jm_types::DurationMs;
use prometheus::IntCounterVec;

/// Wraps a store and counts its calls. The labels are the call, the kind of object (the key up to its first slash)
/// and the outcome. There are few kinds of objects, so the number of time series is bounded.
pub struct InstrumentedStore {
    inner: Arc<dyn ObjectStore>,
    calls: IntCounterVec,
}

/// Label names of the counter, in the order in which the values are set.
pub const STORE_CALL_LABELS: [&str; 3] = ["call", "kind", "outcome"];

impl InstrumentedStore {
    /// Wraps `inner` and counts its calls in `calls`, which must have the labels [`STORE_CALL_LABELS`].
    pub fn new(inner: Arc<dyn ObjectStore>, calls: IntCounterVec) -> Self {
        Self { inner, calls }
    }

    fn count(&self, call: &str, key: &str, outcome: &str) {
        let kind = key.split('/').next().unwrap_or(key);
        self.calls.with_label_values(&[call, kind, outcome]).inc();
    }

    fn count_change<T>(&self, call: &str, key: &str, result: &Result<T, ObjectError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(ObjectError::Conflict { .. }) => "conflict",
            Err(error) if error.may_be_applied() => "unknown",
            Err(_) => "failed",
        };
        self.count(call, key, outcome);
    }

    fn count_read<T>(&self, call: &str, key: &str, result: &Result<T, ReadError>) {
        self.count(call, key, if result.is_ok() { "ok" } else { "failed" });
    }
}

#[async_trait]
impl ObjectStore for InstrumentedStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let result = self.inner.get(key).await;
        self.count_read("get", key, &result);
        result
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        let result = self.inner.put(key, value, condition).await;
        self.count_change("put", key, &result);
        result
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        let result = self.inner.delete(key, condition).await;
        self.count_change("delete", key, &result);
        result
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        let result = self.inner.list(prefix).await;
        self.count_read("list", prefix, &result);
        result
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        let result = self.inner.watch(prefix, after, wait).await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(WatchError::Relist { .. }) => "relist",
            Err(_) => "failed",
        };
        self.count("watch", prefix, outcome);
        result
    }
}
