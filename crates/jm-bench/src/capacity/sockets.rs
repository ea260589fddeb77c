//! Membership agents in one process on loopback sockets, in real time.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use jm_link::FleetSecret;
use jm_member::{Detector, DetectorOptions, MemberAgent};
use jm_types::{Revision, SystemClock};

use super::{
    fit::Line,
    fleet::{HEADER_BYTES, record},
    memory::resident_bytes,
};

const SIZES: [(usize, usize); 4] = [(9, 3), (25, 3), (50, 6), (100, 11)];
const FIRST_PORT: u16 = 21_000;
const WARM_UP: Duration = Duration::from_secs(5);

struct Sample {
    bytes: u64,
    datagrams: u64,
    cpu: Duration,
}

/// Prints traffic, CPU time and memory per agent on loopback sockets. `seconds` is the measured time for each size.
pub fn print_sockets(seconds: u64) -> Result<(), Box<dyn Error>> {
    println!("agents on loopback, {seconds} s of real time, no store");
    println!("daemons bytes/s datagrams/s core% resident_kb fresh");
    let (mut bytes, mut cpu) = (Vec::new(), Vec::new());
    for (daemons, zones) in SIZES {
        let before = resident_bytes()?;
        let (sample, fresh) = task::block_on(run(daemons, zones, seconds))?;
        let resident = resident_bytes()?.saturating_sub(before);
        let daemon_seconds = daemons as f64 * seconds as f64;
        let rate = (sample.bytes + sample.datagrams * HEADER_BYTES) as f64 / daemon_seconds;
        let core = sample.cpu.as_secs_f64() / daemon_seconds * 100.0;
        println!(
            "{daemons:7} {rate:7.0} {:11.2} {core:5.3} {:11.1} {fresh:5}",
            sample.datagrams as f64 / daemon_seconds,
            resident as f64 / 1e3 / daemons as f64,
        );
        bytes.push((daemons as f64, rate));
        cpu.push((daemons as f64, core));
    }
    for (name, points) in [("bytes/s", bytes), ("core%", cpu)] {
        if let Some(line) = Line::fit(&points) {
            println!("{name} by daemons: {line}");
        }
    }
    Ok(())
}

async fn run(daemons: usize, zones: usize, seconds: u64) -> Result<(Sample, usize), Box<dyn Error>> {
    let address = |index: usize| {
        let index = u16::try_from(index).expect("fewer daemons than ports");
        SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index))
    };
    let mut agents = Vec::new();
    for index in 0..daemons {
        let own = record(index, zones, address(index), 1);
        let detector = Detector::new(DetectorOptions::default(), own, Revision::new(0));
        let secret = FleetSecret::new("capacity");
        let agent = MemberAgent::bind(address(index), detector, secret, Arc::new(SystemClock)).await?;
        for other in 0..daemons {
            agent.register(record(other, zones, address(other), 1));
        }
        agents.push(agent);
    }
    let tasks: Vec<_> = agents
        .iter()
        .map(|agent| {
            let agent = agent.clone();
            task::spawn(async move { agent.run().await })
        })
        .collect();
    task::sleep(WARM_UP).await;
    let before = sample(&agents);
    task::sleep(Duration::from_secs(seconds)).await;
    let after = sample(&agents);
    let fresh = agents.iter().filter(|agent| agent.is_fresh()).count();
    for agent in tasks {
        drop(agent.cancel().await);
    }
    let difference = Sample {
        bytes: after.bytes - before.bytes,
        datagrams: after.datagrams - before.datagrams,
        cpu: after.cpu - before.cpu,
    };
    Ok((difference, fresh))
}

fn sample(agents: &[MemberAgent]) -> Sample {
    let traffic: Vec<_> = agents.iter().map(MemberAgent::traffic).collect();
    Sample {
        bytes: traffic
            .iter()
            .map(|sum| sum.sent_bytes + sum.received_bytes)
            .sum(),
        datagrams: traffic
            .iter()
            .map(|sum| sum.sent_datagrams + sum.received_datagrams)
            .sum(),
        cpu: cpu_time(),
    }
}

/// CPU time of this process, including all threads.
fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), nanoseconds)
}
