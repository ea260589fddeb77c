//! Shares a token rate between streams.

use std::time::{Duration, Instant};

use jm_types::Rate;

/// A stream that wakes up late may catch up by this much; otherwise the late wake-ups of timers would lower the rate.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Hands out times at which tokens may be generated. Each stream takes one token at a time, so streams that always have
/// work get equal parts of the rate.
#[derive(Debug, Default)]
pub(super) struct Pace {
    next: Option<Instant>,
}

impl Pace {
    /// Takes `tokens` and returns how long to wait for them.
    pub(super) fn take(&mut self, tokens: f64, rate: Rate, now: Instant) -> Duration {
        // A rate below one token in 1,000 s stands for an engine that makes no progress.
        let seconds = tokens / rate.get().max(0.001);
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let start = self.next.unwrap_or(now).max(earliest);
        let end = start + Duration::from_secs_f64(seconds);
        self.next = Some(end);
        end.saturating_duration_since(now)
    }
}
