//! A batch job that stays open for longer than the time for which ended jobs are kept. One of the engines is lost for
//! good, and a client reads the job all the while.

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use async_std::task;
use jacinthmoor_platform_standins::{EngineStandIn, StoreStandIn, serve};
use jm_http::{Response, StatusCode};
use review_2::{
    HostSpec, Machine, Record, Scratch, Verdict, batch, call, configuration, has_trouble, loopback, main_of,
    stream_text, target_entry, word,
};
use serde_json::{Value, json};

const MEMORY_MB: u64 = 110;
const MAX_BODY_BYTES: u64 = 33_554_432;
const MACHINES: u8 = 3;
/// `status_s`, a quarter of the 120 s of the sites, because a script may take two minutes at most.
const STATUS_S: u64 = 30;
/// Time within which the route lets a job be finished.
const ITEM_TTL_S: f64 = 960.0;
const ENGINES: usize = 6;
const SLOTS: usize = 4;
/// A text takes 4 s, so that all engines together end 6 texts a second.
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// The job takes 80 s on all engines, and 96 s without one of them.
const ITEMS: usize = 480;
/// Time from the submission of the job until one engine is lost.
const LOST_AFTER: Duration = Duration::from_secs(2);
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Time from the submission until the client gives up.
const READ_FOR: Duration = Duration::from_secs(104);
/// Answers 404 that the verdict asks for, in a row.
const MIN_NOT_FOUND: usize = 4;

const JOB: &str = "7c41e09b52d6a3f8";
const KEY: (&str, &str) = ("Authorization", "Bearer key-parish");

fn run(record: &Record) -> std::io::Result<Verdict> {
    let scratch = Scratch::create("review-7")?;
    let store = Arc::new(StoreStandIn::default());
    let duties = EngineStandIn::new(|_| Response::new(StatusCode::Ok));
    let [store_address, duties_address] = task::block_on(async {
        [
            serve(Arc::clone(&store) as _).await,
            serve(Arc::clone(&duties) as _).await,
        ]
    });
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let is_dead = Arc::<AtomicBool>::default();
        let flag = Arc::clone(&is_dead);
        let engine = EngineStandIn::new(move |call| stream_text(call, EVENTS, EVENT_PAUSE, &flag));
        let address = task::block_on(serve(Arc::clone(&engine) as _));
        store.write(
            "servers",
            &format!("i-engine-{index}"),
            target_entry("engines", address, SLOTS, &["m0"]),
        );
        engines.push((engine, is_dead));
    }
    let mut config = configuration(MAX_BODY_BYTES, &["m0"]);
    config["routes"][0][word("item time limit")] = json!(ITEM_TTL_S);
    config["routes"][0]["result_deadline_ms"] = json!(ITEM_TTL_S * 1_000.0);
    store.write("config", "main", config);
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
                status_s: STATUS_S,
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
    let body = batch(JOB, "m0", ITEMS, 200).to_string();
    let headers = [
        KEY,
        ("Content-Type", "application/json"),
        (word("request id"), JOB),
    ];
    let answer = call(
        machines[0].callers,
        "POST",
        "/drafts/b",
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    );
    let status = answer.map(|(status, _)| status);
    record.line(format_args!(
        "sent batch job {JOB} with {ITEMS} items: {status:?}"
    ));
    if !matches!(status, Ok(202)) {
        return Ok(Verdict::NotRun);
    }
    let submitted = record.elapsed();
    let mut is_lost = false;
    let (mut listed, mut not_found) = (0, 0);
    let mut number = 0;
    while record.elapsed() < submitted + READ_FOR && listed < ITEMS {
        if has_trouble() && !is_lost && record.elapsed() >= submitted + LOST_AFTER {
            is_lost = true;
            engines[0].1.store(true, Ordering::SeqCst);
            store.delete("servers", "i-engine-0");
            record.line("engine 0 is lost for good");
        }
        number += 1;
        let machine = &machines[number % machines.len()];
        let path = format!("{}{JOB}?after={listed}", word("jobs path"));
        let answer = call(machine.callers, "GET", &path, &[KEY], b"", Duration::from_secs(2));
        match answer {
            Ok((200, body)) => {
                let page: Value = serde_json::from_slice(&body).unwrap_or_default();
                listed += page["results"].as_array().map_or(0, Vec::len);
                not_found = 0;
            }
            Ok((404, _)) => {
                not_found += 1;
                record.line(format_args!(
                    "{} answered 404 for the job, of which {listed} of {ITEMS} results were read",
                    machine.name
                ));
            }
            answer => record.line(format_args!(
                "{}: {:?}",
                machine.name,
                answer.map(|(status, _)| status)
            )),
        }
        if number % 20 == 0 {
            record.line(format_args!("{listed} of {ITEMS} results read"));
        }
        thread::sleep(READ_PAUSE);
    }
    let ran: usize = engines.iter().map(|(engine, _)| engine.requests().len()).sum();
    record.line(format_args!(
        "the engines ran items {ran} times; {listed} of {ITEMS} results were read"
    ));
    Ok(match not_found >= MIN_NOT_FOUND {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn main() -> ExitCode {
    main_of(run)
}
