//! Guards against roll-outs that disturb live service, miss their time goal or count engines as done too early.

use jm_plan::{Rollout, RolloutEngine, RolloutOptions, SwapResult, WeightOrder};
use jm_types::{FencingNumber, TargetId, Timestamp, WeightVersion};
use quickcheck::{Gen, QuickCheck};
use rand::{RngCore, SeedableRng, rngs::StdRng};

const OLD: WeightVersion = WeightVersion::new(1);
const NEW: WeightVersion = WeightVersion::new(2);

fn engines(count: usize) -> Vec<RolloutEngine> {
    (0..count)
        .map(|number| RolloutEngine {
            target: TargetId::new(format!("engine-{number}")).unwrap(),
            version: OLD,
        })
        .collect()
}

fn rollout(count: usize) -> Rollout {
    Rollout::new(
        NEW,
        FencingNumber::new(5),
        engines(count),
        Timestamp::new(0),
        RolloutOptions::default(),
    )
}

/// Simulated engines. Each swap takes 800 ms and fails with the given probability in thousandths.
struct Swaps {
    open: Vec<(WeightOrder, u64)>,
    random: StdRng,
    failure_per_thousand: u64,
    most_open: usize,
    failures: usize,
}

impl Swaps {
    fn new(seed: u64, failure_per_thousand: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self {
            open: Vec::new(),
            random,
            failure_per_thousand,
            most_open: 0,
            failures: 0,
        }
    }

    fn tick(&mut self, rollout: &mut Rollout, live_engines: usize, now: u64) {
        let (ended, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(_, end)| *end <= now);
        self.open = open;
        let ended: Vec<(WeightOrder, u64)> = ended;
        for (order, _) in ended {
            let failed = self.random.next_u64() % 1_000 < self.failure_per_thousand;
            self.failures += usize::from(failed);
            let result = if failed {
                SwapResult::Failed
            } else {
                SwapResult::Reports(NEW)
            };
            rollout.on_result(&order.target, result, Timestamp::new(now), &mut self.random);
        }
        for order in rollout.next_orders(live_engines, Timestamp::new(now)) {
            self.open.push((order, now + 800));
        }
        self.most_open = self.most_open.max(self.open.len());
    }
}

/// Guards against swaps that take engines from live service, failed swaps that count as done, and a roll-out that
/// misses its time goal although enough engines are spare.
#[test]
fn done_in_time_with_live_service_kept() {
    fn check(seed: u64, count: u8, live: u8) -> bool {
        let count = usize::from(count % 40) + 4;
        let live = usize::from(live) % (count / 2 + 1);
        let mut rollout = rollout(count);
        let mut swaps = Swaps::new(seed, 50);
        let mut done_at = None;
        for now in (0..30_000).step_by(100) {
            swaps.tick(&mut rollout, live, now);
            if rollout.status(Timestamp::new(now)).done == count {
                done_at.get_or_insert(now);
            }
        }
        swaps.most_open <= count - live && done_at.is_some_and(|done_at| done_at <= 11_000)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 5))
        .quickcheck(check as fn(_, _, _) -> _);
}

/// Guards against swapping all spare engines at once although the time goal permits fewer.
#[test]
fn few_at_a_time() {
    let mut rollout = rollout(40);
    let mut swaps = Swaps::new(1, 0);
    (0..12_000)
        .step_by(100)
        .for_each(|now| swaps.tick(&mut rollout, 10, now));
    assert!(swaps.most_open <= 8, "{}", swaps.most_open);
    assert_eq!(rollout.status(Timestamp::new(12_000)).done, 40);
}

/// Guards against an engine that counts as done although it reports another version or nothing.
#[test]
fn only_reports_count() {
    let mut rollout = rollout(1);
    let mut random = StdRng::seed_from_u64(1);
    let order = rollout.next_orders(0, Timestamp::new(0)).remove(0);
    assert_eq!((order.version, order.fencing), (NEW, FencingNumber::new(5)));
    rollout.on_result(
        &order.target,
        SwapResult::Reports(OLD),
        Timestamp::new(800),
        &mut random,
    );
    assert_eq!(rollout.status(Timestamp::new(800)).done, 0);
    let again = rollout.next_orders(0, Timestamp::new(2_000));
    assert_eq!(again, vec![order.clone()]);
    assert!(rollout.next_orders(0, Timestamp::new(3_000)).is_empty());
    assert_eq!(rollout.next_orders(0, Timestamp::new(7_000)), vec![order]);
    assert_eq!(rollout.status(Timestamp::new(7_000)).done, 0);
}

/// Guards against orders by a control daemon that no longer holds the lease.
#[test]
fn fenced_stops() {
    let mut rollout = rollout(4);
    let mut random = StdRng::seed_from_u64(1);
    let order = rollout.next_orders(0, Timestamp::new(0)).remove(0);
    rollout.on_result(&order.target, SwapResult::Fenced, Timestamp::new(10), &mut random);
    assert!(rollout.next_orders(0, Timestamp::new(20_000)).is_empty());
    assert!(rollout.status(Timestamp::new(20_000)).fenced);
}

/// Guards against an engine that restarted with the old version, or joined late, and is not ordered to load.
#[test]
fn returning_engine_is_ordered() {
    let mut rollout = rollout(2);
    let mut random = StdRng::seed_from_u64(1);
    for order in rollout.next_orders(0, Timestamp::new(0)) {
        rollout.on_result(
            &order.target,
            SwapResult::Reports(NEW),
            Timestamp::new(800),
            &mut random,
        );
    }
    rollout.set_engines(engines(3), Timestamp::new(1_000));
    assert!(rollout.status(Timestamp::new(1_000)).done == 0);
    assert!(!rollout.next_orders(0, Timestamp::new(1_000)).is_empty());
}
