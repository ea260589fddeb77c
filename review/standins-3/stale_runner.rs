//! The host that runs a batch freezes while most items wait. Another host runs the batch to its end, and the client ends it. The
//! frozen host wakes while the engines are busy. When they are free again, no engine may get an item of the ended batch.

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
    fleet::{Fleet, Host, Record, STABLE, batch},
};

const BATCH: &str = "4d6fa0c2b18e7395";
const NEXT_BATCH: &str = "8a13e5f7c94b20d6";
/// One of them freezes: the share of .1 that the bench names.
const HOSTS: usize = 10;
const ITEMS: usize = 400;
const GROUP: usize = 4;
const EVENTS: u64 = 8;
const PACE: Pace = Pace { slots: 16, queued: 0, event_ms: 40, event_bytes: 360, text: "y" };
/// The next batch fills all slots of the engines for more than 6 s.
const NEXT_ITEMS: usize = 160;
const NEXT_EVENTS: u64 = 160;
/// Items that have to wait when the host freezes.
const BEGUN_AT_FREEZE: usize = 20;
/// Time after the beginning of the freeze at which the host wakes, within the 5 s that the bench names for a freeze.
const WAKE_AT: Duration = Duration::from_millis(4_850);
/// Time before that at which the client ends the batch and submits the next one.
const END_BEFORE_WAKE: Duration = Duration::from_millis(150);
/// `cancel_ms` of the sheet.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Time after the wake until which the engines are watched.
const WATCH: Duration = Duration::from_secs(14);

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, HOSTS, 9, PACE)?;
    let record = &fleet.record;
    let status = fleet.hosts[0].submit(BATCH, &batch(BATCH, ITEMS, GROUP, |_| EVENTS));
    record.line(format!("batch {BATCH} of {ITEMS} items is sent: {status:?}"));
    let Some(runner) = fleet.runner_of(BATCH).filter(|_| status == Some(202)) else {
        return Ok(Verdict::NotRun("the batch was not accepted".to_owned()));
    };
    while runs_of(&fleet, BATCH).len() < BEGUN_AT_FREEZE {
        thread::sleep(Duration::from_millis(1));
    }
    let frozen_at = Instant::now();
    let client = &fleet.hosts[(runner + 1) % HOSTS];
    if has_trouble {
        fleet.hosts[runner].signal("STOP");
        record.line(format!("{} runs the batch and freezes; {} items began", fleet.hosts[runner].id, runs_of(&fleet, BATCH).len()));
    }
    let read = read_all(client, frozen_at + WAKE_AT - END_BEFORE_WAKE);
    record.line(format!("{read} of {ITEMS} results were read at {}", client.id));
    thread::sleep((WAKE_AT - END_BEFORE_WAKE).saturating_sub(frozen_at.elapsed()));
    let phase = fleet.stored_state(BATCH).map(|state| state.get("phase").as_text().to_owned());
    let ended = client.end(BATCH);
    let ended_at = Instant::now();
    record.line(format!("the end is asked at {}: {ended:?}; before it the hosts' state said {phase:?}", client.id));
    let next = client.submit(NEXT_BATCH, &batch(NEXT_BATCH, NEXT_ITEMS, GROUP, |_| NEXT_EVENTS));
    record.line(format!("the next batch {NEXT_BATCH} is sent: {next:?}"));
    thread::sleep(WAKE_AT.saturating_sub(frozen_at.elapsed()));
    let woke_at = Instant::now();
    if has_trouble {
        fleet.hosts[runner].signal("CONT");
        record.line(format!("{} wakes after {:.2} s", fleet.hosts[runner].id, frozen_at.elapsed().as_secs_f64()));
    }
    if read < ITEMS || ended != Some(200) || next != Some(202) {
        return Ok(Verdict::NotRun("the batch did not come to its end in time".to_owned()));
    }
    thread::sleep(WATCH);
    // The host that froze is in touch again from then on.
    let judged_from = (ended_at + CANCEL).max(woke_at + STABLE);
    let runs = runs_of(&fleet, BATCH);
    let late: Vec<Instant> = runs.iter().copied().filter(|at| *at > judged_from).collect();
    let since_end = |at: &Instant| at.duration_since(ended_at).as_secs_f64();
    record.line(format!("{} runs of items of {BATCH}, {} of {NEXT_BATCH}", runs.len(), runs_of(&fleet, NEXT_BATCH).len()));
    let after_end = runs.iter().filter(|at| **at > ended_at).count();
    record.line(format!("{after_end} runs of items of {BATCH} began after its end was acknowledged"));
    let (Some(first), Some(last)) = (late.iter().min(), late.iter().max()) else {
        return Ok(Verdict::Held);
    };
    record.line(format!(
        "BROKEN: {} of them began later than {CANCEL:?} after it, {:.1} s to {:.1} s after it, with all hosts in touch",
        late.len(),
        since_end(first),
        since_end(last)
    ));
    Ok(Verdict::Broken)
}

/// When engines began items of a batch.
fn runs_of(fleet: &Fleet, batch: &str) -> Vec<Instant> {
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.id.starts_with(batch)).map(|run| run.at).collect()
}

/// Reads results until all are read or the time is over. Returns their number.
fn read_all(host: &Host, until: Instant) -> usize {
    let mut read = 0;
    while read < ITEMS && Instant::now() < until {
        match host.read(BATCH, read, 200) {
            Some((200, results)) => read += results.len(),
            _ => thread::sleep(Duration::from_millis(50)),
        }
    }
    read
}
