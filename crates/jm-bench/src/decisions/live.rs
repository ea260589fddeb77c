//! Live calls while training saturates the engines.

use jm_route::Class;

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours, percentile},
    sim::{Arrivals, Cluster, ClusterOptions, Router, Source},
};

const GROUP: &str = "live service";

/// Seconds before the measurement begins.
const WARM_UP_S: u64 = 5;

/// Live requests a second and engine; about a quarter of an engine's capacity.
const LIVE_RATE: f64 = 3.0;

struct Run {
    wait_us: f64,
    queue_ms: f64,
    live_tokens: f64,
    training_tokens: f64,
}

fn run(seed: u64, size: Size, live: bool, training: bool, router: fn() -> Box<dyn Router>) -> Run {
    let options = ClusterOptions {
        seed,
        ..ClusterOptions::default()
    };
    let engines = options.engines_per_daemon;
    let rate = if live { LIVE_RATE * engines as f64 } else { 0.0 };
    let backlog = if training { 90 * engines } else { 0 };
    let sources = vec![
        Source::new(0, Class::Live, Arrivals::Poisson(rate)),
        Source::new(1, Class::Training, Arrivals::Backlog(backlog / 2)),
        Source::new(2, Class::Training, Arrivals::Backlog(backlog / 2)),
    ];
    let mut cluster = Cluster::new(options, sources, router);
    let seconds = WARM_UP_S + size.seconds(25, 300);
    cluster.run(seconds * 1_000);
    let waits = cluster.waits_us(0, WARM_UP_S * 1_000);
    let mut queues: Vec<u64> = cluster
        .completed
        .iter()
        .filter(|done| done.source == 0 && done.submitted_ms >= WARM_UP_S * 1_000)
        .map(|done| done.queue_ms)
        .collect();
    queues.sort_unstable();
    let served = |source| cluster.served(source, WARM_UP_S as usize, seconds as usize) as f64;
    Run {
        wait_us: percentile(&waits, 99),
        queue_ms: percentile(&queues, 99),
        live_tokens: served(0),
        training_tokens: served(1) + served(2),
    }
}

/// Waits of live calls with and without training, and what training keeps.
pub fn live_service(seed: u64, size: Size) -> Vec<Row> {
    let alone = run(seed, size, true, false, ours);
    let shared = run(seed, size, true, true, ours);
    let shared_naive = run(seed, size, true, true, naive);
    let capacity = run(seed, size, false, true, ours).training_tokens;
    let kept = |run: &Run| run.training_tokens / (capacity - run.live_tokens);
    let row = |measure: &str, naive: f64, ours: f64, bound| Row {
        group: GROUP,
        measure: measure.to_owned(),
        naive: Some(naive),
        ours,
        bound,
    };
    vec![
        row(
            "p99 wait until first token / the same without training",
            shared_naive.wait_us / alone.wait_us,
            shared.wait_us / alone.wait_us,
            Bound::AtMost(1.2),
        ),
        row(
            "p99 wait until first token, ms",
            shared_naive.wait_us / 1e3,
            shared.wait_us / 1e3,
            Bound::None,
        ),
        row(
            "p99 wait for a target, ms",
            shared_naive.queue_ms,
            shared.queue_ms,
            Bound::None,
        ),
        row(
            "training tokens / what live calls leave",
            kept(&shared_naive),
            kept(&shared),
            Bound::AtLeast(0.95),
        ),
    ]
}
