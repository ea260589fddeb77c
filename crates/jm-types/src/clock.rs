//! Clocks. Decision logic takes timestamps as arguments, and only daemons hold a clock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{DurationMs, Timestamp};

/// Source of monotonic time. Used as a trait object, so that tests can substitute [`ManualClock`].
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary fixed point. The value never decreases.
    fn now(&self) -> Timestamp;
}

/// Source of wall-clock time. The clocks of two hosts differ slightly, so use it only for times that are exchanged
/// between hosts.
pub trait WallClock: Send + Sync {
    /// Milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}

impl WallClock for SystemClock {
    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The boot-time clock of the host. It keeps counting while the process is stopped and while the host is suspended, so
/// that a lease does not remain valid past its term after such a pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let milliseconds = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
        Timestamp::new(seconds * 1_000 + milliseconds)
    }
}

/// A clock for tests that changes only when [`ManualClock::advance`] is called.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Creates a clock whose current time is `start`.
    pub fn new(start: Timestamp) -> Self {
        Self {
            now_ms: AtomicU64::new(start.get()),
        }
    }

    /// Adds `by` to the current time.
    pub fn advance(&self, by: DurationMs) {
        self.now_ms.fetch_add(by.get(), Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::new(self.now_ms.load(Ordering::SeqCst))
    }
}
