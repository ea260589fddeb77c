//! Limits on the number and the timing of retries.

use jm_types::DurationMs;
use rand::RngCore;

/// Cost of one retry in units of the balance; each request deposits the allowed retries per thousand requests.
const RETRY_COST: u64 = 1_000;

/// Limits retries to a fraction of the requests, so that an outage does not multiply the load on the remaining targets.
///
/// The budget starts empty. At any time since the start, the number of requests sent to targets is at most
/// (1 + fraction) times the number of requests offered.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u64,
    deposit: u64,
    reserve: u64,
}

impl Default for RetryBudget {
    /// One retry per ten requests, with a reserve of at most ten retries.
    fn default() -> Self {
        Self::new(100, 10)
    }
}

impl RetryBudget {
    /// A budget of `retries_per_thousand` retries per 1,000 requests. At most `reserve` unused retries accumulate.
    pub const fn new(retries_per_thousand: u64, reserve: u64) -> Self {
        Self {
            balance: 0,
            deposit: retries_per_thousand,
            reserve: reserve * RETRY_COST,
        }
    }

    /// Counts one offered request. Retries are not counted.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.reserve);
    }

    /// Takes one retry from the budget; `false` when the budget is spent and the request must not be retried.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }

    /// The number of retries that the current balance allows.
    pub const fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }
}

/// Exponential backoff with full jitter, so that clients that failed at the same time do not retry at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the delay before the first retry.
    pub base: DurationMs,
    /// Upper bound of the delay before any retry.
    pub cap: DurationMs,
}

impl Backoff {
    /// The delay before retry number `attempt`, counted from 0. It is uniform between 1 ms and a bound that starts at
    /// `base`, doubles with each attempt and is at most `cap`.
    pub fn delay(&self, attempt: u32, random: &mut impl RngCore) -> DurationMs {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let bound = self.base.get().saturating_mul(factor).min(self.cap.get()).max(1);
        DurationMs::new(1 + random.next_u64() % bound)
    }
}
