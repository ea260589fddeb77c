//! Many clients ask for the results of a batch at once and do not read the answers. The memory of the host that runs the batch
//! has to stay within that of its machine.

use std::{
    io::{self, Write},
    net::TcpStream,
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    engine::Pace,
    fleet::{Fleet, HOST_NAME, Host, KEY, MEMORY_MB, Record, batch},
    http::request_bytes,
    wire::wire,
};

const BATCH: &str = "91c4d07be2a35f68";
/// One step of the larger trainer on the sheet, with its mean text: 13 groups of 8 items, 28 events of 360 bytes.
const ITEMS: usize = 104;
const GROUP: usize = 8;
const EVENTS: u64 = 28;
const PACE: Pace = Pace { slots: 16, event_ms: 40, event_bytes: 360, text: "y" };
/// Clients that read the results at the same moment.
const CLIENTS: usize = 400;
/// Time for which the clients keep their connections.
const WATCH: Duration = Duration::from_secs(4);

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, 3, 9, PACE)?;
    let record = &fleet.record;
    let status = fleet.hosts[0].submit(BATCH, &batch(BATCH, ITEMS, GROUP, |_| EVENTS));
    let Some(runner) = fleet.runner_of(BATCH).filter(|_| status == Some(202)) else {
        return Ok(Verdict::NotRun("the batch was not accepted".to_owned()));
    };
    let host = &fleet.hosts[runner];
    let mut read = 0;
    while read < ITEMS {
        match host.read(BATCH, read, 1_000) {
            Some((200, results)) => read += results.len(),
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    record.line(format!("{} runs the batch; {read} results were read", host.id));
    record.line(format!("highest memory of {}: {:?} MB of {MEMORY_MB} MB", host.id, host.peak_memory_mb()));
    match has_trouble {
        true => read_at_once(host, record)?,
        false => read_in_turn(host, record),
    }
    let mut is_broken = false;
    for host in &fleet.hosts {
        let peak = host.peak_memory_mb();
        let is_over = peak.is_none_or(|peak| peak > MEMORY_MB);
        let mark = if is_over { "BROKEN: " } else { "" };
        record.line(format!("{mark}highest memory of {}: {peak:?} MB of {MEMORY_MB} MB", host.id));
        is_broken |= is_over;
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn read_at_once(host: &Host, record: &Record) -> io::Result<()> {
    let path = format!("{}{BATCH}?after=0", wire("results_path"));
    let request = request_bytes("GET", &path, &[("Host", HOST_NAME), ("Authorization", KEY)], b"");
    let mut open = Vec::new();
    for _ in 0..CLIENTS {
        let mut stream = TcpStream::connect(host.callers)?;
        stream.write_all(&request)?;
        open.push(stream);
    }
    record.line(format!("{CLIENTS} clients asked {} for the results and read nothing", host.id));
    thread::sleep(WATCH);
    drop(open);
    record.line("the clients closed their connections");
    Ok(())
}

fn read_in_turn(host: &Host, record: &Record) {
    let whole = (0..CLIENTS).filter(|_| matches!(host.read(BATCH, 0, 0), Some((200, results)) if !results.is_empty()));
    record.line(format!("{} of {CLIENTS} clients read the results at {}, one after the other", whole.count(), host.id));
}
