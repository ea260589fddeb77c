//! Batch jobs of legal size that have very many small items. Each machine has the memory of a small deployment and ends
//! its process when the process exceeds it.

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_std::task;
use jacinthmoor_platform_standins::{EngineStandIn, StoreStandIn, events, serve, signed};
use jm_http::{Response, StatusCode};
use review_2::{
    HostSpec, Machine, Record, Scratch, StopFlag, Verdict, call, configuration, has_trouble, lock, loopback,
    main_of, target_entry, watch_memory, word,
};

/// `memory_mb` of the entry machines of Harrowgate Wells.
const MEMORY_MB: u64 = 110;
/// `max_body_bytes` of the same site.
const MAX_BODY_BYTES: u64 = 33_554_432;
/// Number of entry machines of the same site.
const MACHINES: u8 = 8;
/// Batch jobs, each sent at most twice.
const BATCHES: usize = 36;
/// Pause of the client between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(500);
/// Items of a batch job: about 6.5 MB as it is sent.
const MANY_ITEMS: usize = 200_000;
/// Items without the disruption.
const FEW_ITEMS: usize = 100;
/// The rule counts machines on which processes end by themselves so often.
const ENDS: usize = 3;
/// Time for which the machines are watched after the last batch job.
const SETTLE: Duration = Duration::from_secs(10);

const HEADERS: [(&str, &str); 2] = [
    ("Authorization", "Bearer key-parish"),
    ("Content-Type", "application/json"),
];

fn small_items(count: usize) -> String {
    let items: Vec<String> = (0..count)
        .map(|index| format!("{{\"id\":\"{index:x}\",\"path\":\"/drafts/\"}}"))
        .collect();
    format!("{{\"step\":0,\"model\":\"m0\",\"items\":[{}]}}", items.join(","))
}

fn run(record: &Record) -> std::io::Result<Verdict> {
    let scratch = Scratch::create("review-10")?;
    let store = Arc::new(StoreStandIn::default());
    let engine = EngineStandIn::new(|call| events(call, 4));
    let desk = EngineStandIn::new(|call| signed(call, StatusCode::Ok, "found"));
    let duties = EngineStandIn::new(|_| Response::new(StatusCode::Ok));
    let [store_address, engine_address, desk_address, duties_address] = task::block_on(async {
        [
            serve(Arc::clone(&store) as _).await,
            serve(Arc::clone(&engine) as _).await,
            serve(Arc::clone(&desk) as _).await,
            serve(Arc::clone(&duties) as _).await,
        ]
    });
    store.write(
        "servers",
        "i-engine",
        target_entry("engines", engine_address, 16, &["m0"]),
    );
    store.write("servers", "i-desk", target_entry("desk", desk_address, 6, &[]));
    store.write("config", "main", configuration(MAX_BODY_BYTES, &["m0"]));
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
    thread::sleep(Duration::from_secs(3));
    let body = match has_trouble() {
        true => small_items(MANY_ITEMS),
        false => small_items(FEW_ITEMS),
    };
    let ends = Mutex::default();
    let stop = StopFlag::default();
    thread::scope(|scope| {
        for machine in &machines {
            let (ends, stop) = (&ends, &stop);
            scope.spawn(move || watch_memory(machine, MEMORY_MB, ends, record, stop));
        }
        for number in 0..BATCHES {
            thread::sleep(JOB_PAUSE);
            let id = format!("{:016x}", 0x7c41_e09b_52d6_0000_u64 + number as u64);
            for attempt in 0..2 {
                let machine = &machines[(number + attempt) % machines.len()];
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
                    "sent batch job {id} of {} bytes to {}: {status:?}",
                    body.len(),
                    machine.name
                ));
                if matches!(status, Ok(202)) {
                    break;
                }
            }
        }
        thread::sleep(SETTLE);
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
        stop.set();
    });
    let (items, lookups) = (engine.requests().len(), desk.requests().len());
    record.line(format_args!(
        "the engine ran items {items} times, the plain service {lookups} requests"
    ));
    let ends = lock(&ends);
    record.line(format_args!("ends by machine: {ends:?}"));
    let often = ends.values().filter(|count| **count >= ENDS).count();
    Ok(match often >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn main() -> ExitCode {
    main_of(run)
}
