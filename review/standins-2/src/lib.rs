//! Shared parts of the cases: host processes on loopback addresses, stand-ins around them, and the record of a run.

use std::{
    collections::BTreeMap,
    fmt::Display,
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, LazyLock, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_std::task;
use jacinthmoor_platform_standins::{Call, signed};
use jm_http::{Response, StatusCode, channel_body};
use serde_json::{Value, json};

/// The words of the platform's wire that the drivers use, by their meaning. They stand in one file beside the sources, as
/// the words of the platform stay out of the project's sources.
static WORDS: LazyLock<BTreeMap<String, String>> =
    LazyLock::new(|| serde_json::from_str(include_str!("../wire.json")).expect("the words are a JSON table"));

/// The word of the platform's wire for a meaning that `wire.json` lists.
pub fn word(meaning: &str) -> &'static str {
    &WORDS[meaning]
}

/// Locks a mutex whose data stays valid after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the run includes the disruption. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Record of a run, with the time since its start in each line.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file named by the first argument of the program.
    pub fn create() -> io::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: impl Display) {
        let seconds = self.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }
}

/// Outcome of a case, with the exit status that reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Held => Self::from(0),
            Verdict::Broken => Self::from(1),
            Verdict::NotRun => Self::from(2),
        }
    }
}

/// Settings of the hosts of one case.
pub struct HostSpec<'a> {
    /// Name of the machine.
    pub name: &'a str,
    /// Loopback address of the machine.
    pub ip: &'a str,
    /// Memory of the machine in megabytes.
    pub memory_mb: u64,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the platform's interface for duties.
    pub duties: SocketAddr,
    /// Addresses of the seeds, joined by commas.
    pub seeds: &'a str,
    /// `status_s` of the bounds.
    pub status_s: u64,
}

impl HostSpec<'_> {
    /// Settings as the template of the deploy file renders them for a small deployment.
    fn render(&self) -> String {
        let Self {
            name,
            ip,
            memory_mb,
            store,
            duties,
            seeds,
            status_s,
        } = self;
        format!(
            "[host]\nid = {name}\nzone = wellgate\nregion = northvale\ncpu = 0.25\n\
             [listen]\ncallers = {ip}:7001\nready = {ip}:7002\naddresses = {ip}:7003\npeers = {ip}:7004\n\
             members = {ip}:7005\nmetrics = {ip}:9464\n\
             [platform]\nstore = {store}\nduties = {duties}\nseeds = {seeds}\n\
             [bounds]\ngrace = 8s\nlease = 3000ms\nusage_window = 5s\nbatch_keep = {status_s}s\n\
             [limits]\nmemory = {memory_mb}MB\n"
        )
    }
}

/// A machine with its host process. The process is killed when the value is dropped.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Machine {
    /// Starts the process of a machine. `folder` receives its settings and its log.
    pub fn start(spec: &HostSpec<'_>, folder: &Path) -> io::Result<Self> {
        let settings = folder.join(format!("{}.ini", spec.name));
        fs::write(&settings, spec.render())?;
        let address = |port: u16| SocketAddr::new(spec.ip.parse().expect("an IP address"), port);
        let machine = Self {
            name: spec.name.to_owned(),
            callers: address(7_001),
            ready: address(7_002),
            log: folder.join(format!("{}.log", spec.name)),
            settings,
            child: Mutex::default(),
        };
        machine.spawn()?;
        Ok(machine)
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/jacinthmoor-host")
            .arg("entry")
            .env(word("settings variable"), &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        note_process(child.id())?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Kills the process, like a machine that loses it.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself. It is forgotten then.
    pub fn has_ended(&self) -> bool {
        let mut child = lock(&self.child);
        let ended = child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            *child = None;
        }
        ended
    }

    /// Resident memory of the process in bytes; `None` while it does not run.
    pub fn memory_bytes(&self) -> Option<u64> {
        let id = lock(&self.child).as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(kib * 1_024)
    }

    /// Waits until the machine is ready for callers.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(
                call(
                    self.ready,
                    "GET",
                    word("readiness path"),
                    &[],
                    b"",
                    Duration::from_secs(1)
                ),
                Ok((200, _))
            ) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for settings and logs that is removed at the end of the run, unless `KEEP` is set.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create(name: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Notes the id of a started process in the file that `run.sh` names, so that it can end what a killed driver leaves.
fn note_process(id: u32) -> io::Result<()> {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else {
        return Ok(());
    };
    let mut file = File::options().create(true).append(true).open(path)?;
    writeln!(file, "{id}")
}

/// Runs a case and writes its record. Gives up after two minutes at most.
pub fn main_of(run: impl FnOnce(&Record) -> io::Result<Verdict>) -> ExitCode {
    let record = match Record::create() {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return Verdict::NotRun.into();
        }
    };
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN);
        watchdog.line("the run takes too long and is given up");
        std::process::exit(2);
    });
    let verdict = run(&record).unwrap_or_else(|error| {
        record.line(format_args!("the case could not run: {error}"));
        Verdict::NotRun
    });
    record.line(format_args!("verdict: {verdict:?}"));
    verdict.into()
}

/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(116);

