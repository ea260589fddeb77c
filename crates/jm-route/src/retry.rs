//! Retry budget and backoff.

use jm_types::DurationMs;
use rand::RngCore;

/// One retry in the budget's unit of account.
const RETRY_COST: u64 = 1_000;

/// Limits retries to a part of the requests, so that an outage does not multiply the load on what is left.
///
/// The budget starts empty: requests sent to targets never exceed (1 + part) times the requests offered, over any
/// time since the start.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u64,
    deposit: u64,
    reserve: u64,
}

impl Default for RetryBudget {
    /// One retry per ten requests, with at most ten retries saved up.
    fn default() -> Self {
        Self::new(100, 10)
    }
}

impl RetryBudget {
    /// A budget of `retries_per_thousand` requests that saves up at most `reserve` retries.
    pub const fn new(retries_per_thousand: u64, reserve: u64) -> Self {
        Self {
            balance: 0,
            deposit: retries_per_thousand,
            reserve: reserve * RETRY_COST,
        }
    }

    /// Counts one request that was offered (not a retry).
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.reserve);
    }

    /// Takes one retry from the budget; `false` means that the request must not be retried.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }

    /// The number of retries that are allowed at once.
    pub const fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }
}

/// Exponential backoff with full jitter, so that clients which failed together do not retry together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// The largest delay before the first retry.
    pub base: DurationMs,
    /// The largest delay before any retry.
    pub cap: DurationMs,
}

impl Backoff {
    /// The delay before retry number `attempt`, counted from 0: uniform between 1 ms and the doubled bound.
    pub fn delay(&self, attempt: u32, random: &mut impl RngCore) -> DurationMs {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let bound = self.base.get().saturating_mul(factor).min(self.cap.get()).max(1);
        DurationMs::new(1 + random.next_u64() % bound)
    }
}
