//! Resource use of idle daemon processes that each run all roles.

use std::{
    error::Error,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use async_std::task;
use jacinthmoor::demo::{DocumentParts, SAMPLE_MODEL, document, free_ports, post_document, settings_text};
use jm_standins::{Engine, EngineOptions, PlatformOptions, PlatformServer};
use jm_types::WeightVersion;

use super::fit::Line;

/// Numbers of hosts of the measured fleets.
const SIZES: [usize; 4] = [3, 9, 18, 27];

/// Wait for the daemons to discover one another, and again for the configuration document to take effect.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Clock ticks per second in the CPU times of `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Executor threads per daemon, low enough that many processes fit on one machine.
const THREADS: &str = "2";

/// Mean resource use of one idle daemon, and the store calls of all daemons together.
struct ResourceUse {
    hosts: usize,
    core_percent: f64,
    resident_mb: f64,
    loopback_bytes_per_s: f64,
    store_calls_per_s: f64,
}

/// Prints CPU time, memory, loopback bytes and store calls for each number of hosts, and the fitted lines. `seconds`
/// is the measured time for each number of hosts.
///
/// # Errors
///
/// Fails when the program `jacinthmoor` is not in the directory of the running program, or when a process or a
/// stand-in cannot start.
pub fn print_daemons(seconds: u64) -> Result<(), Box<dyn Error>> {
    let window = Duration::from_secs(seconds);
    println!("| hosts | core of a daemon | resident MB | loopback bytes/s per daemon | store calls/s, all |");
    println!("| --- | --- | --- | --- | --- |");
    let mut measured = Vec::new();
    for hosts in SIZES {
        let usage = task::block_on(measure(hosts, window))?;
        println!(
            "| {} | {:.2}% | {:.1} | {:.0} | {:.1} |",
            usage.hosts,
            usage.core_percent,
            usage.resident_mb,
            usage.loopback_bytes_per_s,
            usage.store_calls_per_s
        );
        measured.push(usage);
    }
    print_fit("core percent", &measured, |usage| usage.core_percent);
    print_fit("resident MB", &measured, |usage| usage.resident_mb);
    print_fit("loopback bytes/s", &measured, |usage| usage.loopback_bytes_per_s);
    print_fit("store calls/s", &measured, |usage| usage.store_calls_per_s);
    Ok(())
}

fn print_fit(name: &str, measured: &[ResourceUse], value: impl Fn(&ResourceUse) -> f64) {
    let points: Vec<(f64, f64)> = measured
        .iter()
        .map(|usage| (usage.hosts as f64, value(usage)))
        .collect();
    if let Some(line) = Line::fit(&points) {
        println!(
            "{name}: {:.4} a host + {:.2} (r2 {:.3}, {} to {} hosts)",
            line.slope, line.intercept, line.r_squared, line.range.0, line.range.1
        );
    }
}

/// Daemon processes. Dropping this value kills them and removes their settings.
struct Processes {
    children: Vec<Child>,
    folder: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Fails when the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        // The folder contains only generated settings.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn measure(hosts: usize, window: Duration) -> Result<ResourceUse, Box<dyn Error>> {
    let platform = PlatformServer::start(PlatformOptions::default()).await?;
    let engines = start_engines(hosts).await?;
    let (processes, admin_port) = start_processes(hosts, platform.address())?;
    task::sleep(SETTLE_TIME).await;
    let parts = DocumentParts {
        engines: engines.iter().map(Engine::address).collect(),
        ..DocumentParts::default()
    };
    post_document(admin_port, &document(&parts)).await?;
    task::sleep(SETTLE_TIME).await;
    let before = Counters::take(&processes, &platform)?;
    task::sleep(window).await;
    let after = Counters::take(&processes, &platform)?;
    let resident_bytes = resident_bytes(&processes)?;
    drop(processes);
    for engine in engines {
        engine.stop().await;
    }
    platform.stop().await;
    let seconds = window.as_secs_f64();
    let daemons = hosts as f64;
    Ok(ResourceUse {
        hosts,
        core_percent: (after.ticks - before.ticks) as f64 / TICKS_PER_S / seconds / daemons * 100.0,
        resident_mb: resident_bytes as f64 / daemons / 1e6,
        // The loopback device counts every byte as sent and as received. Only the received side is used.
        loopback_bytes_per_s: (after.loopback_bytes - before.loopback_bytes) as f64 / seconds / daemons,
        store_calls_per_s: (after.calls - before.calls) as f64 / seconds,
    })
}

async fn start_engines(hosts: usize) -> io::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for _ in 0..hosts {
        let model = SAMPLE_MODEL.parse().expect("the constant is a valid id");
        let models = std::iter::once((model, WeightVersion::new(1))).collect();
        let options = EngineOptions {
            models,
            ..EngineOptions::default()
        };
        engines.push(Engine::start(options).await?);
    }
    Ok(engines)
}

fn start_processes(hosts: usize, platform: SocketAddr) -> io::Result<(Processes, u16)> {
    let folder = std::env::temp_dir().join(format!("jacinthmoor-capacity-{}-{hosts}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let ports = free_ports(hosts)?;
    let admin_port = ports[0].entry_admin;
    let mut processes = Processes {
        children: Vec::new(),
        folder: folder.clone(),
    };
    let program = std::env::current_exe()?.with_file_name("jacinthmoor");
    for (index, ports) in ports.into_iter().enumerate() {
        let settings = folder.join(format!("host-{index}.ini"));
        fs::write(&settings, settings_text(index, ports, platform))?;
        processes.children.push(start_process(&program, &settings)?);
    }
    Ok((processes, admin_port))
}

fn start_process(program: &Path, settings: &Path) -> io::Result<Child> {
    Command::new(program)
        .args(["run", "--settings"])
        .arg(settings)
        .env("ASYNC_STD_THREAD_COUNT", THREADS)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

/// Values of all counters at one time.
struct Counters {
    ticks: u64,
    loopback_bytes: u64,
    calls: u64,
}

impl Counters {
    fn take(processes: &Processes, platform: &PlatformServer) -> Result<Self, Box<dyn Error>> {
        let mut ticks = 0;
        for child in &processes.children {
            ticks += cpu_ticks(child.id())?;
        }
        Ok(Self {
            ticks,
            loopback_bytes: loopback_bytes()?,
            calls: platform.total_calls(),
        })
    }
}

/// User and system time of a process, in ticks.
fn cpu_ticks(process: u32) -> Result<u64, Box<dyn Error>> {
    const USER_FIELD: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The program name may contain spaces, so fields are counted from its closing parenthesis.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times: Vec<u64> = fields
        .skip(USER_FIELD)
        .take(2)
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok(times.iter().sum())
}

/// Bytes received on the loopback device since boot.
fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let devices = fs::read_to_string("/proc/net/dev")?;
    let line = devices.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    Ok(received
        .ok_or("/proc/net/dev lists no loopback device")?
        .parse()?)
}

fn resident_bytes(processes: &Processes) -> Result<u64, Box<dyn Error>> {
    let mut bytes = 0;
    for child in &processes.children {
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        bytes += kilobytes
            .ok_or("a daemon process exited before its memory was read")?
            .parse::<u64>()?
            * 1_024;
    }
    Ok(bytes)
}
