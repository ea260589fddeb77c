//! Peak membership traffic: load summaries at their full rate, and the simultaneous restart of a region.

use jm_member::{LoadSummary, Traffic};
use jm_types::Timestamp;

use super::fleet::{Fleet, HEADER_BYTES};

const WARM_UP_MS: u64 = 8_000;
const STEP_MS: u64 = 100;
const ZONES: usize = 11;

/// Bytes sent and received between two readings of the traffic counters, including IPv4 and UDP headers.
fn bytes(before: Traffic, after: Traffic) -> u64 {
    let datagrams =
        after.sent_datagrams + after.received_datagrams - before.sent_datagrams - before.received_datagrams;
    let bytes = after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes;
    bytes + datagrams * HEADER_BYTES
}

/// Prints the traffic with load summaries and the age of the newest summaries that daemons hold.
pub fn print_summaries(seed: u64) {
    const DATA_BYTES: usize = 40;
    const SECONDS: u64 = 60;
    println!("load summaries of {DATA_BYTES} bytes, one per zone and model, published every interval");
    println!("daemons models interval_s bytes/s age_p50_ms age_p99_ms missing");
    for (daemons, models, interval_s) in [
        (100, 1, 15),
        (100, 2, 30),
        (350, 1, 5),
        (350, 1, 15),
        (350, 2, 30),
    ] {
        let mut fleet = Fleet::new(daemons, ZONES, seed);
        fleet.run(WARM_UP_MS);
        let before = fleet.traffic();
        for second in 0..SECONDS {
            if second.is_multiple_of(interval_s) {
                publish(&mut fleet, models, DATA_BYTES);
            }
            fleet.run(1_000);
        }
        let rate = bytes(before, fleet.traffic()) as f64 / (daemons as u64 * SECONDS) as f64;
        let (mut ages, missing) = ages(&mut fleet, models);
        ages.sort_unstable();
        let at = |share: usize| ages.get(ages.len() * share / 100).copied().unwrap_or(0);
        println!(
            "{daemons:7} {models:6} {interval_s:10} {rate:7.0} {:10} {:10} {missing:7}",
            at(50),
            at(99)
        );
    }
}

fn publish(fleet: &mut Fleet, models: usize, data_bytes: usize) {
    let now = Timestamp::new(fleet.now_ms);
    for zone in 0..ZONES {
        for model in 0..models {
            let summary = LoadSummary {
                zone: format!("zone-{zone}").parse().expect("a valid id"),
                model: format!("model-{model}").parse().expect("a valid id"),
                origin: format!("daemon-{zone:03}").parse().expect("a valid id"),
                version: now.get(),
                data: vec![0; data_bytes],
            };
            fleet.detector(zone).publish_summary(summary, now);
        }
    }
}

/// Ages in milliseconds of the summaries in all daemons, and the number of missing summaries. The version of a
/// summary is the time at which its origin published it.
fn ages(fleet: &mut Fleet, models: usize) -> (Vec<u64>, usize) {
    let now = fleet.now_ms;
    let mut ages = Vec::new();
    for index in 0..fleet.count() {
        let summaries = fleet.detector(index).summaries().iter();
        ages.extend(summaries.map(|(summary, _)| now - summary.version));
    }
    let missing = fleet.count() * ZONES * models - ages.len();
    (ages, missing)
}

/// Prints traffic, freshness and observed failures after all daemons of a region have restarted simultaneously.
pub fn print_restart(seed: u64) {
    println!("all daemons of 3 of {ZONES} zones restart at once, without a store");
    println!("daemons restarted bytes/s_peak bytes/s_before all_fresh_after_ms failures_seen");
    for daemons in [100, 350] {
        let mut fleet = Fleet::new(daemons, ZONES, seed);
        fleet.run(WARM_UP_MS);
        let before = fleet.traffic();
        fleet.run(1_000);
        let baseline = bytes(before, fleet.traffic()) / daemons as u64;
        let region: Vec<_> = (0..daemons).filter(|index| index % ZONES < 3).collect();
        for index in &region {
            fleet.restart(*index);
        }
        let start_ms = fleet.now_ms;
        let (mut peak, mut fresh_after_ms) = (0, None);
        for _ in 0..20 {
            let before = fleet.traffic();
            for _ in 0..1_000 / STEP_MS {
                fleet.run(STEP_MS);
                if fresh_after_ms.is_none() && (0..daemons).all(|index| fleet.is_fresh(index)) {
                    fresh_after_ms = Some(fleet.now_ms - start_ms);
                }
            }
            peak = peak.max(bytes(before, fleet.traffic()) / daemons as u64);
        }
        println!(
            "{daemons:7} {:9} {peak:12} {baseline:14} {:18} {:13}",
            region.len(),
            fresh_after_ms.map_or_else(|| "never".to_owned(), |at| at.to_string()),
            fleet.failures.len()
        );
    }
}
