//! Prefix affinity with delayed and lost cache events.

use std::collections::HashSet;

use jm_route::Class;

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours},
    sim::{Arrivals, Cluster, ClusterOptions, Prefixes, Router, Source},
};

/// Seconds of the run before engine load is measured.
const WARM_UP_S: u64 = 10;

/// Length of one window of the load measurement, in seconds.
const WINDOW_S: u64 = 5;

struct Run {
    hit_rate: f64,
    oracle: f64,
    load: f64,
    window_load: f64,
}

fn sources(engines: usize) -> Vec<Source> {
    let rate = |per_engine: f64| Arrivals::Poisson(per_engine * engines as f64);
    let prefixes = [Prefixes::Shared(300), Prefixes::Groups(8), Prefixes::Groups(16)];
    prefixes
        .into_iter()
        .zip([Class::Live, Class::Training, Class::Training])
        .enumerate()
        .map(|(number, (prefixes, class))| Source::new(number, class, rate(2.5)).with_prefixes(prefixes))
        .collect()
}

fn run(seed: u64, size: Size, router: fn() -> Box<dyn Router>) -> Run {
    let engines = 10;
    let options = ClusterOptions {
        seed,
        engines_per_daemon: engines,
        event_delay_ms: 3_000,
        event_loss_per_thousand: 300,
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::new(options, sources(engines), router);
    cluster.run(WARM_UP_S * 1_000);
    let start = cluster.load.clone();
    let mut window_load = 0.0_f64;
    for _ in 0..size.select(4, 40) {
        let before = cluster.load.clone();
        cluster.run(WINDOW_S * 1_000);
        window_load = window_load.max(max_to_mean(&before, &cluster.load));
    }
    let hits: u64 = cluster.engines.iter().map(|engine| engine.hits).sum();
    let lookups: u64 = cluster.engines.iter().map(|engine| engine.lookups).sum();
    Run {
        hit_rate: hits as f64 / lookups as f64,
        oracle: oracle(&cluster.prefixes_sent),
        load: max_to_mean(&start, &cluster.load),
        window_load,
    }
}

/// The hit rate of one unlimited cache shared by all engines: the upper bound for every placement.
fn oracle(sent: &[Vec<u64>]) -> f64 {
    let mut cached: HashSet<u64> = HashSet::new();
    let (mut hits, mut lookups) = (0, 0);
    for hashes in sent {
        hits += hashes.iter().take_while(|hash| cached.contains(*hash)).count();
        lookups += hashes.len();
        cached.extend(hashes);
    }
    hits as f64 / lookups.max(1) as f64
}

/// The largest load added to an engine between two readings, as a multiple of the mean.
fn max_to_mean(before: &[u64], after: &[u64]) -> f64 {
    let added: Vec<u64> = before
        .iter()
        .zip(after)
        .map(|(before, after)| after - before)
        .collect();
    let mean = added.iter().sum::<u64>() as f64 / added.len() as f64;
    added.iter().max().map_or(0.0, |max| *max as f64 / mean)
}

/// Measures the hit rate relative to an oracle and the imbalance of engine load.
pub fn prefix_cache(seed: u64, size: Size) -> Vec<Row> {
    let naive = run(seed, size, naive);
    let ours = run(seed, size, ours);
    let row = |measure: &str, naive: f64, ours: f64, bound| Row {
        group: "prefix cache",
        measure: format!("events 3 s late, 30% lost: {measure}"),
        naive: Some(naive),
        ours,
        bound,
    };
    let oracle_share = |run: &Run| run.hit_rate / run.oracle;
    vec![
        row(
            "hit rate / that of one unlimited cache",
            oracle_share(&naive),
            oracle_share(&ours),
            Bound::AtLeast(0.8),
        ),
        row("hit rate", naive.hit_rate, ours.hit_rate, Bound::None),
        row(
            "highest engine load / mean, whole run",
            naive.load,
            ours.load,
            Bound::AtMost(1.25),
        ),
        row(
            "highest engine load / mean in any 5 s",
            naive.window_load,
            ours.window_load,
            Bound::AtMost(1.25),
        ),
    ]
}
