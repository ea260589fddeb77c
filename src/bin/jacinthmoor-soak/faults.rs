//! Injects faults that a seeded random number generator chooses.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use jm_config::KeySecret;
use jm_types::DurationMs;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use crate::{
    fleet::{Fleet, HOSTS, SPARE_KEY},
    run_record::RunRecord,
};

/// Range of the pause between two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..2_500;

/// Range of the duration of a fault, in milliseconds. Failure detection takes 4 s.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..8_000;

/// Added response time of a slow platform.
const SLOW_RESPONSE_MS: DurationMs = DurationMs::new(300);

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Freeze,
    PlatformDown,
    PlatformSlow,
    LostAnswers,
    EngineCrash,
    KeyWithdrawal,
    ConfigChange,
}

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::LostAnswers,
    Fault::EngineCrash,
    Fault::KeyWithdrawal,
    Fault::ConfigChange,
];

/// Injects random faults for `duration`, one after another, each with a random duration. Platform faults run in the
/// background, so that they overlap with the next fault.
pub(crate) async fn run(fleet: &Arc<Fleet>, record: &Arc<RunRecord>, seed: u64, duration: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < end {
        task::sleep(Duration::from_millis(random.random_range(FAULT_INTERVAL_MS))).await;
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let host = random.random_range(0..HOSTS);
        let fault_duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        number += 1;
        record.count(&format!("fault {fault:?}"));
        inject(fleet, fault, host, fault_duration, number).await;
    }
    clear_platform_faults(fleet);
}

async fn inject(fleet: &Arc<Fleet>, fault: Fault, host: usize, fault_duration: Duration, number: u64) {
    match fault {
        Fault::Kill => {
            fleet.hosts[host].kill();
            task::sleep(fault_duration).await;
            if let Err(error) = fleet.hosts[host].start() {
                eprintln!("cannot restart host {host}: {error}");
            }
        }
        Fault::Freeze => {
            fleet.hosts[host].signal("STOP");
            task::sleep(fault_duration).await;
            fleet.hosts[host].signal("CONT");
        }
        Fault::PlatformDown => inject_temporarily(fleet, fault_duration, |fleet| {
            fleet.platform.set_faults(|faults| faults.down = true);
        }),
        Fault::PlatformSlow => inject_temporarily(fleet, fault_duration, |fleet| {
            fleet
                .platform
                .set_faults(|faults| faults.delay_ms = SLOW_RESPONSE_MS);
        }),
        Fault::LostAnswers => inject_temporarily(fleet, fault_duration, |fleet| {
            fleet.platform.set_faults(|faults| faults.lose_every = 2);
        }),
        Fault::EngineCrash => {
            let engine = &fleet.engines[host % fleet.engines.len()];
            engine.crash().await;
            task::sleep(fault_duration / 4).await;
            if let Err(error) = engine.restart().await {
                eprintln!("cannot restart engine {host}: {error}");
            }
        }
        Fault::KeyWithdrawal => {
            change(
                fleet,
                host,
                &format!("withdraw-{number}"),
                "key spare",
                &Value::Null,
            )
            .await;
            task::sleep(fault_duration / 4).await;
            let hash = KeySecret::from_text(SPARE_KEY).hash();
            let body = json!(format!("organisation = parish\nsha256 = {hash}"));
            change(fleet, host, &format!("grant-{number}"), "key spare", &body).await;
        }
        Fault::ConfigChange => {
            let weight = number % 5 + 1;
            let body =
                format!("service = drafts\norganisation = parish\nweight = {weight}\nmax_queued = 256");
            change(
                fleet,
                host,
                &format!("share-{number}"),
                "sharing parish-drafts",
                &json!(body),
            )
            .await;
        }
    }
}

/// Starts a platform fault and clears it in the background after `fault_duration`.
fn inject_temporarily(fleet: &Arc<Fleet>, fault_duration: Duration, start: impl FnOnce(&Fleet)) {
    start(fleet);
    let fleet = Arc::clone(fleet);
    task::spawn(async move {
        task::sleep(fault_duration).await;
        clear_platform_faults(&fleet);
    });
}

fn clear_platform_faults(fleet: &Fleet) {
    fleet.platform.set_faults(|faults| {
        faults.down = false;
        faults.delay_ms = DurationMs::new(0);
        faults.lose_every = 0;
    });
}

/// Changes one section, based on the newest revision that the host has. A change that is refused during a fault is
/// dropped.
async fn change(fleet: &Fleet, host: usize, id: &str, section: &str, body: &Value) {
    let Some(view) = fleet.config(host).await else {
        return;
    };
    let Some(base) = view["revision"].as_u64() else {
        return;
    };
    let mut sections = view["sections"].as_array().into_iter().flatten();
    let current = sections.find(|current| current["name"] == section);
    let expected = current.map(|current| current["revision"].clone());
    let edits = json!([{"section": section, "expected": expected, "body": body}]);
    // A missing answer means that a fault affects the host. The next change reads the document in force again.
    drop(fleet.change(host, id, base, &edits).await);
}
