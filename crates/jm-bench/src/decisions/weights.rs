//! Rollout of a weight version to engines whose swaps sometimes fail.

use jm_plan::{Rollout, RolloutEngine, RolloutOptions, SwapResult, WeightOrder};
use jm_types::{FencingNumber, Timestamp, WeightVersion};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Bound, Row, decisions::Size, sim::target};

const OLD: WeightVersion = WeightVersion::new(1);
const NEW: WeightVersion = WeightVersion::new(2);
const SWAP_MS: u64 = 800;
const FAILURES_PER_THOUSAND: u64 = 50;
const MAX_ROLLOUT_MS: u64 = 11_000;

struct Run {
    completed_ms: f64,
    min_serving_ratio: f64,
    miscounted: f64,
    failures: f64,
}

/// Simulates a rollout to `count` engines, seven tenths of which live requests need.
fn run(seed: u64, count: usize) -> Run {
    let engines = (0..count)
        .map(|number| RolloutEngine {
            target: target(number),
            version: OLD,
        })
        .collect();
    let start = Timestamp::new(0);
    let mut rollout = Rollout::new(
        NEW,
        FencingNumber::new(1),
        engines,
        start,
        RolloutOptions::default(),
    );
    let needed = count * 7 / 10;
    let mut random = StdRng::seed_from_u64(seed);
    let mut pending: Vec<(WeightOrder, u64)> = Vec::new();
    let mut swapped = 0;
    let mut run = Run {
        completed_ms: f64::INFINITY,
        min_serving_ratio: f64::INFINITY,
        miscounted: 0.0,
        failures: 0.0,
    };
    for now_ms in (0..60_000).step_by(50) {
        let now = Timestamp::new(now_ms);
        for (order, _) in pending.extract_if(.., |(_, end_ms)| *end_ms <= now_ms) {
            let failed = random.random_range(0..1_000) < FAILURES_PER_THOUSAND;
            run.failures += f64::from(u8::from(failed));
            swapped += usize::from(!failed);
            let result = if failed {
                SwapResult::Failed
            } else {
                SwapResult::Reports(NEW)
            };
            rollout.on_result(&order.target, result, now, &mut random);
        }
        let orders = rollout.next_orders(needed, now);
        pending.extend(orders.into_iter().map(|order| (order, now_ms + SWAP_MS)));
        run.min_serving_ratio = run
            .min_serving_ratio
            .min((count - pending.len()) as f64 / needed as f64);
        let status = rollout.status(now);
        run.miscounted += status.done.abs_diff(swapped) as f64;
        if status.done == count {
            run.completed_ms = now_ms as f64;
            break;
        }
    }
    run
}

/// Measures the time until all engines serve the new version, and the engines available to live requests meanwhile.
/// The naive version orders all engines at once and ignores the results.
pub fn weight_changes(seed: u64, size: Size) -> Vec<Row> {
    let counts: &[usize] = match size {
        Size::Small => &[10, 34],
        Size::Full => &[10, 34, 1_000, 12_000],
    };
    counts.iter().flat_map(|count| rows(seed, *count)).collect()
}

fn rows(seed: u64, count: usize) -> Vec<Row> {
    let run = run(seed, count);
    let row = |measure: &str, naive: Option<f64>, ours, bound| Row {
        group: "weight changes",
        measure: format!("{count} engines: {measure}"),
        naive,
        ours,
        bound,
    };
    vec![
        row(
            "ms until all report the version",
            None,
            run.completed_ms,
            Bound::AtMost(MAX_ROLLOUT_MS as f64),
        ),
        row(
            "fewest serving engines / needed for live",
            Some(0.0),
            run.min_serving_ratio,
            Bound::AtLeast(1.0),
        ),
        row(
            "engines wrongly counted as done",
            None,
            run.miscounted,
            Bound::AtMost(0.0),
        ),
        row(
            "failed swaps that were retried",
            Some(0.0),
            run.failures,
            Bound::None,
        ),
    ]
}
