//! Many clients send large bodies piece by piece and stay open. Each machine has the memory and the descriptors of a small
//! deployment and ends its process when the process exceeds its memory.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
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

/// `memory_mb` of the entry machines of Harrowgate Wells. `run.sh` sets their `max_fds`.
const MEMORY_MB: u64 = 110;
/// `max_body_bytes` of the same site. Each client declares a body of this size.
const MAX_BODY_BYTES: u64 = 33_554_432;
const MACHINES: u8 = 3;
/// Machines that the clients connect to.
const PRESSED: usize = 2;
/// Clients of each of these machines, in groups of one thread each.
const GROUPS: usize = 17;
const CLIENTS_OF_GROUP: usize = 100;
/// What a client sends at first. Afterwards it sends one byte at a time.
const FIRST_PIECE_BYTES: usize = 65_000;
const PIECE_PAUSE: Duration = Duration::from_millis(400);
const RUN: Duration = Duration::from_secs(45);
/// The rule counts machines on which processes end by themselves so often.
const ENDS: usize = 3;
const KEY: (&str, &str) = ("Authorization", "Bearer key-parish");

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}: r1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n",
        KEY.0,
        KEY.1,
        word("request id")
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&vec![b'x'; FIRST_PIECE_BYTES]).ok()?;
    Some(stream)
}

/// Keeps a group of clients open. A client whose connection ends connects again.
fn press(address: SocketAddr, stop: &StopFlag) {
    let mut clients: Vec<Option<TcpStream>> = (0..CLIENTS_OF_GROUP).map(|_| None).collect();
    while !stop.is_set() {
        for client in &mut clients {
            let is_open = client
                .as_mut()
                .is_some_and(|stream| stream.write_all(b"x").is_ok());
            if !is_open && !stop.is_set() {
                *client = connect(address);
            }
        }
        thread::sleep(PIECE_PAUSE);
    }
}

fn run(record: &Record) -> std::io::Result<Verdict> {
    let scratch = Scratch::create("review-9")?;
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
    let ends = Mutex::default();
    let stop = StopFlag::default();
    thread::scope(|scope| {
        for machine in &machines {
            let (ends, stop) = (&ends, &stop);
            scope.spawn(move || watch_memory(machine, MEMORY_MB, ends, record, stop));
        }
        if has_trouble() {
            record.line(format_args!(
                "{} clients of each of {PRESSED} machines send a body of {MAX_BODY_BYTES} bytes piece by piece",
                GROUPS * CLIENTS_OF_GROUP
            ));
            for machine in &machines[..PRESSED] {
                for _ in 0..GROUPS {
                    let (address, stop) = (machine.callers, &stop);
                    scope.spawn(move || press(address, stop));
                }
            }
        }
        while record.elapsed() < RUN {
            thread::sleep(Duration::from_secs(3));
            for machine in &machines {
                let headers = [KEY, (word("request id"), "ordinary"), ("Deadline-Ms", "1500")];
                let limit = Duration::from_secs(2);
                let answer = call(machine.callers, "POST", "/orders/1", &headers, b"which", limit);
                let status = answer.map(|(status, _)| status);
                let memory_bytes = machine.memory_bytes();
                record.line(format_args!(
                    "ordinary request to {}: {status:?}; memory {memory_bytes:?}",
                    machine.name
                ));
            }
        }
        stop.set();
    });
    record.line(format_args!(
        "the plain service ran {} requests",
        desk.requests().len()
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
