//! Membership: traffic, CPU time, failure detection, propagation of revisions, churn and network partitions.

use jm_types::Revision;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    fit::Line,
    fleet::{Fleet, HEADER_BYTES},
};

/// Fleet sizes as daemons and zones. The last one is the target size of section 1.6.
pub const SIZES: [(usize, usize); 5] = [(9, 3), (25, 3), (50, 6), (100, 11), (350, 11)];

const WARM_UP_MS: u64 = 8_000;
const STEP_MS: u64 = 100;

/// Traffic and CPU use of one daemon in a fleet without failures or configuration changes.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Bytes sent and received per second, including IPv4 and UDP headers.
    pub bytes_per_s: f64,
    /// Datagrams sent and received per second.
    pub datagrams_per_s: f64,
    /// Share of a CPU core, from 0 to 1.
    pub core: f64,
    /// Share of samples over time and daemons in which peers alone confirmed the daemon as fresh.
    pub fresh: f64,
}

/// Measures an idle fleet for `seconds` of virtual time. `loss` is the probability that a datagram is lost.
pub fn cost(daemons: usize, zones: usize, seconds: u64, loss: f64, seed: u64) -> Cost {
    let mut fleet = Fleet::new(daemons, zones, seed);
    fleet.loss = loss;
    fleet.run(WARM_UP_MS);
    let (before, busy) = (fleet.traffic(), fleet.busy);
    let (mut fresh, mut samples) = (0, 0);
    for _ in 0..seconds * 1_000 / STEP_MS {
        fleet.run(STEP_MS);
        fresh += (0..daemons).filter(|index| fleet.is_fresh(*index)).count();
        samples += daemons;
    }
    let after = fleet.traffic();
    let datagrams =
        after.sent_datagrams + after.received_datagrams - before.sent_datagrams - before.received_datagrams;
    let bytes = after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes;
    let daemon_seconds = (daemons as u64 * seconds) as f64;
    Cost {
        daemons,
        bytes_per_s: (bytes + datagrams * HEADER_BYTES) as f64 / daemon_seconds,
        datagrams_per_s: datagrams as f64 / daemon_seconds,
        core: (fleet.busy - busy).as_secs_f64() / daemon_seconds,
        fresh: f64::from(fresh as u32) / f64::from(samples as u32),
    }
}

/// Prints traffic, CPU use and freshness for each fleet size, and the fitted lines.
pub fn print_cost(seconds: u64, seed: u64) {
    println!("membership, idle fleet, {seconds} s of virtual time, no store");
    println!("daemons zones loss bytes/s datagrams/s core% fresh%");
    let mut costs = Vec::new();
    for (daemons, zones) in SIZES {
        for loss in [0.0, 0.05] {
            let cost = cost(daemons, zones, seconds, loss, seed);
            println!(
                "{daemons:7} {zones:5} {loss:4} {:7.0} {:11.2} {:5.3} {:6.2}",
                cost.bytes_per_s,
                cost.datagrams_per_s,
                cost.core * 100.0,
                cost.fresh * 100.0
            );
            if loss == 0.0 {
                costs.push(cost);
            }
        }
    }
    print_line("bytes/s by daemons", &costs, |cost| cost.bytes_per_s);
    print_line("datagrams/s by daemons", &costs, |cost| cost.datagrams_per_s);
    print_line("core% by daemons", &costs, |cost| cost.core * 100.0);
}

fn print_line(name: &str, costs: &[Cost], measure: fn(&Cost) -> f64) {
    let points: Vec<_> = costs
        .iter()
        .map(|cost| (cost.daemons as f64, measure(cost)))
        .collect();
    if let Some(line) = Line::fit(&points) {
        println!("{name}: {line}");
    }
}

/// Prints the time until the first and until all other daemons detect a suspended member as failed, and the number
/// of false alarms, with and without datagram loss. `only` selects one fleet size; `None` runs all sizes.
pub fn print_detection(seed: u64, only: Option<usize>) {
    println!("detection of a suspended member, and false alarms in 10 min of virtual time");
    println!("daemons loss first_ms all_ms false_alarms");
    let is_selected = |size: &(usize, usize)| only.is_none_or(|only| size.0 == only);
    for (daemons, zones) in SIZES.into_iter().filter(is_selected) {
        for loss in [0.0, 0.05] {
            let (first, all) = detection(daemons, zones, loss, seed);
            // Shorter for the largest fleet, which takes the longest to simulate.
            let minutes = if daemons > 100 { 2 } else { 10 };
            let alarms = false_alarms(daemons, zones, loss, minutes, seed);
            println!("{daemons:7} {loss:4} {first:8} {all:6} {alarms:5} in {minutes} min");
        }
    }
}

