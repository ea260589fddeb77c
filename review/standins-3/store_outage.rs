//! The store is away for some seconds while engines make the texts of a step. When it is back, the results have to become
//! readable. The texts are records in JSON, which have many quotation marks.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::TcpStream,
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{EVENT_TOKENS, Pace},
    fleet::{Fleet, HOST_NAME, Host, KEY, Record, batch},
    http::{read_head, request_bytes},
    wire::wire,
};

const BATCH: &str = "c07be2a35f689c41";
/// One step of the larger trainer on the sheet: 13 groups of 8 items with texts of 28 events of 360 bytes on average.
const ITEMS: usize = 104;
const GROUP: usize = 8;
const PACE: Pace = Pace {
    slots: 16,
    queued: 8,
    event_ms: 40,
    event_bytes: 360,
    text: r#"{"site":"wellgate-3","kind":"coin","worn":"yes"},"#,
};
/// Events of the texts of the groups, in turn.
const GROUP_EVENTS: [u64; 4] = [4, 18, 40, 56];
/// Length of the outage, as in the list of disruptions of the site.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time after the submission at which the trainer gives up.
const TRAINER_DEADLINE: Duration = Duration::from_secs(12);
/// Time after the submission until which the results are asked for all the same.
const LAST_READ: Duration = Duration::from_secs(30);
/// Time in which the engines begin the items.
const START_LIMIT: Duration = Duration::from_millis(600);
const STREAMS: usize = 40;
const STREAM_EVENTS: u64 = 5;

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, 3, 9, PACE)?;
    let record = &fleet.record;
    let events = |index: usize| GROUP_EVENTS[index / GROUP % GROUP_EVENTS.len()];
    let status = fleet.hosts[0].submit(BATCH, &batch(BATCH, ITEMS, GROUP, events));
    let submitted = Instant::now();
    record.line(format!("batch {BATCH} of {ITEMS} items is sent: {status:?}"));
    if status != Some(202) {
        return Ok(Verdict::NotRun("the batch was not accepted".to_owned()));
    }
    while begun_items(&fleet) < ITEMS && submitted.elapsed() < START_LIMIT {
        thread::sleep(Duration::from_millis(5));
    }
    record.line(format!("engines began {} items", begun_items(&fleet)));
    if has_trouble {
        fleet.store.is_busy.store(true, Ordering::SeqCst);
        record.line("the store answers every call with 503");
        thread::sleep(OUTAGE);
        fleet.store.is_busy.store(false, Ordering::SeqCst);
        record.line("the store is back");
    }
    let mut in_time = 0;
    let mut read = 0;
    while read < ITEMS && submitted.elapsed() < LAST_READ {
        match fleet.hosts[1].read(BATCH, read, 1_000) {
            Some((200, results)) => read += results.len(),
            _ => thread::sleep(Duration::from_millis(100)),
        }
        if submitted.elapsed() < TRAINER_DEADLINE {
            in_time = read;
        }
    }
    record.line(format!(
        "{in_time} of {ITEMS} results were read in the trainer's time, {read} in {LAST_READ:?}; engines began {} items",
        begun_items(&fleet)
    ));
    for host in &fleet.hosts {
        let answer = host.read(BATCH, 0, 0).map(|(status, results)| (status, results.len()));
        record.line(format!("{} answers a read from the start: {answer:?} (status, results)", host.id));
    }
    let refused = fleet.store.too_large.load(Ordering::SeqCst);
    record.line(format!("the store refused {refused} changes because the object was too large"));
    let served = (0..STREAMS).filter(|index| is_stream_served(&fleet.hosts[index % 3], *index)).count();
    record.line(format!("{served} of {STREAMS} streams, sent afterwards, were served"));
    if served * 2 < STREAMS {
        return Ok(Verdict::NotRun("the streams were not served either".to_owned()));
    }
    // Share of the kind against the share of all requests, a result counting as one.
    let all = (in_time + served) as f64 / (ITEMS + STREAMS) as f64;
    let kind = in_time as f64 / ITEMS as f64;
    record.line(format!("served: {kind:.2} of the items, {all:.2} of all"));
    if kind * 4.0 < all && read == in_time {
        record.line("BROKEN: the items are served less than a quarter as often as all, and were not served later either");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

fn begun_items(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.runs().len()).sum()
}

fn is_stream_served(host: &Host, index: usize) -> bool {
    stream(host, index).unwrap_or(false)
}

fn stream(host: &Host, index: usize) -> Option<bool> {
    let (id, tokens) = (format!("d51c{index:012x}"), format!("271,{}", STREAM_EVENTS * EVENT_TOKENS));
    let headers = [
        ("Host", HOST_NAME),
        ("Authorization", KEY),
        (wire("request_id"), id.as_str()),
        ("Deadline-Ms", "5000"),
        ("Model", "m0"),
        ("Token-Count", tokens.as_str()),
    ];
    let mut stream = TcpStream::connect(host.callers).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(&request_bytes("POST", "/lohu930/9", &headers, b"q")).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, _) = read_head(&mut reader)?;
    let last = format!("id: {STREAM_EVENTS}");
    let has_last = reader.lines().map_while(Result::ok).any(|line| line == last);
    Some(line.contains(" 200 ") && has_last)
}
