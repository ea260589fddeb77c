//! Clocks. Decisions take readings as arguments; only daemons hold a clock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{DurationMs, Timestamp};

/// Source of monotonic time. A trait object so that tests can move time by hand.
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary fixed point; never goes back.
    fn now(&self) -> Timestamp;
}

/// Source of the time of day. Hosts differ by a little, so it only serves for times that hosts have to share.
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

/// The boot clock of the host. It goes on while the process is stopped and while the host is suspended, so that a
/// lease cannot outlive its term through a freeze.
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

/// A clock that stands still until a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// A clock that reads `start`.
    pub fn new(start: Timestamp) -> Self {
        Self {
            now_ms: AtomicU64::new(start.get()),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: DurationMs) {
        self.now_ms.fetch_add(by.get(), Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::new(self.now_ms.load(Ordering::SeqCst))
    }
}
