//! Host processes of the project, with the settings of a small deployment, and the calls of clients.

use std::{
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EVENT_TOKENS, Engine, Pace},
    http::{Response, call},
    json::Json,
    store::Store,
    wire::wire,
};

pub const ZONES: [&str; 3] = ["wellgate", "cistern-row", "basin-hill"];
pub const HOST_NAME: &str = "ficu95.example";
pub const KEY: &str = "Bearer i9n73hh2b9wu3fexd9dn";
/// Memory of an entry host on the sheet of Harrowgate Wells.
const MEMORY_MB: u64 = 110;
/// `stable_ms` of the sheet.
pub const STABLE: Duration = Duration::from_millis(3_000);
/// `settle_ms` of the sheet.
pub const SETTLE: Duration = Duration::from_millis(1_000);
/// Time in which all hosts must be ready.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time in which the hosts learn of one another after they are ready.
const DISCOVERY: Duration = Duration::from_millis(2_500);
const CALL_LIMIT: Duration = Duration::from_secs(4);

/// Lines with the time since the start, for `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Self { file, started: Instant::now() }))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} s  {}", text.as_ref());
    }
}

/// Ids of the processes that were started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all hosts of a case that takes too long.
pub fn end_all_hosts() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

pub struct Host {
    pub id: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Child,
}

impl Host {
    fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let id = self.process.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }

    /// Sends a signal to the process, such as `STOP`.
    pub fn signal(&self, name: &str) -> bool {
        let id = self.process.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().is_ok_and(|status| status.success())
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", wire("ready_path"), &[("Host", "h")], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// A call about a batch, with the host name of its route and a key of its organisation.
    pub fn batch_call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Response> {
        let mut all = vec![("Host", HOST_NAME), ("Authorization", KEY)];
        all.extend_from_slice(headers);
        call(self.callers, method, path, &all, body, CALL_LIMIT)
    }

    pub fn submit(&self, id: &str, body: &str) -> Option<u16> {
        let headers = [(wire("request_id"), id), ("Content-Type", "application/json")];
        let answer = self.batch_call("POST", &format!("/pufi791/{id}"), &headers, body.as_bytes());
        answer.map(|answer| answer.status)
    }

    pub fn end(&self, id: &str) -> Option<u16> {
        let path = format!("{}{id}", wire("results_path"));
        self.batch_call("DELETE", &path, &[], b"").map(|answer| answer.status)
    }

    /// Status of a read, and the results from position `after` on.
    pub fn read(&self, id: &str, after: usize, wait_ms: u64) -> Option<(u16, Vec<Json>)> {
        let path = format!("{}{id}?after={after}", wire("results_path"));
        let wait = wait_ms.to_string();
        let answer = self.batch_call("GET", &path, &[("Wait-Ms", &wait)], b"")?;
        let page = Json::parse(&answer.text()).unwrap_or(Json::Null);
        Some((answer.status, page.get("results").as_list().to_vec()))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub hosts: Vec<Host>,
}

/// One loopback address a host, with ports that are free.
fn free_ips(count: usize) -> io::Result<Vec<String>> {
    let process = std::process::id();
    for attempt in 0..50 {
        let (a, b) = (2 + (process + 7 * attempt) % 240, 2 + (process / 240 + attempt) % 240);
        let ips: Vec<String> = (0..count).map(|index| format!("127.{a}.{b}.{}", index + 1)).collect();
        let is_free = |ip: &String| (7_001..7_007).all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok());
        if ips.iter().all(is_free) {
            return Ok(ips);
        }
    }
    Err(io::Error::other("no loopback addresses with free ports"))
}

