//! Settings of a lease.

use jm_types::{DurationMs, Incarnation, MemberId};
use snafu::{Snafu, ensure};

use crate::Duty;

/// Settings of one [`crate::LeaseManager`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Duty that the lease is for; it selects the lease object.
    pub duty: Duty,
    /// Member id of this daemon, written into the lease record.
    pub holder: MemberId,
    /// Incarnation of this daemon, which distinguishes its runs.
    pub incarnation: Incarnation,
    /// Time for which other daemons must not take the lease over after they observed its last update.
    pub term_ms: DurationMs,
    /// Part of the term that the holder does not use. It covers clocks that run at different speeds: 1 s in a term of
    /// 10 s permits a difference of 10%.
    pub margin_ms: DurationMs,
    /// Maximum time after an order was written during which it can still take effect.
    pub longest_order_ms: DurationMs,
    /// Whether at most one process of the holder runs at a time. A restarted holder then takes its lease over without
    /// waiting for the term of its previous run.
    pub single_instance: bool,
    /// Time after its start or after the loss of the lease during which this daemon does not acquire the lease, unless
    /// it was the last holder. A receiver that rejects alternating holders then never observes this daemon twice within
    /// this time.
    pub cooldown_ms: DurationMs,
}

/// The margin of a lease is zero or not below its term.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the margin {margin_ms} must be above zero and below the term {term_ms} of the lease"))]
pub struct LeaseOptionsError {
    margin_ms: DurationMs,
    term_ms: DurationMs,
}

impl LeaseOptions {
    /// Creates options with the default durations: a term of 10 s with a margin of 1 s, and a maximum order time of 5
    /// s.
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
