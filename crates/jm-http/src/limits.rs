//! Size, time and connection limits of a server or client.

use std::sync::{Arc, Mutex, PoisonError};

use jm_types::{ByteSize, DurationMs};

/// Limits on message sizes, waiting times and connections. The daemons read them from their settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request or response head.
    pub head_bytes: ByteSize,
    /// Maximum size of a request or response body that is buffered in memory.
    pub body_bytes: ByteSize,
    /// Maximum size of all response bodies that a client reads into memory at the same time. Bodies up to 64 KiB are
    /// always read.
    pub buffered_bytes: ByteSize,
    /// Maximum time between the first byte and the end of a head.
    pub head_timeout_ms: DurationMs,
    /// Maximum time without progress while a body is read or written.
    pub body_timeout_ms: DurationMs,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout_ms: DurationMs,
    /// Maximum time for opening a connection.
    pub connect_timeout_ms: DurationMs,
    /// Maximum time from the end of a request to the head of its response.
    pub answer_timeout_ms: DurationMs,
    /// Maximum number of open connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: ByteSize::new(8_000),
            body_bytes: ByteSize::new(1_000_000),
            buffered_bytes: ByteSize::new(16_000_000),
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
/// limits. New limits apply to open connections from their next request on.
#[derive(Debug, Clone)]
pub struct SharedLimits(Arc<Mutex<Arc<Limits>>>);

impl SharedLimits {
    /// Returns the current limits.
    pub fn get(&self) -> Arc<Limits> {
        // No code can panic while it holds the lock.
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the limits of every clone.
    pub fn set(&self, limits: Limits) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(limits);
    }
}

impl From<Limits> for SharedLimits {
    fn from(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(Arc::new(limits))))
    }
}
