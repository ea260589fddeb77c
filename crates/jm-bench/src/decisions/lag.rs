//! Lagging inputs: delayed load reports, an outdated host list, and an engine that slows down.

use jm_route::{Class, Health, Scheduler, SchedulerOptions};
use jm_types::Timestamp;

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours},
    sim::{Arrivals, Cluster, ClusterOptions, LoadReports, Router, Source, target},
};

const ENGINES: usize = 10;

/// Number of the engine that is withdrawn or slows down.
const CHANGED_ENGINE: usize = 3;

fn cluster(seed: u64, arrivals: f64, reports: LoadReports, router: fn() -> Box<dyn Router>) -> Cluster {
    let options = ClusterOptions {
        seed,
        engines_per_daemon: ENGINES,
        reports,
        ..ClusterOptions::default()
    };
    let rate = Arrivals::Poisson(arrivals * ENGINES as f64);
    let sources = vec![
        Source::new(0, Class::Live, rate),
        Source::new(1, Class::Training, rate),
    ];
    Cluster::new(options, sources, router)
}

/// Counts requests assigned to an engine later than 3 s after the notice of its withdrawal, while a host list that
/// lags by 10 s still contains the engine.
fn assigned_after_notice(seed: u64, router: fn() -> Box<dyn Router>) -> f64 {
    let mut cluster = cluster(seed, 4.0, LoadReports::None, router);
    cluster.run(10_000);
    cluster.routers[0].mark_leaving(&target(CHANGED_ENGINE));
    cluster.run(3_000);
    let before = cluster.sent[CHANGED_ENGINE];
    for _ in 0..7 {
        let specs = cluster.specs(0);
        let now = Timestamp::new(cluster.now_ms());
        cluster.routers[0].set_targets(specs, now);
        cluster.run(1_000);
    }
    (cluster.sent[CHANGED_ENGINE] - before) as f64
}

struct SlowEngineRun {
    detected_s: f64,
    work_share: f64,
    wait_ms: f64,
}

/// Reduces one engine to a quarter of its speed and measures detection time, its share of the work and waits.
fn run_with_slow_engine(seed: u64, size: Size, router: fn() -> Box<dyn Router>) -> SlowEngineRun {
    let mut cluster = cluster(seed, 5.0, LoadReports::None, router);
    cluster.run(10_000);
    cluster.engines[CHANGED_ENGINE].slowdown = 4;
    let mut detected_s = f64::INFINITY;
    for second in 1..=10 {
        cluster.run(1_000);
        if detected_s.is_infinite() && is_detected_slow(&cluster) {
            detected_s = f64::from(second);
        }
    }
    let before = cluster.sent.clone();
    cluster.run(size.select(10, 60) * 1_000);
    let added: Vec<u64> = before
        .iter()
        .zip(&cluster.sent)
        .map(|(before, after)| after - before)
        .collect();
    let mean = added.iter().sum::<u64>() as f64 / ENGINES as f64;
    let waits = cluster.waits_us(0, 20_000);
    SlowEngineRun {
        detected_s,
        work_share: added[CHANGED_ENGINE] as f64 / mean,
        wait_ms: super::percentile(&waits, 99) / 1e3,
    }
}

fn is_detected_slow(cluster: &Cluster) -> bool {
    let Some(scheduler) = cluster.routers[0].scheduler() else {
        return false;
    };
    let states = scheduler.targets();
    states
        .iter()
        .any(|state| state.id == target(CHANGED_ENGINE) && state.health == Health::Slow)
}

/// The p99 wait until the first token, in milliseconds, with the given load reports.
fn p99_wait_ms(seed: u64, size: Size, reports: LoadReports) -> f64 {
    let mut cluster = cluster(seed, 6.0, reports, || {
        Box::new(Scheduler::new(SchedulerOptions::default()))
    });
    cluster.run((5 + size.select(15, 120)) * 1_000);
    super::percentile(&cluster.waits_us(0, 5_000), 99) / 1e3
}

/// Measures how lagging inputs affect assignments, the detection of a slow engine and waits.
pub fn lagging_inputs(seed: u64, size: Size) -> Vec<Row> {
    let row = |measure: &str, naive, ours, bound| Row {
        group: "lagging inputs",
        measure: measure.to_owned(),
        naive,
        ours,
        bound,
    };
    let assigned_naive = assigned_after_notice(seed, naive);
    let (slow_naive, slow_ours) = (
        run_with_slow_engine(seed, size, naive),
        run_with_slow_engine(seed, size, ours),
    );
    let fresh = p99_wait_ms(seed, size, LoadReports::None);
    let lagging = p99_wait_ms(seed, size, LoadReports::Delayed(4_000));
    vec![
        row(
            "new requests for a leaving engine after 3 s, host list 10 s behind",
            Some(assigned_naive),
            assigned_after_notice(seed, ours),
            Bound::AtMost(0.0),
        ),
        row(
            "seconds until an engine at a quarter of its speed is found",
            None,
            slow_ours.detected_s,
            Bound::AtMost(10.0),
        ),
        row(
            "work for that engine / mean of all",
            Some(slow_naive.work_share),
            slow_ours.work_share,
            Bound::AtMost(0.25),
        ),
        row(
            "p99 wait until first token, ms, one engine slow",
            Some(slow_naive.wait_ms),
            slow_ours.wait_ms,
            Bound::None,
        ),
        row(
            "p99 wait with load reports 4 s old / without reports",
            None,
            lagging / fresh,
            Bound::AtMost(1.2),
        ),
    ]
}
