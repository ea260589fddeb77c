//! Clients submit many batches of permitted size at once. What a host keeps of accepted batches has to stay within the memory
//! of its machine; a batch that does not fit may be refused.

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
    fleet::{Fleet, MEMORY_MB, Record, batch},
};

/// Batches of the crowd, and their items. Each body has about 1 MB of the 33.5 MB that the configuration allows.
const CROWD: usize = 20;
const CROWD_ITEMS: usize = 1_000;
/// A step of the larger trainer on the sheet, which comes every 4 s.
const STEP_ITEMS: usize = 104;
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const GROUP: usize = 8;
/// The mean text of the sheet: 28 events, at the time that an engine takes for them.
const EVENTS: u64 = 28;
const PACE: Pace = Pace { slots: 16, event_ms: 40, event_bytes: 360, text: "y" };
const WATCH: Duration = Duration::from_secs(80);
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, 3, 9, PACE)?;
    let accepted = match has_trouble {
        true => submit_at_once(&fleet),
        false => 0,
    };
    if has_trouble && accepted == 0 {
        return Ok(Verdict::NotRun("no batch was accepted".to_owned()));
    }
    let begun = Instant::now();
    let mut step = 0;
    while begun.elapsed() < WATCH {
        thread::sleep(WATCH_INTERVAL);
        if !has_trouble && begun.elapsed() >= STEP_INTERVAL * step {
            step += 1;
            run_step(&fleet, step);
        }
        if is_over_memory(&fleet) {
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}

/// Submits all batches of the crowd at the same moment. Returns how many were accepted.
fn submit_at_once(fleet: &Fleet) -> usize {
    let statuses: Vec<Option<u16>> = thread::scope(|scope| {
        let submit = |index: usize| {
            let id = format!("3e1b07d5a2c9{index:04x}");
            scope.spawn(move || {
                let body = batch(&id, CROWD_ITEMS, GROUP, |_| EVENTS);
                fleet.hosts[index % fleet.hosts.len()].submit(&id, &body)
            })
        };
        let submitted: Vec<_> = (0..CROWD).map(submit).collect();
        submitted.into_iter().map(|thread| thread.join().unwrap_or(None)).collect()
    });
    fleet.record.line(format!("{CROWD} batches of {CROWD_ITEMS} items are sent at once: {statuses:?}"));
    statuses.into_iter().filter(|status| *status == Some(202)).count()
}

/// Runs one step of a trainer: submits it, reads all results and ends it.
fn run_step(fleet: &Fleet, step: u32) {
    let id = format!("5d07b82ac1f6{step:04x}");
    let host = &fleet.hosts[step as usize % fleet.hosts.len()];
    let status = host.submit(&id, &batch(&id, STEP_ITEMS, GROUP, |_| EVENTS));
    let (begun, mut read) = (Instant::now(), 0);
    while read < STEP_ITEMS && begun.elapsed() < Duration::from_secs(12) {
        match host.read(&id, read, 1_000) {
            Some((200, results)) => read += results.len(),
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    let ended = host.end(&id);
    fleet.record.line(format!("step {step}: {status:?}, {read} results read, end {ended:?}"));
}

fn is_over_memory(fleet: &Fleet) -> bool {
    let peaks: Vec<Option<u64>> = fleet.hosts.iter().map(|host| host.peak_memory_mb()).collect();
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
    let is_over = peaks.iter().any(|peak| peak.is_none_or(|peak| peak > MEMORY_MB));
    let mark = if is_over { "BROKEN: " } else { "" };
    fleet.record.line(format!("{mark}highest memory of the hosts: {peaks:?} MB of {MEMORY_MB} MB; {runs} items began"));
    is_over
}
