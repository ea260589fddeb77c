//! Several batch jobs of legal size are submitted one after the other. Each machine has the memory of a small deployment
//! and ends its process when the process exceeds it.

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_std::task;
use jacinthmoor_platform_standins::{EngineStandIn, StoreStandIn, serve, serve_bodies, signed};
use jm_http::{Response, StatusCode};
use jm_types::ByteSize;
use review_2::{
    HostSpec, Machine, Record, Scratch, StopFlag, Verdict, batch, call, configuration, has_trouble, lock,
    loopback, main_of, stream_text, target_entry, watch_memory, word,
};

/// `memory_mb` of the entry machines of Harrowgate Wells.
const MEMORY_MB: u64 = 110;
/// `max_body_bytes` of the same site.
const MAX_BODY_BYTES: u64 = 33_554_432;
/// Number of entry machines of the same site.
const MACHINES: u8 = 8;
/// Models, each with a trainer of its own. The batch jobs of a model are run by one machine.
const MODELS: [&str; 3] = ["m0", "m1", "m2"];
/// Batch jobs of all trainers together.
const BATCHES: usize = 90;
const ITEMS: usize = 16;
/// Size of each item's body: about 6 MB a batch job as it is sent.
const LARGE_BODY_BYTES: usize = 280_000;
/// Size without the disruption: about 20 kB a batch job.
const SMALL_BODY_BYTES: usize = 600;
/// Events of each text, and the pause between them: a text takes about as long as on the site.
const EVENTS: u64 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
const ENGINES: usize = 2;
const SLOTS: usize = 16;
/// Total time of the run.
const RUN: Duration = Duration::from_secs(90);
/// The rule counts machines on which processes end by themselves so often.
const ENDS: usize = 3;

