//! Random faults with a seed.

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
    ledger::Ledger,
};

/// Pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_500;

/// How long a fault lasts, in milliseconds; failure detection takes 4 s.
const LENGTH_MS: std::ops::Range<u64> = 100..8_000;

/// Answer time of a slow platform.
const SLOW_MS: DurationMs = DurationMs::new(300);

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

/// Brings faults about for a time, one after another, each with a random length. Platform faults last into the next
/// fault, so that two come together.
pub(crate) async fn run(fleet: &Arc<Fleet>, ledger: &Arc<Ledger>, seed: u64, duration: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < end {
        task::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let place = random.random_range(0..HOSTS);
        let length = Duration::from_millis(random.random_range(LENGTH_MS));
        number += 1;
        ledger.count(&format!("fault {fault:?}"));
        bring_about(fleet, fault, place, length, number).await;
    }
    heal_platform(fleet);
}

async fn bring_about(fleet: &Arc<Fleet>, fault: Fault, place: usize, length: Duration, number: u64) {
    match fault {
        Fault::Kill => {
            fleet.hosts[place].kill();
            task::sleep(length).await;
            if let Err(error) = fleet.hosts[place].start() {
                eprintln!("host {place} does not start again: {error}");
            }
        }
        Fault::Freeze => {
            fleet.hosts[place].signal("STOP");
            task::sleep(length).await;
            fleet.hosts[place].signal("CONT");
        }
        Fault::PlatformDown => for_a_time(fleet, length, |fleet| {
            fleet.platform.set_faults(|faults| faults.down = true);
        }),
        Fault::PlatformSlow => for_a_time(fleet, length, |fleet| {
            fleet.platform.set_faults(|faults| faults.delay_ms = SLOW_MS);
        }),
        Fault::LostAnswers => for_a_time(fleet, length, |fleet| {
            fleet.platform.set_faults(|faults| faults.lose_every = 2);
        }),
        Fault::EngineCrash => {
            let engine = &fleet.engines[place % fleet.engines.len()];
            engine.crash().await;
            task::sleep(length / 4).await;
            if let Err(error) = engine.restart().await {
                eprintln!("engine {place} does not start again: {error}");
            }
        }
        Fault::KeyWithdrawal => {
            change(
                fleet,
                place,
                &format!("withdraw-{number}"),
                "key spare",
                &Value::Null,
            )
            .await;
            task::sleep(length / 4).await;
            let hash = KeySecret::from_text(SPARE_KEY).hash();
            let body = json!(format!("organisation = parish\nsha256 = {hash}"));
            change(fleet, place, &format!("grant-{number}"), "key spare", &body).await;
        }
        Fault::ConfigChange => {
            let weight = number % 5 + 1;
            let body =
                format!("service = drafts\norganisation = parish\nweight = {weight}\nmax_queued = 256");
            change(
                fleet,
                place,
                &format!("share-{number}"),
                "sharing parish-drafts",
                &json!(body),
            )
            .await;
        }
    }
}

/// Starts a platform fault that is healed after a time.
fn for_a_time(fleet: &Arc<Fleet>, length: Duration, start: impl FnOnce(&Fleet)) {
    start(fleet);
    let fleet = Arc::clone(fleet);
    task::spawn(async move {
        task::sleep(length).await;
        heal_platform(&fleet);
    });
}

fn heal_platform(fleet: &Fleet) {
    fleet.platform.set_faults(|faults| {
        faults.down = false;
        faults.delay_ms = DurationMs::new(0);
        faults.lose_every = 0;
    });
}

/// Changes one section on the newest revision that the host knows. A refusal during a fault changes nothing.
async fn change(fleet: &Fleet, host: usize, id: &str, section: &str, body: &Value) {
    let Some(view) = fleet.config(host).await else {
        return;
    };
    let Some(base) = view["revision"].as_u64() else {
        return;
    };
    let mut sections = view["sections"].as_array().into_iter().flatten();
    let known = sections.find(|known| known["name"] == section);
    let expected = known.map(|known| known["revision"].clone());
    let edits = json!([{"section": section, "expected": expected, "body": body}]);
    // No answer means that the host is in a fault; the next change starts from what is in force then.
    drop(fleet.change(host, id, base, &edits).await);
}
