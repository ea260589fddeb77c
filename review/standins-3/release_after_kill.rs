//! All hosts are killed while streams of the only software version are open, and are back within a second. Meanwhile a release
//! begins: an engine of a second version is listed beside those that began the streams. Clients that take their streams up again
//! have to get on about as often as new streams begin.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{EVENT_TOKENS, Engine, Pace},
    fleet::{Fleet, HOST_NAME, KEY, Record, STABLE, ZONES},
    http::{read_head, request_bytes},
    wire::wire,
};

const PACE: Pace = Pace { slots: 16, queued: 8, event_ms: 40, event_bytes: 360, text: "y" };
/// Engines of the first version.
const ENGINES: usize = 4;
const STREAMS: usize = 30;
/// Streams last for 6 s.
const EVENTS: u64 = 150;
const KILL_AFTER: Duration = Duration::from_millis(1_500);
/// The hosts are back within a second.
const DOWN: Duration = Duration::from_millis(700);
const CLIENT_DEADLINE: Duration = Duration::from_millis(9_500);
/// Time that the hosts may take longer to be killed and started.
const START_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a new stream is read.
const NEW_STREAM_READ: Duration = Duration::from_millis(1_000);
/// Pause of a client between two attempts.
const CLIENT_PAUSE: Duration = Duration::from_millis(500);
/// Fewest streams that the rule judges.
const JUDGED: usize = 12;

/// What became of one client, while all hosts were in touch.
#[derive(Default)]
struct Client {
    /// Whether the client asked for its stream again at a host in touch.
    has_asked: bool,
    goes_on: bool,
}

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(folder, record, 3, ENGINES, PACE)?;
    let record = Arc::clone(&fleet.record);
    let addresses: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let begun = Instant::now();
    let clients: Vec<thread::JoinHandle<Client>> = (0..STREAMS)
        .map(|index| {
            let (addresses, record) = (addresses.clone(), Arc::clone(&record));
            thread::spawn(move || client(index, &addresses, begun, has_trouble, &record))
        })
        .collect();
    thread::sleep(KILL_AFTER);
    if has_trouble {
        fleet.kill_hosts();
        record.line("all hosts are killed");
        thread::sleep(DOWN / 2);
    }
    let second = Engine::start(&fleet.store, "i-9", ZONES[1], "v2", PACE)?;
    record.line("an engine of software v2 is listed beside the others");
    if has_trouble {
        thread::sleep(DOWN / 2);
        fleet.start_hosts()?;
        record.line("all hosts are started again");
    }
    let in_touch = begun + KILL_AFTER + DOWN + STABLE + START_MARGIN;
    thread::sleep(in_touch.saturating_duration_since(Instant::now()));
    let began = thread::scope(|scope| {
        let addresses = &addresses;
        let start = |index| scope.spawn(move || begins(addresses, index));
        let new: Vec<_> = (0..STREAMS).map(start).collect();
        new.into_iter().filter_map(|stream| stream.join().ok()).filter(|began| *began).count()
    });
    let ended: Vec<Client> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let asked = ended.iter().filter(|client| client.has_asked).count();
    let went_on = ended.iter().filter(|client| client.has_asked && client.goes_on).count();
    let first = fleet.engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
    record.line(format!("runs: {first} at the engines of v1, {} at that of v2", second.runs().len()));
    record.line(format!("{asked} streams were taken up again at hosts in touch, {went_on} of them go on"));
    record.line(format!("{began} of {STREAMS} new streams began at the same time"));
    if has_trouble && asked < JUDGED {
        return Ok(Verdict::NotRun("too few streams were taken up again".to_owned()));
    }
    let (share, new_share) = (went_on as f64 / asked.max(1) as f64, began as f64 / STREAMS as f64);
    if asked >= JUDGED && share * 2.0 < new_share {
        record.line(format!("BROKEN: {share:.2} of the streams go on, {new_share:.2} of the new ones begin"));
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

/// Requests a stream, and asks for the rest of it until it is whole or the client gives up.
fn client(index: usize, hosts: &[SocketAddr], begun: Instant, has_trouble: bool, record: &Record) -> Client {
    let (mut client, mut last, mut attempts) = (Client::default(), 0, 0);
    let first = format!("b51c{index:011x}0");
    // Hosts that were started again are in touch after the stable time.
    let in_touch = begun + KILL_AFTER + DOWN + STABLE + START_MARGIN;
    while begun.elapsed() < CLIENT_DEADLINE && last < EVENTS {
        let id = format!("b51c{index:011x}{attempts:x}");
        let before = last;
        let is_judged = has_trouble && last > 0 && Instant::now() >= in_touch;
        let left = CLIENT_DEADLINE.saturating_sub(begun.elapsed());
        let status = attempt(hosts[(index + attempts) % hosts.len()], &id, &first, left, &mut last);
        if is_judged {
            client.has_asked = true;
            client.goes_on |= last > before;
            if index < 3 {
                record.line(format!("{id} asks for the events after {before}: status {status:?}, now at {last}"));
            }
        }
        attempts = (attempts + 1) % 16;
        thread::sleep(CLIENT_PAUSE);
    }
    client
}

/// Whether a new stream brings an event.
fn begins(hosts: &[SocketAddr], index: usize) -> bool {
    let mut last = 0;
    let id = format!("e51c{index:012x}");
    attempt(hosts[index % hosts.len()], &id, &id, NEW_STREAM_READ, &mut last);
    last > 0
}

/// One attempt. Moves `last` on to the last event that arrived. Returns the status of the answer.
fn attempt(host: SocketAddr, id: &str, first: &str, left: Duration, last: &mut u64) -> Option<u16> {
    let (deadline, after) = (left.as_millis().to_string(), last.to_string());
    let tokens = format!("271,{}", EVENTS * EVENT_TOKENS);
    let mut headers = vec![
        ("Host", HOST_NAME),
        ("Authorization", KEY),
        (wire("request_id"), id),
        ("Deadline-Ms", &deadline),
        ("Model", "m0"),
        ("Token-Count", &tokens),
    ];
    if *last > 0 {
        headers.extend([("Last-Event-Id", after.as_str()), ("Resumes", first)]);
    }
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(&request_bytes("POST", &format!("/lohu930/{id}"), &headers, b"q")).ok()?;
    let begun = Instant::now();
    let mut reader = BufReader::new(stream);
    let (line, _) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    if status == 200 {
        let lines = reader.lines().map_while(Result::ok);
        for line in lines.take_while(|_| begun.elapsed() < left) {
            if let Some(number) = line.strip_prefix("id: ") {
                *last = number.trim().parse().unwrap_or(*last);
            }
        }
    }
    Some(status)
}
