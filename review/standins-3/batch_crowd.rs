//! Clients submit large batches of permitted size at once, read their results, end them and submit the next ones. What a host
//! keeps of accepted batches has to stay within the memory of its machine; a batch that does not fit may be refused.

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

/// Clients of the crowd, and the items of their batches. Each body has about 1 MB of the 33.5 MB that the configuration allows.
const CROWD: usize = 4;
const CROWD_ITEMS: usize = 1_000;
/// Time after a submission at which a client ends its batch, whatever it has read. Items may be given up after 40 s.
const CLIENT_DEADLINE: Duration = Duration::from_secs(38);
/// A step of the larger trainer on the sheet, which comes every 4 s.
const STEP_ITEMS: usize = 104;
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const GROUP: usize = 8;
/// The mean text of the sheet: 28 events, at the time that an engine takes for them.
const EVENTS: u64 = 28;
const PACE: Pace = Pace { slots: 16, event_ms: 40, event_bytes: 360, text: "y" };
const WATCH: Duration = Duration::from_secs(95);
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Pause of a client between two reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Arc::new(Fleet::start(folder, record, 3, 9, PACE)?);
    // A step of the larger trainer on the sheet, one after the other, or the crowd.
    let (clients, items, interval) = match has_trouble {
        true => (CROWD, CROWD_ITEMS, Duration::ZERO),
        false => (1, STEP_ITEMS, STEP_INTERVAL),
    };
    let begun = Instant::now();
    thread::scope(|scope| {
        for client in 0..clients {
            let fleet = &fleet;
            scope.spawn(move || run_batches(fleet, client, items, interval, begun));
        }
        let mut is_broken = false;
        while begun.elapsed() < WATCH {
            thread::sleep(WATCH_INTERVAL);
            is_broken |= peak_memory_mb(&fleet) > MEMORY_MB;
        }
        fleet.record.line("the end of the time");
        Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
    })
}

/// Runs one batch after the other: submits it, reads all results and ends it.
fn run_batches(fleet: &Fleet, client: usize, items: usize, interval: Duration, begun: Instant) {
    let mut number = 0;
    while begun.elapsed() < WATCH {
        let id = format!("5d07b82ac1{client:02x}{number:04x}");
        let host = &fleet.hosts[(client + number) % fleet.hosts.len()];
        let body = batch(&id, items, GROUP, |_| EVENTS);
        let (sent, status) = (Instant::now(), host.submit(&id, &body));
        let mut read = 0;
        while read < items && status == Some(202) && sent.elapsed() < CLIENT_DEADLINE && begun.elapsed() < WATCH {
            match host.read(&id, read, 1_000) {
                Some((200, results)) => read += results.len(),
                _ => thread::sleep(Duration::from_millis(100)),
            }
            thread::sleep(READ_PAUSE);
        }
        let ended = host.end(&id);
        fleet.record.line(format!(
            "client {client}: batch {id} of {} bytes: {status:?}, {read} of {items} results read, end {ended:?}",
            body.len()
        ));
        thread::sleep(interval.saturating_sub(sent.elapsed()).max(READ_PAUSE));
        number += 1;
    }
}

/// Highest memory of any host so far. A host that has ended counts as one without a bound.
fn peak_memory_mb(fleet: &Fleet) -> u64 {
    let peaks: Vec<u64> = fleet.hosts.iter().map(|host| host.peak_memory_mb().unwrap_or(u64::MAX)).collect();
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
    let highest = peaks.iter().copied().max().unwrap_or(0);
    let mark = if highest > MEMORY_MB { "BROKEN: " } else { "" };
    fleet.record.line(format!("{mark}highest memory of the hosts: {peaks:?} MB of {MEMORY_MB} MB; {runs} items began"));
    highest
}
