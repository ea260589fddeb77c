//! The store through other hosts, for a host that the store does not answer.
//!
//! Load pattern: the store turns some hosts away, or a host is cut off from it, for seconds. Without this, such a host
//! cannot list results, renew a lease or learn a configuration although the host beside it can.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, Listing, Object, ObjectError, ObjectStore, ReadError, Version, WatchError,
};
use jm_types::{Clock, DurationMs, Timestamp};

/// Makes one call on the store of another host. That host calls the store itself and passes nothing on.
#[async_trait]
pub trait RelayPeer: Send + Sync {
    /// Like [`ObjectStore::get`]; none when no host could make the call.
    async fn get(&self, key: &str) -> Option<Result<Option<Object>, ReadError>>;

    /// Like [`ObjectStore::put`]; none when no host could make the call.
    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: Condition,
    ) -> Option<Result<Version, ObjectError>>;

    /// Like [`ObjectStore::list`]; none when no host could make the call.
    async fn list(&self, prefix: &str) -> Option<Result<Listing, ReadError>>;
}

/// Time for which calls go through other hosts first after the store did not answer.
const RELAY_PREFERRED_MS: DurationMs = DurationMs::new(1_500);

/// A store that is asked through other hosts when it does not answer this one.
pub struct RelayedStore {
    direct: Arc<dyn ObjectStore>,
    relay: Arc<dyn RelayPeer>,
    clock: Arc<dyn Clock>,
    relay_until_ms: AtomicU64,
}

impl RelayedStore {
    /// Calls `direct`, and `relay` when that does not answer.
    pub fn new(direct: Arc<dyn ObjectStore>, relay: Arc<dyn RelayPeer>, clock: Arc<dyn Clock>) -> Self {
        Self {
            direct,
            relay,
            clock,
            relay_until_ms: AtomicU64::new(0),
        }
    }

    /// The store for a call that another host asks for; none while it does not answer this host either, so that an
    /// outage does not multiply the calls.
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

    /// A change whose answer was lost is repeated through another host: its condition fails when the first one took
    /// effect, and the caller reads what stands there as after any conflict. A lost answer is reported when no attempt
    /// succeeds, because the first change may still take effect.
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

    /// A watch is not passed on: it would hold a connection of another host for its whole wait. While the store does
    /// not answer, the caller lists again instead.
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

/// Interval of listings that stand in for a watch.
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
            // The caller takes a listing as a whole, which also shows what was deleted.
            Some(Ok(listing)) => Err(WatchError::Relist {
                current: listing.version,
            }),
            Some(Err(source)) => Err(source.into()),
            None => self.direct.watch(prefix, after, wait).await,
        }
    }
}
