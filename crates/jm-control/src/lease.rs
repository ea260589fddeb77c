//! Leases of the duties.

use std::sync::{Arc, PoisonError};

use async_std::{future::timeout, sync::Mutex};
use async_trait::async_trait;
use jm_lease::{Acquisition, Duty, LeaseGuard, LeaseManager, LeaseOptions};
use jm_node::Node;
use jm_platform::{
    Changes, Condition, Listing, Object, ObjectError, ObjectStore, ReadError, Version, WatchError,
};
use jm_types::{DurationMs, LogEvent};

use crate::guarded::Term;

/// Timeout of a call to the store. A later call determines the effect of a call that timed out. The timeout is shorter
/// than the term, so that one slow call does not use up the term.
const LEASE_CALL_TIMEOUT_MS: DurationMs = DurationMs::new(3_000);

/// Maximum time between writing an order to a target and its effect. A new holder waits this
/// long before it sends orders to targets that ignore fencing numbers.
pub(crate) const MAX_ORDER_DURATION_MS: DurationMs = DurationMs::new(5_000);

/// A lease that this daemon holds or tries to acquire.
pub(crate) struct DutyLease {
    name: String,
    node: Arc<Node>,
    store: SingleLeaseStore,
    manager: Mutex<LeaseManager>,
    held: std::sync::Mutex<Option<LeaseGuard>>,
}

impl DutyLease {
    /// Creates a lease that is stored in the object `lease/<name>`.
    pub(crate) fn new(name: String, node: Arc<Node>) -> Self {
        // The duty in the options determines only the key, which `SingleLeaseStore` replaces.
        let options = LeaseOptions {
            longest_order_ms: MAX_ORDER_DURATION_MS,
            ..LeaseOptions::new(Duty::Usage, node.peers.own_id().clone(), node.incarnation)
        };
        let manager = LeaseManager::new(options).expect("the default durations are consistent");
        Self {
            store: SingleLeaseStore {
                inner: Arc::clone(&node.platform.objects),
                key: format!("lease/{name}"),
            },
            manager: Mutex::new(manager),
            held: std::sync::Mutex::default(),
            name,
            node,
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Acquires the lease if it is free, or renews it if this daemon holds it.
    pub(crate) async fn acquire_or_renew(&self) {
        let mut manager = self.manager.lock().await;
        let clock = Arc::clone(&self.node.clock);
        let call = manager.acquire(&self.store, clock.as_ref());
        let acquired = timeout(LEASE_CALL_TIMEOUT_MS.as_std(), call).await;
        if let Ok(Ok(Acquisition::Held(guard))) = acquired {
            self.set_held(Some(guard));
        } else if manager.guard().is_none() {
            self.set_held(None);
        }
    }

    /// Returns the current term, or `None` if the lease is not held or no longer valid.
    pub(crate) fn term(&self) -> Option<Term> {
        let guard = self.held().clone()?;
        let term = Term::new(guard, Arc::clone(&self.node.clock));
        term.check().is_ok().then_some(term)
    }

    /// Releases the lease, so that another daemon need not wait for the end of the term.
    pub(crate) async fn release(&self) {
        let mut manager = self.manager.lock().await;
        if manager.guard().is_none() {
            return;
        }
        let clock = Arc::clone(&self.node.clock);
        let release = manager.release(&self.store, clock.as_ref());
        if !matches!(timeout(LEASE_CALL_TIMEOUT_MS.as_std(), release).await, Ok(Ok(()))) {
            LogEvent::StoreUnavailable.write(format_args!(
                "the release of lease {} was not confirmed, it expires at the end of its term",
                self.name
            ));
        }
        self.set_held(None);
    }

    fn held(&self) -> std::sync::MutexGuard<'_, Option<LeaseGuard>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_held(&self, guard: Option<LeaseGuard>) {
        let fencing = guard.as_ref().map(LeaseGuard::fencing);
        let before = std::mem::replace(&mut *self.held(), guard);
        let before = before.map(|before| before.fencing());
        if let Some(fencing) = fencing.filter(|_| before != fencing) {
            LogEvent::LeaseAcquired.write(format_args!("{} with fencing number {fencing}", self.name));
        }
    }
}

/// Maps every key to the object of one lease. `jm_lease::Duty` names three leases only, while the weights duty has one
/// for each zone.
struct SingleLeaseStore {
    inner: Arc<dyn ObjectStore>,
    key: String,
}

#[async_trait]
impl ObjectStore for SingleLeaseStore {
    async fn get(&self, _key: &str) -> Result<Option<Object>, ReadError> {
        self.inner.get(&self.key).await
    }

    async fn put(&self, _key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.inner.put(&self.key, value, condition).await
    }

    async fn delete(&self, _key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.inner.delete(&self.key, condition).await
    }

    async fn list(&self, _prefix: &str) -> Result<Listing, ReadError> {
        self.inner.list(&self.key).await
    }

    async fn watch(&self, _prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.inner.watch(&self.key, after, wait).await
    }
}
