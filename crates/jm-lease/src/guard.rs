//! Guard that proves that a lease is held; checked on every guarded write.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use jm_types::{DurationMs, FencingNumber, Timestamp};

/// Guard of a held lease, from its acquisition to its release or loss. Clones share their validity: a renewal extends
/// all of them, and a release or loss ends all of them.
#[derive(Debug, Clone)]
pub struct LeaseGuard {
    validity: Arc<Validity>,
    fencing: FencingNumber,
    orders_allowed_at: Timestamp,
    /// Maximum order time of earlier holders. It applies until `orders_allowed_at`.
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

    /// Whether the holder may act at `now`, which is a reading of the boot clock.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        !self.is_ended() && now < self.valid_until()
    }

    /// Time on the boot clock at which the validity ends unless the lease is renewed. The margin is already subtracted.
    pub fn valid_until(&self) -> Timestamp {
        Timestamp::new(self.validity.until_ms.load(Ordering::SeqCst))
    }

    /// Fencing number to send with orders. It increases with each takeover.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Earliest time for orders to targets that ignore fencing numbers. From then on no order of an earlier holder can
    /// take effect.
    pub fn orders_allowed_at(&self) -> Timestamp {
        self.orders_allowed_at
    }

    /// Whether the lease was released or lost. An expired guard can still be renewed, an ended one cannot.
    pub fn is_ended(&self) -> bool {
        self.validity.ended.load(Ordering::SeqCst)
    }

    pub(crate) fn extend(&self, until: Timestamp) {
        self.validity.until_ms.fetch_max(until.get(), Ordering::SeqCst);
    }

    pub(crate) fn end(&self) {
        self.validity.ended.store(true, Ordering::SeqCst);
    }

    /// Maximum order time to record at `now`. While orders of earlier holders may still take effect, their maximum
    /// order time is included.
    pub(crate) fn longest_order(&self, own: DurationMs, now: Timestamp) -> DurationMs {
        if now < self.orders_allowed_at {
            own.max(self.inherited_order_ms)
        } else {
            own
        }
    }
}
