//! The worst-served organisation while another organisation floods several dispatch daemons.

use jm_route::{Class, Scheduler, SchedulerOptions};

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours},
    sim::{Arrivals, Cluster, ClusterOptions, Router, Source},
};

/// Dispatch daemons that decide independently.
const DAEMONS: usize = 4;

/// Seconds before the flood and the measurement begin. By then the other organisations have saturated the engines.
const WARM_UP_S: usize = 30;

/// Seconds before the measurement when all organisations, including the flooding one, start on idle engines.
const COLD_START_S: usize = 15;

/// Length of one measurement window, in seconds.
const WINDOW_S: usize = 10;

/// Mean time from the arrival of a request to its tokens when the request does not queue: half the duration of an
/// answer on a saturated engine. The demand of a window is what arrives in a window that begins and ends this
/// much earlier.
const LATENCY_S: usize = 3;

/// Mean prompt and answer tokens of a request in the harness.
const REQUEST_TOKENS: f64 = 400.0;

/// Demand of each organisation as a multiple of its share. The first organisation floods.
const DEMANDS: [f64; 8] = [10.0, 0.3, 0.5, 0.8, 1.2, 1.5, 2.0, 3.0];

struct Case {
    options: ClusterOptions,
    windows: usize,
    capacity: f64,
}

/// Max-min fair shares of `capacity` for the demands, with equal weights.
fn max_min(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut remaining = capacity;
    for (position, number) in order.iter().enumerate() {
        let equal = remaining / (order.len() - position) as f64;
        shares[*number] = demands[*number].min(equal);
        remaining -= shares[*number];
    }
    shares
}

fn options(seed: u64, engines_per_daemon: usize) -> ClusterOptions {
    ClusterOptions {
        daemons: DAEMONS,
        engines_per_daemon,
        progress_tokens: 8,
        queue_timeout_ms: 30_000,
        seed,
        ..ClusterOptions::default()
    }
}

/// Tokens per second that saturated engines serve.
fn capacity(options: ClusterOptions) -> f64 {
    let backlog = 75 * DAEMONS * options.engines_per_daemon;
    let sources = vec![Source::new(0, Class::Training, Arrivals::Backlog(backlog))];
    let mut cluster = Cluster::new(options, sources, without_queue_limits);
    cluster.run((WARM_UP_S + WINDOW_S) as u64 * 1_000);
    cluster.served(0, WARM_UP_S, WARM_UP_S + WINDOW_S) as f64 / WINDOW_S as f64
}

/// Returns the minimum over all windows from `measured_s` on, and the mean over these windows, of the smallest ratio
/// of served tokens to the max-min fair share among all organisations but the first. The first organisation starts
/// at `flood_s`.
fn run(case: &Case, flood_s: usize, measured_s: usize, router: fn() -> Box<dyn Router>) -> (f64, f64) {
    let equal = case.capacity / DEMANDS.len() as f64;
    let start = |number| if number == 0 { flood_s } else { 0 };
    let sources = DEMANDS
        .iter()
        .enumerate()
        .map(|(number, demand)| {
            let rate = Arrivals::Even(demand * equal / REQUEST_TOKENS);
            Source::new(number, Class::Training, rate).starting_at(start(number))
        })
        .collect();
    let mut cluster = Cluster::new(case.options, sources, router);
    cluster.run((measured_s + case.windows * WINDOW_S) as u64 * 1_000);
    let worst: Vec<f64> = (0..case.windows)
        .map(|window| worst_share_in_window(&cluster, measured_s + window * WINDOW_S))
        .collect();
    let min = worst.iter().copied().fold(f64::INFINITY, f64::min);
    (min, worst.iter().sum::<f64>() / worst.len() as f64)
}

fn worst_share_in_window(cluster: &Cluster, from: usize) -> f64 {
    let served: Vec<f64> = (0..DEMANDS.len())
        .map(|source| cluster.served(source, from, from + WINDOW_S) as f64)
        .collect();
    let (demand_from, demand_to) = (from - LATENCY_S, from + WINDOW_S - LATENCY_S);
    let demands: Vec<f64> = (0..DEMANDS.len())
        .map(|source| cluster.offered(source, demand_from, demand_to) as f64)
        .collect();
    let fair = max_min(&demands, served.iter().sum());
    let ratios = served.iter().zip(&fair).map(|(served, fair)| served / fair);
    ratios.skip(1).fold(f64::INFINITY, f64::min)
}

/// A scheduler without queue limits, so that one organisation can saturate the engines.
fn without_queue_limits() -> Box<dyn Router> {
    Box::new(Scheduler::new(SchedulerOptions {
        organisation_queue_limit: usize::MAX,
        service_queue_limit: usize::MAX,
        ..SchedulerOptions::default()
    }))
}

/// Measures the worst ratio of served tokens to the fair share among the organisations that do not flood.
pub fn worst_served(seed: u64, size: Size) -> Vec<Row> {
    let counts: &[usize] = match size {
        Size::Small => &[3],
        Size::Full => &[3, 8],
    };
    counts
        .iter()
        .flat_map(|count| rows(options(seed, *count), size))
        .collect()
}

fn rows(options: ClusterOptions, size: Size) -> Vec<Row> {
    let windows = size.select(3, 20) as usize;
    let case = Case {
        options,
        windows,
        capacity: capacity(options),
    };
    let row = |measure: &str, naive, ours, bound| Row {
        group: "worst-served organisation",
        measure: format!(
            "{DAEMONS} daemons with {} engines each: {measure}",
            options.engines_per_daemon
        ),
        naive: Some(naive),
        ours,
        bound,
    };
    let (flood, flood_naive) = (
        run(&case, WARM_UP_S, WARM_UP_S, ours),
        run(&case, WARM_UP_S, WARM_UP_S, naive),
    );
    let (cold, cold_naive) = (
        run(&case, 0, COLD_START_S, ours),
        run(&case, 0, COLD_START_S, naive),
    );
    vec![
        row(
            "least part of the max-min share in any 10 s from the flood on",
            flood_naive.0,
            flood.0,
            Bound::AtLeast(0.95),
        ),
        row(
            "mean over windows of the least part",
            flood_naive.1,
            flood.1,
            Bound::None,
        ),
        row(
            "least part when all begin on idle engines 15 s before",
            cold_naive.0,
            cold.0,
            Bound::AtLeast(0.95),
        ),
    ]
}