/// A loopback network of this run: its addresses differ from those of other runs on the same machine.
pub fn loopback(number: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 2 + id % 240, 1 + id / 240 % 250)
}

/// Sends one request on a new connection and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {}\r\nConnection: close\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let invalid = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason.to_owned());
    let end = answer
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .ok_or_else(|| invalid("the answer has no head"))?;
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("the answer has no status"))?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|length| length.trim().parse::<usize>().ok())
        .ok_or_else(|| invalid("the answer has no length"))?;
    let body = answer[end + 4..].to_vec();
    match body.len() == length {
        true => Ok((status, body)),
        false => Err(invalid("the answer is truncated")),
    }
}

/// Streams the rest of a text of `events` events, one event each `pause`, until the caller closes the connection or
/// `is_dead` is set. The text is cut off then.
pub fn stream_text(call: &Call, events: u64, pause: Duration, is_dead: &Arc<AtomicBool>) -> Response {
    let first = call
        .header("last-event-id")
        .and_then(|id| id.parse::<u64>().ok())
        .map_or(1, |id| id + 1);
    let mut response = signed(call, StatusCode::Ok, "");
    let (sender, body) = channel_body();
    response.set_body(body);
    response.insert_header("content-type", "text/event-stream");
    response.insert_header(word("weight version"), "1");
    let is_dead = Arc::clone(is_dead);
    task::spawn(async move {
        for event in first..=events {
            task::sleep(pause).await;
            let text = format!("id: {event}\ndata: e{event}\n\n");
            if is_dead.load(Ordering::SeqCst) || sender.send(text.into_bytes()).await.is_err() {
                return;
            }
        }
        let _ = sender.finish().await;
    });
    response
}

/// A batch job of one group with `count` items that have bodies of `body_bytes` bytes each.
pub fn batch(id: &str, model: &str, count: usize, body_bytes: usize) -> Value {
    use base64::{Engine, engine::general_purpose::STANDARD};
    let items = (0..count).map(|index| {
        json!({"id": format!("{id}-i{index}"), "path": format!("/drafts/{index}"),
            "headers": {"Model": model, "Token-Count": "10,40", (word("length estimate")): "40"},
            "body": STANDARD.encode(vec![b'x'; body_bytes]), "token_count": 50, "group_id": "g"})
    });
    let items: Vec<Value> = items.collect();
    json!({"step": 0, "model": model, "min_version": 1, (word("groups waited for")): 1, "items": items})
}

/// A configuration with one batch route and one idempotent route, which keys of two tenants may use.
pub fn configuration(max_body_bytes: u64, models: &[&str]) -> Value {
    let models: Vec<Value> = models.iter().map(|name| json!({"name": name})).collect();
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "desk.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": 10000, "latency_goal_ms": 500, "priority": 1, "service": service, "max_attempts": 3,
            (word("item time limit")): 40.0, "result_deadline_ms": 7500, "public": false})
    };
    json!({
        "version": 1,
        "routes": [route("drafts", "/drafts/", "rollout", "engines"),
                   route("lookups", "/orders/", "idempotent", "desk")],
        "services": [{"name": "engines", "engine": {"slots": 16, "models": models}}, {"name": "desk"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "parish", "api_keys": ["key-parish"]}, {"name": "abbey", "api_keys": ["key-abbey"]}]
    })
}

/// Entry of an engine or of a plain service in the store.
pub fn target_entry(service: &str, address: SocketAddr, slots: usize, models: &[&str]) -> Value {
    let models = models
        .iter()
        .map(|name| json!({"name": name, "version": 1, "adapters": []}));
    let models: Vec<Value> = models.collect();
    json!({"service": service, "address": address.to_string(), "zone": "wellgate", "version": "v1",
        "slots": slots, "state": "ready", "cold_left_ms": 0, "born": 1_700_000_000_000_u64, "models": models, "seq": 1})
}

/// Stops the threads of a run.
#[derive(Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A machine restarts an ended process after this time.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
const MEMORY_POLL: Duration = Duration::from_millis(10);

/// Ends the process of a machine when it exceeds the machine's memory, and restarts it.
pub fn watch_memory(
    machine: &Machine,
    memory_mb: u64,
    ends: &Mutex<BTreeMap<String, usize>>,
    record: &Record,
    stop: &StopFlag,
) {
    let mut peak_bytes = 0;
    while !stop.is_set() {
        thread::sleep(MEMORY_POLL);
        let memory_bytes = machine.memory_bytes().unwrap_or(0);
        peak_bytes = peak_bytes.max(memory_bytes);
        let is_over = memory_bytes > memory_mb * 1_000_000;
        if is_over {
            machine.kill();
        }
        if !is_over && !machine.has_ended() {
            continue;
        }
        let why = match is_over {
            true => "exceeded its memory and was killed by its machine",
            false => "ended by itself",
        };
        record.line(format_args!(
            "process of {} {why} at {memory_bytes} bytes",
            machine.name
        ));
        *lock(ends).entry(machine.name.clone()).or_default() += 1;
        thread::sleep(RESTART_DELAY);
        if !stop.is_set() && machine.spawn().is_ok() {
            record.line(format_args!("process of {} started again", machine.name));
        }
    }
    record.line(format_args!("{}: peak memory {peak_bytes} bytes", machine.name));
}