impl Fleet {
    /// Starts `hosts` hosts before `engines` engines of the software `v1`, and waits until all hosts are ready.
    pub fn start(folder: &Path, record: Arc<Record>, hosts: usize, engines: usize, pace: Pace) -> io::Result<Self> {
        let (store, store_address, duties) = Store::start()?;
        let engine = |index: usize| Engine::start(&store, &format!("i-{index}"), ZONES[index % 3], "v1", pace);
        let engines = (0..engines).map(engine).collect::<io::Result<Vec<_>>>()?;
        store.write("config", "main", configuration(1, pace.slots));
        let ips = free_ips(hosts)?;
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:7004")).collect();
        let start = |(index, ip): (usize, &String)| {
            let id = format!("edge-{}-{index}", ZONES[index % 3]);
            let text = settings(&id, ZONES[index % 3], ip, store_address, duties, &seeds.join(","));
            start_host(folder, &id, ip, &text)
        };
        let hosts = ips.iter().enumerate().map(start).collect::<io::Result<Vec<_>>>()?;
        let fleet = Self { record, store, engines, hosts };
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Kills all hosts.
    pub fn kill_hosts(&mut self) {
        for host in &mut self.hosts {
            host.signal("KILL");
        }
        for host in &mut self.hosts {
            host.kill();
        }
    }

    /// Starts all hosts again at their addresses.
    pub fn start_hosts(&mut self) -> io::Result<()> {
        for host in &mut self.hosts {
            host.process = start_process(&host.settings)?;
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while !self.hosts.iter().all(Host::is_ready) {
            if Instant::now() >= deadline {
                return Err(io::Error::other("the hosts are not ready in time"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(DISCOVERY);
        self.record.line(format!("{} hosts are ready", self.hosts.len()));
        Ok(())
    }

    /// Index of the host that runs a batch, by what the hosts keep in the store. Only used to aim a disruption.
    pub fn runner_of(&self, batch: &str) -> Option<usize> {
        let state = self.stored_state(batch)?;
        let owner = state.get("owner").as_text().to_owned();
        self.hosts.iter().position(|host| host.id == owner)
    }

    /// What the hosts keep in the store about a batch.
    pub fn stored_state(&self, batch: &str) -> Option<Json> {
        let spec = self.store.spec("jm-batch-state", batch)?;
        let text = match &spec {
            Json::Text(text) => decoded_base64(text).unwrap_or_else(|| text.clone()),
            other => other.to_string(),
        };
        Json::parse(&text)
    }
}

fn start_host(folder: &Path, id: &str, ip: &str, settings: &str) -> io::Result<Host> {
    let file: PathBuf = folder.join(format!("{id}.ini"));
    std::fs::write(&file, settings)?;
    let process = start_process(&file)?;
    let address = |port: u16| format!("{ip}:{port}").parse().map_err(io::Error::other);
    Ok(Host { id: id.to_owned(), callers: address(7_001)?, ready: address(7_002)?, settings: file, process })
}

/// Starts the program that the deploy file names, with the log beside the settings.
fn start_process(settings: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    let process = Command::new("target/release/jacinthmoor-host")
        .arg("entry")
        .env(wire("settings_variable"), settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log))
        .spawn()?;
    STARTED.lock().unwrap().push(process.id());
    Ok(process)
}

/// The settings that `deploy/host.ini` renders for an entry host of Harrowgate Wells.
fn settings(id: &str, zone: &str, ip: &str, store: SocketAddr, duties: SocketAddr, seeds: &str) -> String {
    format!(
        "[host]\nid = {id}\nzone = {zone}\nregion = northvale\ncpu = 0.25\n\
         [listen]\ncallers = {ip}:7001\nready = {ip}:7002\naddresses = {ip}:7003\npeers = {ip}:7004\n\
         members = {ip}:7005\nmetrics = {ip}:7006\n\
         [platform]\nstore = {store}\nduties = {duties}\nseeds = {seeds}\n\
         [bounds]\ngrace = 8s\nlease = 3000ms\nusage_window = 5s\nbatch_keep = 120s\n\
         [limits]\nmemory = {MEMORY_MB}MB\n"
    )
}

/// A configuration with a batch route and a route of resumable streams.
fn configuration(version: u64, slots: usize) -> Json {
    let route = |name: &str, prefix: &str, kind: &str| {
        Json::map([
            ("name", Json::text(name)),
            ("host", Json::text(HOST_NAME)),
            ("path_prefix", Json::text(prefix)),
            ("route_type", Json::text(kind)),
            ("timeout_ms", Json::number(10_000)),
            ("latency_goal_ms", Json::number(500)),
            ("priority", Json::number(1)),
            ("service", Json::text("engines")),
            ("max_attempts", Json::number(3)),
            (wire("item_ttl"), Json::number(40)),
            ("result_deadline_ms", Json::number(7_500)),
            ("single_version", Json::Bool(false)),
            ("public", Json::Bool(false)),
            ("sticky", Json::Bool(true)),
            ("resumable", Json::Bool(true)),
        ])
    };
    let engine = Json::map([
        ("slots", Json::number(slots as u64)),
        ("kv_capacity", Json::number(469_000)),
        ("models", Json::List(vec![Json::map([("name", Json::text("m0"))])])),
    ]);
    let service = Json::map([
        ("name", Json::text("engines")),
        ("health_path", Json::text("/healthz")),
        ("max_conns", Json::number(180)),
        ("engine", engine),
    ]);
    let limits = Json::map([
        ("max_header_bytes", Json::number(16_384)),
        ("max_body_bytes", Json::number(33_554_432)),
        ("header_timeout_ms", Json::number(3_000)),
        ("idle_timeout_ms", Json::number(15_000)),
    ]);
    let key = KEY.trim_start_matches("Bearer ");
    let tenant = Json::map([
        ("name", Json::text("kaje80")),
        ("api_keys", Json::List(vec![Json::text(key)])),
        ("priority", Json::number(1)),
    ]);
    Json::map([
        ("version", Json::number(version)),
        (
            "routes",
            Json::List(vec![
                route("r-batches", "/pufi791/", "rollout"),
                route("r-streams", "/lohu930/", "streaming"),
            ]),
        ),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}

/// The body of a submission. `events` says how many events the text of an item has, by its index.
pub fn batch(id: &str, items: usize, group_size: usize, events: impl Fn(usize) -> u64) -> String {
    let item = |index: usize| {
        let (group, tokens) = (index / group_size, events(index) * EVENT_TOKENS);
        let headers = Json::map([
            ("Model", Json::text("m0")),
            ("Token-Count", Json::text(format!("271,{tokens}"))),
            (wire("prompt_prefix"), Json::text(format!("{group:x}a:255,{index:x}b:16"))),
        ]);
        Json::map([
            ("id", Json::text(format!("{id}x{index:04}"))),
            ("path", Json::text(format!("/pufi791/3/{index}"))),
            ("headers", headers),
            ("body", Json::text("cXFx".repeat(200))),
            ("token_count", Json::number(271 + tokens)),
            ("group_id", Json::text(format!("{id}g{group}"))),
        ])
    };
    let body = Json::map([
        ("step", Json::number(0)),
        ("model", Json::text("m0")),
        ("min_version", Json::number(1)),
        (wire("wanted_groups"), Json::number((items / group_size) as u64)),
        ("items", Json::List((0..items).map(item).collect())),
    ]);
    body.to_string()
}

fn decoded_base64(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let (mut buffer, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => return None,
        };
        buffer = (buffer << 6 | u32::from(value)) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((buffer >> bits) as u8);
        }
    }
    String::from_utf8(bytes).ok()
}
