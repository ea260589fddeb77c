//! Live calls while training saturates the engines.

use jm_route::{Class, Scheduler, SchedulerOptions};

use crate::{
    Bound, Row,
    decisions::{Size, naive, ours, percentile},
    sim::{Arrivals, Cluster, ClusterOptions, Router, Source},
};

/// Seconds before the measurement begins.
const WARM_UP_S: u64 = 5;

/// Live requests a second and engine; about a quarter of an engine's capacity.
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
    let live = cluster.completed.iter().filter(|done| done.source == 0);
    let measured = live.filter(|done| done.submitted_ms >= WARM_UP_S * 1_000);
    let mut times: Vec<u64> = measured.map(|done| done.queue_ms).collect();
    times.sort_unstable();
    times
}

/// The scheduler without the batches of training starts that protect live calls: the most that training can get.
fn unbatched() -> Box<dyn Router> {
    Box::new(Scheduler::new(SchedulerOptions {
        training_batch_tokens: 0,
        ..SchedulerOptions::default()
    }))
}

/// Waits of live calls with and without training, and what training keeps, for a few engines and for as many as
/// an owner has at the target size.
pub fn live_service(seed: u64, size: Size) -> Vec<Row> {
    let seconds = size.seconds(25, 300);
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
    let capacity = run(case, false, true, unbatched).training_tokens;
    let kept = |run: &Run| run.training_tokens / (capacity - run.live_tokens);
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
            kept(&shared_naive),
            kept(&shared),
            Bound::AtLeast(0.95),
        ),
    ]
}
