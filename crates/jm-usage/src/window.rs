//! Usage windows, which must be the same on all hosts.

use std::{fmt, num::NonZeroU64};

use jm_types::DurationMs;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch according to the host's clock. Windows need a time that is comparable between
/// hosts, which the monotonic `Timestamp` is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn new(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number of a window, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowId(u64);

impl WindowId {
    /// Creates the id of the window with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number of the window, counted from the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The window after this one. The last window returns itself.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Key of the object that stores the sealed window.
    pub fn sealed_key(self) -> String {
        format!("usage/sealed/{self}")
    }
}

/// Formats the number with 20 digits, so that object keys sort in window order.
impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:020}", self.0)
    }
}

/// Length of a usage window.
pub const WINDOW_MS: DurationMs = DurationMs::new(60_000);

/// Time after the end of a window before it is sealed, so that parts can still arrive. Equals three flush intervals of
/// a dispatch daemon.
pub const GRACE_MS: DurationMs = DurationMs::new(15_000);

/// Length of windows, and the grace time for parts after the end of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowSchedule {
    length_ms: NonZeroU64,
    grace: DurationMs,
}

impl WindowSchedule {
    /// The schedule that every daemon uses: [`WINDOW_MS`] and [`GRACE_MS`].
    pub fn standard() -> Self {
        Self::new(WINDOW_MS, GRACE_MS)
    }

    /// Creates a schedule. Every daemon of a fleet must use the same length. A length of zero is treated as 1 ms.
    pub fn new(length: DurationMs, grace: DurationMs) -> Self {
        let length_ms = NonZeroU64::new(length.get()).unwrap_or(NonZeroU64::MIN);
        Self { length_ms, grace }
    }

    /// The window that contains `now`.
    pub const fn window_at(&self, now: WallTime) -> WindowId {
        WindowId(now.0 / self.length_ms.get())
    }

    /// Whether the window has ended and its grace time has passed.
    pub const fn is_sealable(&self, window: WindowId, now: WallTime) -> bool {
        let end_ms = window.next().0.saturating_mul(self.length_ms.get());
        now.0 >= end_ms.saturating_add(self.grace.get())
    }
}
