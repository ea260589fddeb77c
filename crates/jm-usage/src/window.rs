//! Windows of usage, which all hosts have to agree on.

use std::{fmt, num::NonZeroU64};

use jm_types::DurationMs;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch by the host's clock. Windows need a time that hosts share; the monotonic
/// `Timestamp` is not comparable between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(u64);

impl WallTime {
    /// Wraps a reading of the clock.
    pub const fn new(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number of a window: windows since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowId(u64);

impl WindowId {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The window that follows.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Key of the object that holds the sealed window.
    pub fn sealed_key(self) -> String {
        format!("usage/sealed/{self}")
    }
}

/// Twenty digits, so that object keys sort in the order of the windows.
impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:020}", self.0)
    }
}

/// Length of a usage window.
pub const WINDOW_MS: DurationMs = DurationMs::new(60_000);

/// Time after the end of a window in which parts are still taken into it. Three flushes of a dispatch daemon.
pub const GRACE_MS: DurationMs = DurationMs::new(15_000);

/// Length of windows and how long parts may arrive after the end of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowSchedule {
    length_ms: NonZeroU64,
    grace: DurationMs,
}

impl WindowSchedule {
    /// The schedule of every daemon: [`WINDOW_MS`] and [`GRACE_MS`].
    pub fn standard() -> Self {
        Self::new(WINDOW_MS, GRACE_MS)
    }

    /// Every daemon of a fleet needs the same length. A length of zero counts as 1 ms.
    pub fn new(length: DurationMs, grace: DurationMs) -> Self {
        let length_ms = NonZeroU64::new(length.get()).unwrap_or(NonZeroU64::MIN);
        Self { length_ms, grace }
    }

    /// The window that a time belongs to.
    pub const fn window_at(&self, now: WallTime) -> WindowId {
        WindowId(now.0 / self.length_ms.get())
    }

    /// Whether the window has closed and the grace time has passed.
    pub const fn is_sealable(&self, window: WindowId, now: WallTime) -> bool {
        let end_ms = window.next().0.saturating_mul(self.length_ms.get());
        now.0 >= end_ms.saturating_add(self.grace.get())
    }
}
