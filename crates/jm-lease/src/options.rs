//! Settings of a lease.

use jm_types::{DurationMs, Incarnation, MemberId};
use snafu::{Snafu, ensure};

use crate::Duty;

/// Settings of one manager.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The duty to hold.
    pub duty: Duty,
    /// This daemon.
    pub holder: MemberId,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// Time for which others leave the lease alone after they saw its last update.
    pub term_ms: DurationMs,
    /// Part of the term that the holder does not use. It covers clocks of hosts that run at different speeds: 1 s in
    /// a term of 10 s permits a difference of 10%.
    pub margin_ms: DurationMs,
    /// Longest time for which an order can still take effect after it was written.
    pub longest_order_ms: DurationMs,
    /// Whether a run of the holder ends before the next one starts. A new run then need not wait for the term of the
    /// one before it.
    pub single_instance: bool,
    /// Time for which this daemon leaves the lease to others after it started or lost it, unless it was the last
    /// holder. Receivers that watch for alternating holders then never see this one twice within it.
    pub cooldown_ms: DurationMs,
}

/// The settings of a lease contradict one another.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the margin {margin_ms} must be above zero and below the term {term_ms} of the lease"))]
pub struct LeaseOptionsError {
    margin_ms: DurationMs,
    term_ms: DurationMs,
}

impl LeaseOptions {
    /// Usual durations: a term of 10 s with a margin of 1 s, and orders of at most 5 s.
    pub fn new(duty: Duty, holder: MemberId, incarnation: Incarnation) -> Self {
        Self {
            duty,
            holder,
            incarnation,
            term_ms: DurationMs::new(10_000),
            margin_ms: DurationMs::new(1_000),
            longest_order_ms: DurationMs::new(5_000),
            single_instance: false,
            cooldown_ms: DurationMs::new(0),
        }
    }

    pub(crate) fn check(&self) -> Result<(), LeaseOptionsError> {
        let (margin_ms, term_ms) = (self.margin_ms, self.term_ms);
        ensure!(
            margin_ms > DurationMs::new(0) && margin_ms < term_ms,
            LeaseOptionsSnafu { margin_ms, term_ms }
        );
        Ok(())
    }
}
