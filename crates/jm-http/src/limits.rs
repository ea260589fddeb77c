//! Limits of one server or client.

use std::sync::{Arc, Mutex, PoisonError};

use jm_types::{ByteSize, DurationMs};

/// Limits on what a peer may send and how long it may take. The daemons read them from their settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request or answer head.
    pub head_bytes: ByteSize,
    /// Largest request or answer body that is read as a whole.
    pub body_bytes: ByteSize,
    /// Longest time for a head to arrive once its first byte has.
    pub head_timeout_ms: DurationMs,
    /// Longest time between two pieces of a body.
    pub body_timeout_ms: DurationMs,
    /// Longest time that a connection may stay open without a request.
    pub idle_timeout_ms: DurationMs,
    /// Longest time for a connection to open.
    pub connect_timeout_ms: DurationMs,
    /// Longest time from the end of a request to the head of its answer.
    pub answer_timeout_ms: DurationMs,
    /// Most connections open at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: ByteSize::new(8_000),
            body_bytes: ByteSize::new(1_000_000),
            head_timeout_ms: DurationMs::new(5_000),
            body_timeout_ms: DurationMs::new(10_000),
            idle_timeout_ms: DurationMs::new(60_000),
            connect_timeout_ms: DurationMs::new(2_000),
            answer_timeout_ms: DurationMs::new(60_000),
            connections: 4_096,
        }
    }
}

/// Limits that can be replaced while a server runs, because an operator may change them at any time. Clones share the
/// limits; open connections take new ones into account from their next request on.
#[derive(Debug, Clone)]
pub struct SharedLimits(Arc<Mutex<Arc<Limits>>>);

impl SharedLimits {
    /// The limits that are in force now.
    pub fn get(&self) -> Arc<Limits> {
        // No code panics while it holds the lock.
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the limits.
    pub fn set(&self, limits: Limits) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(limits);
    }
}

impl From<Limits> for SharedLimits {
    fn from(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(Arc::new(limits))))
    }
}
