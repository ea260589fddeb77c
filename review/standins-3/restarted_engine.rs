//! Engines of two software versions serve side by side. One engine ends and starts again at once under its id, with the other
//! version, and its clients take their streams up again. No stream may hold events of both versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{EVENT_TOKENS, Pace},
    fleet::{Fleet, HOST_NAME, KEY, Record},
    http::{read_head, request_bytes},
    wire::wire,
};

const PACE: Pace = Pace { slots: 16, queued: 8, event_ms: 40, event_bytes: 360, text: "y" };
/// Engines; three run the first version, four the other. One of seven ends, a share below the .15 that the bench names.
const ENGINES: usize = 7;
const STREAMS: usize = 105;
const EVENTS: u64 = 120;
/// Time that all hosts need to read an entry of an engine.
const ENTRIES_READ: Duration = Duration::from_secs(3);
/// Time from the first stream to the end of the engine's process.
const CRASH_AFTER: Duration = Duration::from_secs(2);
/// Time in which a supervisor starts the process again.
const DOWN: Duration = Duration::from_millis(100);
/// Pause of a client before it takes its stream up again.
const CLIENT_PAUSE: Duration = Duration::from_millis(300);
const CLIENT_DEADLINE: Duration = Duration::from_millis(9_500);
const CLIENT_ATTEMPTS: usize = 4;
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

/// What one client received.
struct Received {
    id: String,
    /// Version that made each event.
    events: BTreeMap<u64, String>,
    attempts: usize,
}

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, 3, ENGINES, PACE)?;
    let record = &fleet.record;
    for engine in &fleet.engines[ENGINES / 2..] {
        engine.crash();
        engine.restart("v2");
    }
    thread::sleep(ENTRIES_READ);
    let addresses: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let received: Vec<Received> = thread::scope(|scope| {
        let addresses = &addresses;
        let start = |index| scope.spawn(move || stream(index, addresses));
        let clients: Vec<_> = (0..STREAMS).map(start).collect();
        thread::sleep(CRASH_AFTER);
        if has_trouble {
            let engine = &fleet.engines[0];
            record.line(format!("{} ends after {} streams began there", engine.id, engine.runs().len()));
            engine.crash();
            thread::sleep(DOWN);
            engine.restart("v2");
            record.line(format!("{} starts again with software v2 and writes its entry", engine.id));
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    });
    for engine in &fleet.engines {
        for run in engine.runs().iter().filter(|run| run.after_event > 0) {
            let (id, resumes) = (&run.id, run.resumes.as_deref().unwrap_or("none"));
            record.line(format!(
                "{} with software {} goes on with {id} (of {resumes}) after event {}",
                engine.id, run.software, run.after_event
            ));
        }
    }
    let mut mixed = 0;
    for stream in &received {
        let versions: BTreeSet<&String> = stream.events.values().collect();
        if versions.len() > 1 {
            mixed += 1;
            record.line(format!("stream {} holds events of {versions:?}", stream.id));
        }
    }
    let complete = received.iter().filter(|stream| stream.events.len() as u64 == EVENTS).count();
    let resumed = received.iter().filter(|stream| stream.attempts > 1).count();
    record.line(format!("{STREAMS} streams, {complete} complete, {resumed} taken up again, {mixed} of two versions"));
    if has_trouble && resumed < 2 * ALLOWED {
        return Ok(Verdict::NotRun("too few streams were on the engine that ended".to_owned()));
    }
    if mixed > ALLOWED {
        record.line(format!("BROKEN: more than {ALLOWED} streams hold events of two software versions"));
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

/// Requests a stream, and takes it up again at the next host when it breaks off.
fn stream(index: usize, hosts: &[SocketAddr]) -> Received {
    let mut received = Received { id: format!("a51c{index:012x}"), events: BTreeMap::new(), attempts: 0 };
    let mut first = None;
    let begun = Instant::now();
    while received.attempts < CLIENT_ATTEMPTS && begun.elapsed() < CLIENT_DEADLINE {
        let id = format!("{}{}", received.id, received.attempts);
        let host = hosts[(index + received.attempts) % hosts.len()];
        received.attempts += 1;
        let left = CLIENT_DEADLINE.saturating_sub(begun.elapsed());
        let before = received.events.len();
        attempt(host, &id, first.as_deref(), left, &mut received.events);
        if received.events.len() as u64 == EVENTS {
            break;
        }
        if before == 0 && !received.events.is_empty() {
            first = Some(id);
        }
        thread::sleep(CLIENT_PAUSE);
    }
    received
}

/// One attempt of a client. Adds the events that arrive to `events`.
fn attempt(
    host: SocketAddr,
    id: &str,
    first: Option<&str>,
    left: Duration,
    events: &mut BTreeMap<u64, String>,
) -> Option<()> {
    let (deadline, last) = (left.as_millis().to_string(), events.len().to_string());
    let tokens = format!("271,{}", EVENTS * EVENT_TOKENS);
    let mut headers = vec![
        ("Host", HOST_NAME),
        ("Authorization", KEY),
        (wire("request_id"), id),
        ("Deadline-Ms", &deadline),
        ("Model", "m0"),
        ("Token-Count", &tokens),
    ];
    if let Some(first) = first {
        headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first)]);
    }
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(&request_bytes("POST", &format!("/lohu930/{id}"), &headers, b"q")).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, _) = read_head(&mut reader)?;
    if line.split(' ').nth(1) != Some("200") {
        return None;
    }
    let mut number = 0;
    loop {
        let mut line = String::new();
        if std::io::BufRead::read_line(&mut reader, &mut line).ok()? == 0 {
            return None;
        }
        if let Some(text) = line.strip_prefix("id: ") {
            number = text.trim().parse().ok()?;
        }
        if let Some(data) = line.strip_prefix("data: ") {
            events.insert(number, data.split(' ').next()?.to_owned());
            if number == EVENTS {
                return Some(());
            }
        }
    }
}
