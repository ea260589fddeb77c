//! The worst-served organisation while one floods, with several dispatch daemons.

use jm_route::Class;

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours},
    sim::{Arrivals, Cluster, ClusterOptions, Router, Source},
};

/// Seconds before the measurement begins.
const WARM_UP_S: usize = 15;

/// Seconds of one window.
const WINDOW_S: usize = 10;

/// Mean time between a request's arrival and its tokens when it need not wait: half the duration of an answer on
/// a full engine. The demand of a window is what arrived this much earlier.
const LATENCY_S: usize = 3;

/// Tokens of an average request of the harness.
const REQUEST_TOKENS: f64 = 400.0;

/// Demand of each organisation as a multiple of its share; the first one floods.
const DEMANDS: [f64; 8] = [10.0, 0.3, 0.5, 0.8, 1.2, 1.5, 2.0, 3.0];

/// Max-min fair shares of `capacity` for the demands, at equal weights.
fn max_min(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = capacity;
    for (place, number) in order.iter().enumerate() {
        let equal = left / (order.len() - place) as f64;
        shares[*number] = demands[*number].min(equal);
        left -= shares[*number];
    }
    shares
}

fn options(seed: u64) -> ClusterOptions {
    ClusterOptions {
        daemons: 4,
        engines_per_daemon: 3,
        progress_tokens: 8,
        patience_ms: 30_000,
        seed,
        ..ClusterOptions::default()
    }
}

fn capacity(seed: u64) -> f64 {
    let sources = vec![Source::new(0, Class::Training, Arrivals::Backlog(900))];
    let mut cluster = Cluster::new(options(seed), sources, ours);
    cluster.run((WARM_UP_S + WINDOW_S) as u64 * 1_000);
    cluster.served(0, WARM_UP_S, WARM_UP_S + WINDOW_S) as f64 / WINDOW_S as f64
}

/// The smallest part of its max-min fair share that an organisation other than the first gets in any window, and
/// the mean over windows of the smallest.
fn run(seed: u64, size: Size, capacity: f64, router: fn() -> Box<dyn Router>) -> (f64, f64) {
    let equal = capacity / DEMANDS.len() as f64;
    let sources = DEMANDS
        .iter()
        .enumerate()
        .map(|(number, demand)| {
            let rate = demand * equal / REQUEST_TOKENS;
            Source::new(number, Class::Training, Arrivals::Even(rate))
        })
        .collect();
    let mut cluster = Cluster::new(options(seed), sources, router);
    let windows = size.seconds(3, 20) as usize;
    cluster.run((WARM_UP_S + windows * WINDOW_S) as u64 * 1_000);
    let worst: Vec<f64> = (0..windows)
        .map(|window| worst_in_window(&cluster, WARM_UP_S + window * WINDOW_S))
        .collect();
    let least = worst.iter().copied().fold(f64::INFINITY, f64::min);
    (least, worst.iter().sum::<f64>() / worst.len() as f64)
}

fn worst_in_window(cluster: &Cluster, from: usize) -> f64 {
    let served: Vec<f64> = (0..DEMANDS.len())
        .map(|source| cluster.served(source, from, from + WINDOW_S) as f64)
        .collect();
    let (asked_from, asked_to) = (from - LATENCY_S, from + WINDOW_S - LATENCY_S);
    let demands: Vec<f64> = (0..DEMANDS.len())
        .map(|source| cluster.offered(source, asked_from, asked_to) as f64)
        .collect();
    let fair = max_min(&demands, served.iter().sum());
    let parts = served.iter().zip(&fair).map(|(served, fair)| served / fair);
    parts.skip(1).fold(f64::INFINITY, f64::min)
}

/// What the worst-served organisation gets.
pub fn worst_served(seed: u64, size: Size) -> Vec<Row> {
    let capacity = capacity(seed);
    let ours = run(seed, size, capacity, ours);
    let naive = run(seed, size, capacity, naive);
    let row = |measure: &str, naive, ours, bound| Row {
        group: "worst-served organisation",
        measure: measure.to_owned(),
        naive: Some(naive),
        ours,
        bound,
    };
    vec![
        row(
            "least part of the max-min share in any 10 s, 4 daemons",
            naive.0,
            ours.0,
            Bound::AtLeast(0.95),
        ),
        row(
            "mean over windows of the least part",
            naive.1,
            ours.1,
            Bound::None,
        ),
    ]
}
