//! Detection of pauses of this process.
//!
//! Load pattern: a host is frozen or gets no processor time for seconds while it runs batches. In that time other hosts
//! may have taken the batches over, or their submitters have ended them, and all timers of the host fire at once when it
//! goes on. The host must neither start items that are no longer its own nor treat its own silence as that of the engines.

use jm_types::{DurationMs, Timestamp};

/// Compares the times of a loop that runs at short intervals.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    threshold_ms: DurationMs,
    observed_at: Timestamp,
}

impl PauseDetector {
    /// Creates a detector that reports gaps of `threshold_ms` or more.
    pub fn new(threshold_ms: DurationMs, now: Timestamp) -> Self {
        Self {
            threshold_ms,
            observed_at: now,
        }
    }

    /// Length of the pause since the last call, in which the loop expected to wait for `expected_ms`. `None` if there
    /// was none.
    pub fn observe(&mut self, expected_ms: DurationMs, now: Timestamp) -> Option<DurationMs> {
        let gap = now.since(self.observed_at).saturating_sub(expected_ms);
        self.observed_at = now;
        (gap >= self.threshold_ms).then_some(gap)
    }
}
