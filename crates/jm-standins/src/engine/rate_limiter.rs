//! Limits the token rate of one stream or of all streams together.

use std::time::{Duration, Instant};

use jm_types::Rate;

/// Maximum delay that a stream may catch up on after a late wake-up. Without it, late timers would lower the rate.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// Schedules the times at which tokens may be generated. Each stream reserves one token at a time, so streams that are
/// always busy get equal shares of the rate.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    next: Option<Instant>,
}

impl RateLimiter {
    /// Reserves `tokens` and returns the wait until they are available.
    pub(super) fn reserve(&mut self, tokens: f64, rate: Rate, now: Instant) -> Duration {
        // The lower bound of one token per 1,000 s avoids a division by zero. An engine with a lower rate makes no
        // progress within a test.
        let seconds = tokens / rate.get().max(0.001);
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let start = self.next.unwrap_or(now).max(earliest);
        let end = start + Duration::from_secs_f64(seconds);
        self.next = Some(end);
        end.saturating_duration_since(now)
    }
}