fn detection(daemons: usize, zones: usize, loss: f64, seed: u64) -> (u64, String) {
    const LIMIT_MS: u64 = 60_000;
    let mut fleet = Fleet::new(daemons, zones, seed);
    fleet.loss = loss;
    fleet.run(WARM_UP_MS);
    let suspended = daemons / 2;
    fleet.suspend(suspended, LIMIT_MS * 2);
    let start_ms = fleet.now_ms;
    fleet.run(LIMIT_MS);
    let observed: Vec<_> = fleet
        .failures
        .iter()
        .filter(|failure| fleet.index_of(&failure.member) == Some(suspended))
        .collect();
    let times = || observed.iter().map(|failure| failure.at_ms - start_ms);
    let observers: std::collections::HashSet<_> = observed.iter().map(|failure| failure.observer).collect();
    let all = match times().max() {
        Some(last) if observers.len() == daemons - 1 => last.to_string(),
        _ => format!("{} of {}", observers.len(), daemons - 1),
    };
    (times().min().unwrap_or(LIMIT_MS), all)
}

fn false_alarms(daemons: usize, zones: usize, loss: f64, minutes: u64, seed: u64) -> usize {
    let mut fleet = Fleet::new(daemons, zones, seed);
    fleet.loss = loss;
    fleet.run(minutes * 60_000);
    fleet.failures.len()
}

/// Prints the time until every daemon has received a new revision, and the time until its author observes that a
/// majority has applied it. Daemons apply a received revision within 100 ms.
pub fn print_spread(seed: u64) {
    println!("propagation of revisions; each daemon applies a revision within 100 ms of receiving it");
    println!("daemons changes/s recvd_p99_ms recvd_max_ms in_force_p99_ms in_force_max_ms fresh% bytes/s");
    for (daemons, zones) in SIZES {
        for rate in [0.55, 10.0] {
            print_spread_row(daemons, zones, rate, seed);
        }
    }
}

/// A revision that some daemons have not received yet or whose author has not observed a majority.
struct PendingRevision {
    revision: u64,
    author: usize,
    accepted_ms: u64,
    received_by_all: bool,
    in_force: bool,
}

fn print_spread_row(daemons: usize, zones: usize, rate: f64, seed: u64) {
    let burst = rate > 1.0;
    let seconds = if daemons > 100 { 40 } else { 60 };
    let mut fleet = Fleet::new(daemons, zones, seed);
    let mut random = StdRng::seed_from_u64(seed);
    fleet.run(WARM_UP_MS);
    let before = fleet.traffic();
    let (mut received, mut in_force) = (Vec::new(), Vec::new());
    let mut open: Vec<PendingRevision> = Vec::new();
    let (mut next, mut fresh) = (1, 0_usize);
    let steps = seconds * 1_000 / STEP_MS;
    for step in 0..steps {
        // Bursts last 2 s and repeat every 20 s.
        let is_accepting = (!burst || step % 200 < 20) && step + 150 < steps;
        if is_accepting && random.random_bool((rate * STEP_MS as f64 / 1e3).min(1.0)) {
            let author = random.random_range(0..daemons);
            fleet.detector(author).set_accepted(Revision::new(next));
            open.push(PendingRevision {
                revision: next,
                author,
                accepted_ms: fleet.now_ms,
                received_by_all: false,
                in_force: false,
            });
            next += 1;
        }
        fleet.run(STEP_MS);
        for index in 0..daemons {
            let detector = fleet.detector(index);
            let accepted = detector.accepted();
            detector.set_applied(accepted);
            fresh += usize::from(fleet.is_fresh(index));
        }
        record_progress(&mut fleet, &mut open, &mut received, &mut in_force);
    }
    let traffic = fleet.traffic();
    let datagrams = traffic.sent_datagrams + traffic.received_datagrams
        - before.sent_datagrams
        - before.received_datagrams;
    let bytes = traffic.sent_bytes + traffic.received_bytes - before.sent_bytes - before.received_bytes;
    println!(
        "{daemons:7} {rate:9} {:12} {:12} {:15} {:15} {:6.2} {:7.0} ({} revisions, {} open)",
        percentile(&mut received, 0.99),
        percentile(&mut received, 1.0),
        percentile(&mut in_force, 0.99),
        percentile(&mut in_force, 1.0),
        100.0 * fresh as f64 / (steps as usize * daemons) as f64,
        (bytes + datagrams * HEADER_BYTES) as f64 / (daemons as u64 * seconds) as f64,
        next - 1,
        open.len(),
    );
}

