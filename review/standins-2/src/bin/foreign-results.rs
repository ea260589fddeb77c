//! Two tenants submit batch jobs, and the id of one begins with the id of the other and a dot. Both are finished and read.
//! Then the process of the machine that ran them is killed, and the job with the shorter id is read again.

use std::{process::ExitCode, sync::Arc, thread, time::Duration};

use async_std::task;
use jacinthmoor_platform_standins::{EngineStandIn, StoreStandIn, events, serve, signed};
use jm_http::{Response, StatusCode};
use review_2::{
    HostSpec, Machine, Record, Scratch, Verdict, batch, call, configuration, has_trouble, loopback, main_of,
    target_entry, word,
};
use serde_json::Value;

const MEMORY_MB: u64 = 110;
const MAX_BODY_BYTES: u64 = 33_554_432;
const MACHINES: u8 = 3;
const ITEMS: usize = 16;
const EVENTS: u64 = 6;
/// Time for which the killed process is away.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time after the restart until the job is read again: all machines are in touch for `stable_ms` (3 s) by then.
const IN_TOUCH: Duration = Duration::from_secs(6);

/// Job of the tenant whose results are checked, and the one of the other tenant.
const JOB: &str = "draws-7";
const OTHER_JOB: &str = "draws-7.0";
const PARISH: (&str, &str) = ("Authorization", "Bearer key-parish");
const ABBEY: (&str, &str) = ("Authorization", "Bearer key-abbey");

fn submit(machine: &Machine, id: &str, key: (&str, &str), record: &Record) -> bool {
    let body = batch(id, "m0", ITEMS, 200).to_string();
    let headers = [
        key,
        ("Content-Type", "application/json"),
        (word("request id"), id),
    ];
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
        "sent batch job {id} to {}: {status:?}",
        machine.name
    ));
    matches!(status, Ok(202))
}

/// The results of a job from its start, as `id state output`.
fn read(machine: &Machine, id: &str, key: (&str, &str)) -> Result<Vec<String>, String> {
    let path = format!("{}{id}?after=0", word("jobs path"));
    let answer = call(machine.callers, "GET", &path, &[key], b"", Duration::from_secs(3));
    let (status, body) = answer.map_err(|error| error.to_string())?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let page: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let results = page["results"].as_array().cloned().unwrap_or_default();
    let line = |result: &Value| format!("{} {} {}", result["id"], result["state"], result["output"]);
    Ok(results.iter().map(line).collect())
}

/// Reads a job until all its results are listed.
fn read_all(machine: &Machine, id: &str, key: (&str, &str)) -> Option<Vec<String>> {
    for _ in 0..100 {
        if let Ok(results) = read(machine, id, key)
            && results.len() == ITEMS
        {
            return Some(results);
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// Name of the machine that the store names as the owner of a job.
fn owner(store: &StoreStandIn, id: &str) -> Option<String> {
    let object = store.read("jm-batch-state", id)?;
    let state: Value = serde_json::from_str(object["spec"].as_str()?).ok()?;
    Some(state["owner"].as_str()?.to_owned())
}

fn run(record: &Record) -> std::io::Result<Verdict> {
    let scratch = Scratch::create("review-8")?;
    let store = Arc::new(StoreStandIn::default());
    let engine = EngineStandIn::new(|call| events(call, EVENTS));
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
    if !submit(&machines[0], JOB, PARISH, record) || !submit(&machines[1], OTHER_JOB, ABBEY, record) {
        return Ok(Verdict::NotRun);
    }
    let (Some(first), Some(_)) = (
        read_all(&machines[0], JOB, PARISH),
        read_all(&machines[1], OTHER_JOB, ABBEY),
    ) else {
        record.line("the batch jobs did not finish");
        return Ok(Verdict::NotRun);
    };
    record.line(format_args!(
        "{JOB} was read with {} results: {first:?}",
        first.len()
    ));
    record.line(format_args!("the engine ran {} items", engine.requests().len()));
    let Some(owner) = owner(&store, JOB) else {
        record.line("the owner of the batch job is not known");
        return Ok(Verdict::NotRun);
    };
    if has_trouble() {
        let Some(machine) = machines.iter().find(|machine| machine.name == owner) else {
            return Ok(Verdict::NotRun);
        };
        machine.kill();
        record.line(format_args!("killed the process of {owner}"));
        thread::sleep(DOWN);
        machine.spawn()?;
        if !machine.wait_until_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun);
        }
        record.line(format_args!("{owner} is ready again"));
    }
    thread::sleep(IN_TOUCH);
    let mut verdict = Verdict::Held;
    for machine in &machines {
        let results = read(machine, JOB, PARISH);
        record.line(format_args!("{JOB} at {}: {results:?}", machine.name));
        let Ok(results) = results else { continue };
        let is_foreign = |line: &&String| line.starts_with(&format!("\"{OTHER_JOB}-"));
        let foreign = results.iter().filter(is_foreign).count();
        let is_changed = first.iter().zip(&results).any(|(before, now)| before != now);
        record.line(format_args!(
            "{}: {foreign} results name items of {OTHER_JOB}, which belongs to another tenant; changed: {is_changed}",
            machine.name
        ));
        if foreign > 0 || is_changed {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

fn main() -> ExitCode {
    main_of(run)
}
