//! Tests of the retry budget and of the backoff.

mod common;

use common::quick;
use jm_route::{Backoff, RetryBudget};
use jm_types::DurationMs;
use rand::{SeedableRng, rngs::StdRng};

/// Guards against more retries than a tenth of the requests, for any sequence of requests and retries.
#[test]
fn budget_matches_naive() {
    fn check(steps: Vec<bool>) -> bool {
        let mut budget = RetryBudget::default();
        let mut naive = 0.0_f64;
        let (mut offered, mut retried) = (0_u32, 0_u32);
        for step in steps.iter().cycle().take(steps.len() * 20) {
            if *step {
                budget.deposit();
                naive = (naive + 0.1).min(10.0);
                offered += 1;
            } else {
                let expected = naive >= 1.0 - 1e-9;
                if budget.withdraw() != expected {
                    return false;
                }
                naive -= if expected { 1.0 } else { 0.0 };
                retried += u32::from(expected);
            }
        }
        retried * 10 <= offered
    }
    quick().quickcheck(check as fn(_) -> _);
}

/// Guards against a long time without retries that allows a large burst of them afterwards.
#[test]
fn reserve_is_bounded() {
    let mut budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 10);
}

/// Guards against a delay above the cap, and against equal delays for callers that failed at the same time.
#[test]
fn backoff_is_bounded_and_spread() {
    let backoff = Backoff {
        base: DurationMs::new(50),
        cap: DurationMs::new(2_000),
    };
    let mut random = StdRng::seed_from_u64(1);
    for attempt in [0, 1, 3, 40, 200] {
        let bound = 50_u64
            .saturating_mul(1_u64.checked_shl(attempt).unwrap_or(u64::MAX))
            .min(2_000);
        let delays: Vec<u64> = (0..100)
            .map(|_| backoff.delay(attempt, &mut random).get())
            .collect();
        assert!(
            delays.iter().all(|delay| (1..=bound).contains(delay)),
            "attempt {attempt}: {delays:?}"
        );
        assert!(delays.iter().max() > delays.iter().min());
    }
}