fn record_progress(
    fleet: &mut Fleet,
    open: &mut Vec<PendingRevision>,
    received: &mut Vec<u64>,
    in_force: &mut Vec<u64>,
) {
    let now = fleet.now_ms;
    let count = fleet.count();
    for pending in open.iter_mut() {
        let revision = Revision::new(pending.revision);
        let age = now - pending.accepted_ms;
        if !pending.received_by_all
            && (0..count).all(|index| fleet.detector(index).freshness().applied() >= revision)
        {
            pending.received_by_all = true;
            received.push(age);
        }
        if !pending.in_force && fleet.detector(pending.author).is_applied_by_majority(revision) {
            pending.in_force = true;
            in_force.push(age);
        }
    }
    open.retain(|pending| !pending.received_by_all || !pending.in_force);
}

fn percentile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len() as f64 * share).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0)
}

/// Prints traffic and observed failures when the daily number of restarts at the target size happens within 1 min.
pub fn print_churn(seed: u64) {
    const RESTARTS: usize = 4_100;
    println!(
        "{RESTARTS} restarts of 350 daemons within 60 s of virtual time, registrations reach all daemons at once"
    );
    let mut fleet = Fleet::new(350, 11, seed);
    let mut random = StdRng::seed_from_u64(seed);
    fleet.run(WARM_UP_MS);
    let before = fleet.traffic();
    for _ in 0..600 {
        for _ in 0..RESTARTS / 600 + usize::from(random.random_bool(RESTARTS as f64 / 600.0 % 1.0)) {
            fleet.restart(random.random_range(0..350));
        }
        fleet.run(STEP_MS);
    }
    let after = fleet.traffic();
    let datagrams =
        after.sent_datagrams + after.received_datagrams - before.sent_datagrams - before.received_datagrams;
    let bytes = after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes;
    let bytes = (bytes + datagrams * HEADER_BYTES) as f64 / (350.0 * 60.0);
    let alarms = fleet.failures.len();
    let start_ms = fleet.now_ms;
    while !fleet.all_observed_alive() && fleet.now_ms < start_ms + 120_000 {
        fleet.run(STEP_MS);
    }
    println!(
        "bytes/s per daemon {bytes:.0}, observed failures {alarms}, all alive again after {} ms",
        fleet.now_ms - start_ms
    );
}

/// Prints the time until daemons in the partition without a majority are no longer fresh, and the time until all
/// views agree after the partition has healed.
pub fn print_regions(seed: u64) {
    println!("network partition of one region (3 of 11 zones) for 3 min, without a store");
    println!("daemons region_stale_after_ms others_fresh% failures_seen agree_after_ms");
    for (daemons, zones) in [(100, 11), (350, 11)] {
        let mut fleet = Fleet::new(daemons, zones, seed);
        fleet.run(WARM_UP_MS);
        fleet.connected = false;
        let start_ms = fleet.now_ms;
        let isolated: Vec<_> = (0..daemons).filter(|index| index % zones < 3).collect();
        let (mut last_fresh_ms, mut others_fresh) = (start_ms, 0);
        for _ in 0..1_800 {
            fleet.run(STEP_MS);
            if isolated.iter().any(|index| fleet.is_fresh(*index)) {
                last_fresh_ms = fleet.now_ms;
            }
            others_fresh += (0..daemons)
                .filter(|index| index % zones >= 3 && fleet.is_fresh(*index))
                .count();
        }
        let other_count = daemons - isolated.len();
        let failures = fleet.failures.len();
        fleet.connected = true;
        let healed_ms = fleet.now_ms;
        while !fleet.all_observed_alive() && fleet.now_ms < healed_ms + 600_000 {
            fleet.run(STEP_MS);
        }
        println!(
            "{daemons:7} {:21} {:13.2} {failures:13} {:14}",
            last_fresh_ms - start_ms,
            100.0 * others_fresh as f64 / (other_count * 1_800) as f64,
            fleet.now_ms - healed_ms
        );
    }
}