fn run(record: &Record) -> std::io::Result<Verdict> {
    let scratch = Scratch::create("review-6")?;
    let store = Arc::new(StoreStandIn::default());
    let engines: Vec<_> = (0..ENGINES)
        .map(|_| EngineStandIn::new(|call| stream_text(call, EVENTS, EVENT_PAUSE, &Arc::default())))
        .collect();
    let desk = EngineStandIn::new(|call| signed(call, StatusCode::Ok, "found"));
    let duties = EngineStandIn::new(|_| Response::new(StatusCode::Ok));
    let (store_address, desk_address, duties_address) = task::block_on(async {
        (
            serve(Arc::clone(&store) as _).await,
            serve(Arc::clone(&desk) as _).await,
            serve(Arc::clone(&duties) as _).await,
        )
    });
    for (index, engine) in engines.iter().enumerate() {
        let address = task::block_on(serve_bodies(
            Arc::clone(engine) as _,
            ByteSize::new(MAX_BODY_BYTES),
        ));
        store.write(
            "servers",
            &format!("i-engine-{index}"),
            target_entry("engines", address, SLOTS, &MODELS),
        );
    }
    store.write("servers", "i-desk", target_entry("desk", desk_address, 6, &[]));
    store.write("config", "main", configuration(MAX_BODY_BYTES, &MODELS));
    let seeds = format!("{}:7004", loopback(1));
    let machines: Result<Vec<Machine>, _> = (1..=MACHINES)
        .map(|number| {
            let spec = HostSpec {
                name: &format!("edge-{number}"),
                ip: &loopback(number),
                memory_mb: MEMORY_MB,
                store: store_address,
                duties: duties_address,
                seeds: &seeds,
                status_s: 120,
            };
            Machine::start(&spec, &scratch.0)
        })
        .collect();
    let machines = machines?;
    if !machines
        .iter()
        .all(|machine| machine.wait_until_ready(Duration::from_secs(10)))
    {
        record.line("a machine did not become ready");
        return Ok(Verdict::NotRun);
    }
    // The machines get to know one another before the first batch job.
    thread::sleep(Duration::from_secs(3));
    let body_bytes = match has_trouble() {
        true => LARGE_BODY_BYTES,
        false => SMALL_BODY_BYTES,
    };
    let ends = Mutex::default();
    let stop = StopFlag::default();
    let accepted = thread::scope(|scope| {
        for machine in &machines {
            let (ends, stop) = (&ends, &stop);
            scope.spawn(move || watch_memory(machine, MEMORY_MB, ends, record, stop));
        }
        let accepted = submit_all(&machines, body_bytes, record);
        while record.elapsed() < RUN && (has_trouble() || !are_finished(&machines, &accepted)) {
            thread::sleep(Duration::from_millis(500));
        }
        report_unfinished(&machines, &accepted, record);
        stop.set();
        accepted
    });
    if accepted.is_empty() {
        record.line("no batch job was accepted");
        return Ok(Verdict::NotRun);
    }
    let runs: usize = engines.iter().map(|engine| engine.requests().len()).sum();
    record.line(format_args!("the engines ran items {runs} times"));
    let ends = lock(&ends);
    record.line(format_args!("ends by machine: {ends:?}"));
    let often = ends.values().filter(|count| **count >= ENDS).count();
    Ok(match often >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

const HEADERS: [(&str, &str); 2] = [
    ("Authorization", "Bearer key-parish"),
    ("Content-Type", "application/json"),
];

/// Submits the batch jobs one after the other, each at the next machine. Like any client, it sends a job that was not
/// acknowledged again at another machine.
fn submit_all(machines: &[Machine], body_bytes: usize, record: &Record) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0..BATCHES {
        if record.elapsed() >= RUN {
            break;
        }
        let id = format!("{:016x}", 0x7c41_e09b_52d6_0000_u64 + number as u64);
        let model = MODELS[number % MODELS.len()];
        let body = batch(&id, model, ITEMS, body_bytes).to_string();
        for attempt in 0..2 {
            let machine = &machines[(number * 3 + attempt) % machines.len()];
            let headers = [HEADERS[0], HEADERS[1], (word("request id"), id.as_str())];
            let answer = call(
                machine.callers,
                "POST",
                "/drafts/b",
                &headers,
                body.as_bytes(),
                Duration::from_secs(4),
            );
            let status = answer.map(|(status, _)| status);
            record.line(format_args!(
                "sent batch job {id} of {model} with {} bytes to {}: {status:?}",
                body.len(),
                machine.name
            ));
            if matches!(status, Ok(202)) {
                accepted.push(id.clone());
                break;
            }
        }
    }
    accepted
}

/// Number of results of a batch job that can be read at any machine.
fn results(machines: &[Machine], id: &str) -> usize {
    let counts = machines.iter().filter_map(|machine| {
        let path = format!("{}{id}?after=0", word("jobs path"));
        let (status, body) = call(
            machine.callers,
            "GET",
            &path,
            &HEADERS,
            b"",
            Duration::from_secs(2),
        )
        .ok()?;
        let page: serde_json::Value = serde_json::from_slice(&body).ok()?;
        (status == 200).then(|| page["results"].as_array().map_or(0, Vec::len))
    });
    counts.max().unwrap_or(0)
}

fn are_finished(machines: &[Machine], accepted: &[String]) -> bool {
    accepted.iter().all(|id| results(machines, id) == ITEMS)
}

fn report_unfinished(machines: &[Machine], accepted: &[String], record: &Record) {
    let unfinished = accepted.iter().filter(|id| results(machines, id) < ITEMS).count();
    record.line(format_args!(
        "{} batch jobs accepted, {unfinished} of them unfinished",
        accepted.len()
    ));
    let answer = call(
        machines[0].callers,
        "POST",
        "/orders/1",
        &HEADERS,
        b"which",
        Duration::from_secs(2),
    );
    record.line(format_args!(
        "ordinary request: {:?}",
        answer.map(|(status, _)| status)
    ));
}

fn main() -> ExitCode {
    main_of(run)
}
