//! Live requests while training saturates the engines.

use jm_route::{Class, Scheduler, SchedulerOptions};

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours, percentile},
    sim::{Arrivals, Cluster, ClusterOptions, Router, Source},
};

/// Seconds of the run before the measurement begins.
const WARM_UP_S: u64 = 5;

/// Live requests per second and engine: about a quarter of an engine's capacity.
const LIVE_RATE: f64 = 3.0;

#[derive(Clone, Copy)]
struct Case {
    seed: u64,
    engines: usize,
    seconds: u64,
}

struct Run {
    wait_us: f64,
    queue_ms: f64,
    live_tokens: f64,
    training_tokens: f64,
}

fn run(case: Case, live: bool, training: bool, router: fn() -> Box<dyn Router>) -> Run {
    let engines = case.engines;
    let rate = if live { LIVE_RATE * engines as f64 } else { 0.0 };
    let backlog = if training { 90 * engines } else { 0 };
    let sources = vec![
        Source::new(0, Class::Live, Arrivals::Poisson(rate)),
        Source::new(1, Class::Training, Arrivals::Backlog(backlog / 4)),
        Source::new(2, Class::Training, Arrivals::Backlog(backlog / 4)),
        Source::new(3, Class::Training, Arrivals::Backlog(backlog / 4)),
        Source::new(4, Class::Training, Arrivals::Backlog(backlog / 4)),
    ];
    let options = ClusterOptions {
        seed: case.seed,
        engines_per_daemon: engines,
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::new(options, sources, router);
    let seconds = WARM_UP_S + case.seconds;
    cluster.run(seconds * 1_000);
    let served = |source| cluster.served(source, WARM_UP_S as usize, seconds as usize) as f64;
    Run {
        wait_us: percentile(&cluster.waits_us(0, WARM_UP_S * 1_000), 99),
        queue_ms: percentile(&queue_times(&cluster), 99),
        live_tokens: served(0),
        training_tokens: (1..5).map(served).sum(),
    }
}

fn queue_times(cluster: &Cluster) -> Vec<u64> {
    let live = cluster.completed.iter().filter(|request| request.source == 0);
    let measured = live.filter(|request| request.submitted_ms >= WARM_UP_S * 1_000);
    let mut times: Vec<u64> = measured.map(|request| request.queue_ms).collect();
    times.sort_unstable();
    times
}

/// A scheduler that starts training requests whenever they fit into the window. Batches of training starts protect
/// live requests, so training reaches its maximum throughput without them.
fn without_training_batches() -> Box<dyn Router> {
    Box::new(Scheduler::new(SchedulerOptions {
        training_batch_tokens: 0,
        ..SchedulerOptions::default()
    }))
}

/// Measures waits of live requests with and without training, and the throughput that training retains. The largest
/// engine count is the number of engines that one daemon owns at the target size.
pub fn live_service(seed: u64, size: Size) -> Vec<Row> {
    let seconds = size.select(25, 300);
    let counts: &[usize] = match size {
        Size::Small => &[10],
        Size::Full => &[4, 10, 34],
    };
    counts
        .iter()
        .flat_map(|engines| {
            rows(Case {
                seed,
                engines: *engines,
                seconds,
            })
        })
        .collect()
}

fn rows(case: Case) -> Vec<Row> {
    let alone = run(case, true, false, ours);
    let shared = run(case, true, true, ours);
    let shared_naive = run(case, true, true, naive);
    let capacity = run(case, false, true, without_training_batches).training_tokens;
    let training_share = |run: &Run| run.training_tokens / (capacity - run.live_tokens);
    let row = |measure: &str, naive: f64, ours: f64, bound| Row {
        group: "live service",
        measure: format!("{} engines: {measure}", case.engines),
        naive: Some(naive),
        ours,
        bound,
    };
    let (naive_wait, our_wait) = (shared_naive.wait_us, shared.wait_us);
    vec![
        row(
            "p99 wait until first token / the same without training",
            naive_wait / alone.wait_us,
            our_wait / alone.wait_us,
            Bound::AtMost(1.2),
        ),
        row(
            "p99 wait until first token, ms",
            naive_wait / 1e3,
            our_wait / 1e3,
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
            training_share(&shared_naive),
            training_share(&shared),
            Bound::AtLeast(0.95),
        ),
    ]
}
