//! The host that runs a batch freezes. Another host runs the batch on, the client reads its results and ends it, and the
//! frozen host wakes. Results that were read have to come again from every host.

use std::{
    io,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::Pace,
    fleet::{Fleet, Record, SETTLE, STABLE, batch},
    json::Json,
};

const BATCH: &str = "7c41e09b52d6a3f8";
/// One of them freezes: the share of .1 that the bench names.
const HOSTS: usize = 10;
const ITEMS: usize = 48;
const GROUP: usize = 4;
const PACE: Pace = Pace { slots: 16, queued: 8, event_ms: 40, event_bytes: 360, text: "y" };
/// Events of the texts of each second group, and of the others.
const SHORT_EVENTS: u64 = 8;
const LONG_EVENTS: u64 = 35;
/// Time after the beginning of the freeze by which the client ends the batch. The host wakes right after the end is
/// acknowledged, within the 5 s that the bench names for a freeze.
const END_AT: Duration = Duration::from_millis(4_500);
const FINAL_READS: usize = 4;

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, HOSTS, 9, PACE)?;
    let record = &fleet.record;
    let events = |index: usize| if index / GROUP % 2 == 0 { SHORT_EVENTS } else { LONG_EVENTS };
    let status = fleet.hosts[0].submit(BATCH, &batch(BATCH, ITEMS, GROUP, events));
    record.line(format!("batch {BATCH} of {ITEMS} items is sent to {}: {status:?}", fleet.hosts[0].id));
    if status != Some(202) {
        return Ok(Verdict::NotRun("the batch was not accepted".to_owned()));
    }
    let Some(runner) = fleet.runner_of(BATCH) else {
        return Ok(Verdict::NotRun("no host runs the batch".to_owned()));
    };
    let client = &fleet.hosts[(runner + 1) % HOSTS];
    let mut read: Vec<Json> = Vec::new();
    while read.is_empty() {
        read_on(client, &mut read, 50);
    }
    record.line(format!("{} results were read at {}; {} runs the batch", read.len(), client.id, fleet.hosts[runner].id));
    let frozen_at = Instant::now();
    if has_trouble {
        fleet.hosts[runner].signal("STOP");
        record.line(format!("{} freezes", fleet.hosts[runner].id));
    }
    let before = read.len();
    while read.len() < ITEMS && frozen_at.elapsed() < END_AT {
        read_on(client, &mut read, 300);
    }
    record.line(format!("{} results were read at {}", read.len(), client.id));
    let ended = client.end(BATCH);
    record.line(format!("the end is asked at {}: {ended:?}", client.id));
    if has_trouble {
        fleet.hosts[runner].signal("CONT");
        record.line(format!("{} wakes after {:.2} s", fleet.hosts[runner].id, frozen_at.elapsed().as_secs_f64()));
    }
    if ended != Some(200) || read.len() == before {
        return Ok(Verdict::NotRun("the batch made no progress or was not ended".to_owned()));
    }
    // From here on all hosts are in touch, and all results were read more than the settling time ago.
    thread::sleep(STABLE + SETTLE);
    let mut is_broken = false;
    for _ in 0..FINAL_READS {
        for host in &fleet.hosts {
            is_broken |= lacks_results(host, &read, record);
        }
        thread::sleep(Duration::from_secs(1));
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn read_on(host: &crate::fleet::Host, read: &mut Vec<Json>, wait_ms: u64) {
    match host.read(BATCH, read.len(), wait_ms) {
        Some((200, results)) => read.extend(results),
        _ => thread::sleep(Duration::from_millis(50)),
    }
}

/// Reads the batch from the start, as a client does. Returns whether a result that was read is missing or differs.
fn lacks_results(host: &crate::fleet::Host, read: &[Json], record: &Record) -> bool {
    let mut again: Vec<Json> = Vec::new();
    while again.len() < read.len() {
        match host.read(BATCH, again.len(), 0) {
            Some((200, results)) if !results.is_empty() => again.extend(results),
            // Not an answer that denies a result.
            Some((503, _)) | None => {
                record.line(format!("{} could not be asked", host.id));
                return false;
            }
            Some((status, _)) => {
                record.line(format!(
                    "BROKEN: {} results had been read, and {} answers {status} with nothing at position {}",
                    read.len(),
                    host.id,
                    again.len()
                ));
                return true;
            }
        }
    }
    let is_same = again[..read.len()] == *read;
    record.line(format!("{} gives the {} results again, the same: {is_same}", host.id, read.len()));
    !is_same
}
