//! Clocks that a test can move.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use jm_types::{Clock, DurationMs, SystemClock, Timestamp, WallClock};

/// The system's clock, which a test can set forward. The host then counts as paused.
#[derive(Default)]
pub(crate) struct JumpingClock {
    ahead_ms: AtomicU64,
    /// Difference of the host's time of day.
    wall_ahead_ms: AtomicI64,
}

impl JumpingClock {
    pub(crate) fn jump(&self, ms: u64) {
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }

    /// Moves the time of day, which does not count as a pause.
    pub(crate) fn move_wall(&self, ms: i64) {
        self.wall_ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl WallClock for JumpingClock {
    fn unix_ms(&self) -> u64 {
        SystemClock
            .unix_ms()
            .saturating_add_signed(self.wall_ahead_ms.load(Ordering::SeqCst))
    }
}

impl Clock for JumpingClock {
    fn now(&self) -> Timestamp {
        let ahead_ms = DurationMs::new(self.ahead_ms.load(Ordering::SeqCst));
        SystemClock.now().after(ahead_ms)
    }
}
