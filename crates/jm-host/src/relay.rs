//! Relays store calls through peers while the store does not answer this host.
//!
//! Load pattern: for seconds the store rejects the calls of some hosts, or a host cannot reach it. Without a relay
//! such a host could not list results, renew a lease or read a configuration, although its peers can.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, Listing, Object, ObjectError, ObjectStore, ReadError, Version, WatchError,
};
use jm_types::{Clock, DurationMs, Timestamp};

/// Makes store calls through another host. That host calls the store directly and never relays the call further.
#[async_trait]
pub trait RelayPeer: Send + Sync {
    /// Like [`ObjectStore::get`]; `None` when no host could make the call.
    async fn get(&self, key: &str) -> Option<Result<Option<Object>, ReadError>>;

    /// Like [`ObjectStore::put`]; `None` when no host could make the call.
    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: Condition,
    ) -> Option<Result<Version, ObjectError>>;

    /// Like [`ObjectStore::list`]; `None` when no host could make the call.
    async fn list(&self, prefix: &str) -> Option<Result<Listing, ReadError>>;
}

/// Time after a failed direct call for which calls are relayed first.
const RELAY_PREFERRED_MS: DurationMs = DurationMs::new(1_500);

/// Store client that falls back to a relay when the store does not answer this host.
pub struct RelayedStore {
    direct: Arc<dyn ObjectStore>,
    relay: Arc<dyn RelayPeer>,
    clock: Arc<dyn Clock>,
    relay_until_ms: AtomicU64,
}

impl RelayedStore {
    /// Creates a client that calls `direct`, and falls back to `relay` when `direct` does not answer.
    pub fn new(direct: Arc<dyn ObjectStore>, relay: Arc<dyn RelayPeer>, clock: Arc<dyn Clock>) -> Self {
        Self {
            direct,
            relay,
            clock,
            relay_until_ms: AtomicU64::new(0),
        }
    }

    /// Store for calls that this host relays for its peers. `None` while the store does not answer this host either,
    /// so that relaying does not multiply the calls during an outage.
    pub fn direct_for_peers(&self) -> Option<&dyn ObjectStore> {
        (!self.prefers_relay()).then_some(&*self.direct)
    }

    fn prefers_relay(&self) -> bool {
        self.clock.now() < Timestamp::new(self.relay_until_ms.load(Ordering::Relaxed))
    }

    fn record_failure(&self) {
        let until = self.clock.now().after(RELAY_PREFERRED_MS);
        self.relay_until_ms.fetch_max(until.get(), Ordering::Relaxed);
    }
}

fn is_unavailable(error: &ObjectError) -> bool {
    matches!(
        error,
        ObjectError::Unavailable { .. } | ObjectError::AnswerLost { .. }
    )
}

#[async_trait]
impl ObjectStore for RelayedStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        if self.prefers_relay()
            && let Some(Ok(object)) = self.relay.get(key).await
        {
            return Ok(object);
        }
        let result = self.direct.get(key).await;
        let Err(ReadError::ReadUnavailable { .. }) = &result else {
            return result;
        };
        self.record_failure();
        self.relay.get(key).await.unwrap_or(result)
    }

    /// A write whose answer was lost is retried through another host. If the first write took effect, the condition
    /// of the retry fails, and the caller reads the object as after any conflict. When no attempt succeeds, the lost
    /// answer is reported, because the first write may still take effect.
    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        let mut lost_answer = None;
        if self.prefers_relay()
            && let Some(result) = self.relay.put(key, &value, condition).await
        {
            match result {
                Err(error) if error.may_be_applied() => lost_answer = Some(error),
                Err(error) if is_unavailable(&error) => {}
                result => return result,
            }
        }
        let error = match self.direct.put(key, value.clone(), condition).await {
            Err(error) if is_unavailable(&error) => error,
            result => return result,
        };
        self.record_failure();
        if error.may_be_applied() {
            lost_answer = Some(error.clone());
        }
        match self.relay.put(key, &value, condition).await {
            Some(Err(relayed)) if is_unavailable(&relayed) => Err(lost_answer.unwrap_or(relayed)),
            Some(relayed) => relayed,
            None => Err(lost_answer.unwrap_or(error)),
        }
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.direct.delete(key, condition).await
    }

    /// A listing that the store answers in a faulty way is not relayed, because each host would read all of its pages.
    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        if self.prefers_relay()
            && let Some(Ok(listing)) = self.relay.list(prefix).await
        {
            return Ok(listing);
        }
        let result = self.direct.list(prefix).await;
        let Err(ReadError::ReadUnavailable { .. }) = &result else {
            return result;
        };
        self.record_failure();
        self.relay.list(prefix).await.unwrap_or(result)
    }

    /// Watches are not relayed, because a watch would occupy a connection of another host for its whole duration.
    /// While the store does not answer, relayed listings replace the watch.
    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        if self.prefers_relay() {
            return self.poll_instead_of_watch(prefix, after, wait).await;
        }
        let result = self.direct.watch(prefix, after, wait).await;
        if let Err(WatchError::Watch { .. }) = &result {
            self.record_failure();
        }
        result
    }
}

/// Interval of the relayed listings that replace a watch.
const RELAY_POLL_INTERVAL_MS: DurationMs = DurationMs::new(600);

impl RelayedStore {
    async fn poll_instead_of_watch(
        &self,
        prefix: &str,
        after: Version,
        wait: DurationMs,
    ) -> Result<Changes, WatchError> {
        async_std::task::sleep(wait.min(RELAY_POLL_INTERVAL_MS).as_std()).await;
        match self.relay.list(prefix).await {
            Some(Ok(listing)) if listing.version == after => Ok(Changes {
                changes: Vec::new(),
                version: after,
            }),
            // The caller lists again and thereby also detects deletions.
            Some(Ok(listing)) => Err(WatchError::Relist {
                current: listing.version,
            }),
            Some(Err(source)) => Err(source.into()),
            None => self.direct.watch(prefix, after, wait).await,
        }
    }
}
