//! Proof of holding a lease, checked at the moment of writing.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use jm_types::{DurationMs, FencingNumber, Timestamp};

/// One term of a lease, from takeover to loss. Clones share their validity: a renewal extends all of them, and a
/// release or a loss ends all of them.
#[derive(Debug, Clone)]
pub struct LeaseGuard {
    validity: Arc<Validity>,
    fencing: FencingNumber,
    orders_allowed_at: Timestamp,
    /// Longest order time of earlier holders; it counts until `orders_allowed_at`.
    inherited_order_ms: DurationMs,
}

#[derive(Debug, Default)]
struct Validity {
    until_ms: AtomicU64,
    ended: AtomicBool,
}

impl LeaseGuard {
    pub(crate) fn new(
        fencing: FencingNumber,
        orders_allowed_at: Timestamp,
        inherited_order_ms: DurationMs,
    ) -> Self {
        Self {
            validity: Arc::default(),
            fencing,
            orders_allowed_at,
            inherited_order_ms,
        }
    }

    /// Whether the holder may act at `now`, a reading of the boot clock.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        !self.is_ended() && now < self.valid_until()
    }

    /// When the validity ends unless the lease is renewed; the margin is already taken off.
    pub fn valid_until(&self) -> Timestamp {
        Timestamp::new(self.validity.until_ms.load(Ordering::SeqCst))
    }

    /// The fencing number to send with orders.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// From when on targets that ignore fencing numbers may be ordered: no order of an earlier holder can take effect
    /// any more.
    pub fn orders_allowed_at(&self) -> Timestamp {
        self.orders_allowed_at
    }

    /// Whether the lease was released or lost; a lapsed guard can still be renewed, an ended one cannot.
    pub fn is_ended(&self) -> bool {
        self.validity.ended.load(Ordering::SeqCst)
    }

    pub(crate) fn extend(&self, until: Timestamp) {
        self.validity.until_ms.fetch_max(until.get(), Ordering::SeqCst);
    }

    pub(crate) fn end(&self) {
        self.validity.ended.store(true, Ordering::SeqCst);
    }

    /// Longest order time to record at `now`: the own one, and that of earlier holders while their orders may run.
    pub(crate) fn longest_order(&self, own: DurationMs, now: Timestamp) -> DurationMs {
        if now < self.orders_allowed_at {
            own.max(self.inherited_order_ms)
        } else {
            own
        }
    }
}
