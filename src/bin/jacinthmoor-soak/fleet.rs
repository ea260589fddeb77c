//! A fleet of daemon processes, with stand-ins for the platform and the targets in this process.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::{future::timeout, task};
use jacinthmoor::demo::{
    ADMIN_TOKEN, DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, settings_text,
};
use jm_http::{Client, Limits, Method, Request, Url, read_body_to_end};
use jm_standins::{Engine, EngineOptions, PlainService, PlatformOptions, PlatformServer, ServiceOptions};
use jm_types::{ByteSize, Rate, WeightVersion};
use serde_json::{Value, json};

pub(crate) const CLERK_KEY: &str = "soak-clerk-key-000001";
pub(crate) const TRAINER_KEY: &str = "soak-trainer-key-000001";
/// A key that the key withdrawal fault withdraws and grants again.
pub(crate) const SPARE_KEY: &str = "soak-spare-key-000001";
pub(crate) const ENGINE_SEED: u64 = 11;
pub(crate) const VERSION: WeightVersion = WeightVersion::new(5);
pub(crate) const HOSTS: usize = 3;

const ENGINES: usize = 3;
const DESKS: usize = 2;

/// Tokens per second of an engine, low enough that streams are open when a fault is injected.
const ENGINE_RATE: f64 = 2_000.0;

/// Bytes of received requests that each stand-in records, which are searched for keys at the end.
const RECORDING_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// Time after which a caller abandons a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

const START_ATTEMPTS: usize = 1_200;
const START_INTERVAL: Duration = Duration::from_millis(25);
const MAX_BODY_BYTES: ByteSize = ByteSize::new(10_000_000);

/// One daemon process and its settings.
pub(crate) struct Host {
    pub(crate) ports: HostPorts,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The daemons, the platform and the targets of one run.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformServer,
    pub(crate) engines: Vec<Engine>,
    pub(crate) desks: Vec<PlainService>,
    pub(crate) hosts: Vec<Host>,
    folder: PathBuf,
}

/// The response to a call, with its complete body.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

impl Host {
    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn start(&self) -> io::Result<()> {
        let program = std::env::current_exe()?.with_file_name("jacinthmoor");
        let child = Command::new(program)
            .args(["run", "--settings"])
            .arg(&self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        *self.child() = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            // `kill` fails if the process has already exited, and then there is nothing to do.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = self.child().as_ref() {
            // If the process has already exited, the signal has no effect.
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }
}

impl Fleet {
    /// Starts stand-ins and daemons, and applies a document that lists them.
    pub(crate) async fn start() -> Result<Self, String> {
        let fleet = Self::start_processes().await.map_err(|error| error.to_string())?;
        for host in 0..HOSTS {
            fleet.wait_for_members(host).await?;
        }
        fleet.post_document().await?;
        Ok(fleet)
    }

    async fn start_processes() -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("jacinthmoor-soak-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = PlatformServer::start(PlatformOptions::default()).await?;
        let mut fleet = Self {
            engines: Vec::new(),
            desks: Vec::new(),
            hosts: Vec::new(),
            platform,
            folder,
        };
        for _ in 0..ENGINES {
            fleet.engines.push(start_engine().await?);
        }
        for _ in 0..DESKS {
            let options = ServiceOptions {
                max_recorded_bytes: RECORDING_LIMIT_BYTES,
                ..ServiceOptions::default()
            };
            fleet.desks.push(PlainService::start(options).await?);
        }
        for (index, ports) in free_ports(HOSTS)?.into_iter().enumerate() {
            let host = write_host(&fleet.folder, index, ports, fleet.platform.address())?;
            host.start()?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    async fn wait_for_members(&self, host: usize) -> Result<(), String> {
        for _ in 0..START_ATTEMPTS {
            let live = |status: Value| {
                let members = status["members"].as_array()?.clone();
                Some(members.iter().filter(|member| member["live"] == true).count())
            };
            if self.status(host).await.and_then(live) == Some(HOSTS) {
                return Ok(());
            }
            task::sleep(START_INTERVAL).await;
        }
        Err(format!("host {host} does not list all members as live"))
    }

    async fn post_document(&self) -> Result<(), String> {
        let key = |name: &str, organisation: &str, secret: &str| {
            (name.to_owned(), organisation.to_owned(), secret.to_owned())
        };
        let text = document(&DocumentParts {
            engines: self.engines.iter().map(Engine::address).collect(),
            desks: self.desks.iter().map(PlainService::address).collect(),
            catalogues: Vec::new(),
            keys: vec![
                key("trainer", "kurpju", TRAINER_KEY),
                key("clerk", "parish", CLERK_KEY),
                key("spare", "parish", SPARE_KEY),
            ],
        });
        let document = jm_config::Document::parse("soak", &text).map_err(|error| format!("{error:?}"))?;
        let edit = |(name, body)| json!({"section": name, "expected": null, "body": body});
        let edits: Value = document.sections().map(edit).collect();
        match self.change(0, "start", 0, &edits).await {
            Some(answer) if answer.status == 200 => Ok(()),
            Some(answer) => Err(answer.body),
            None => Err("no response to the document".to_owned()),
        }
    }

    /// Sends a configuration change to one host.
    pub(crate) async fn change(&self, host: usize, id: &str, base: u64, edits: &Value) -> Option<Answer> {
        let author = json!({"actor": "soak", "team": null});
        let change = json!({"change_id": id, "author": author, "base": base, "edits": edits});
        let url = format!(
            "http://127.0.0.1:{}/admin/v1/config",
            self.hosts[host].ports.entry_admin
        );
        call(Method::Post, &url, ADMIN_TOKEN, None, change.to_string()).await
    }

    /// Returns the status report of one host, or `None` when the host does not return one.
    pub(crate) async fn status(&self, host: usize) -> Option<Value> {
        let url = format!(
            "http://127.0.0.1:{}/admin/v1/status",
            self.hosts[host].ports.entry_admin
        );
        let answer = call(Method::Get, &url, ADMIN_TOKEN, None, String::new()).await?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Returns the configuration in force at one host, or `None` when the host does not return it.
    pub(crate) async fn config(&self, host: usize) -> Option<Value> {
        let url = format!(
            "http://127.0.0.1:{}/admin/v1/config",
            self.hosts[host].ports.entry_admin
        );
        let answer = call(Method::Get, &url, ADMIN_TOKEN, None, String::new()).await?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Returns the URL of `path` on the caller port of one host.
    pub(crate) fn url(&self, host: usize, path: &str) -> String {
        format!("http://127.0.0.1:{}{path}", self.hosts[host].ports.entry)
    }

    /// Returns the caller addresses of all hosts.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let ports = self.hosts.iter().map(|host| host.ports.entry);
        ports
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect()
    }

    /// Kills every daemon and removes the generated settings.
    pub(crate) fn kill_all(&self) {
        for host in &self.hosts {
            host.kill();
        }
        // Generated settings that cannot be removed are harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_host(folder: &Path, index: usize, ports: HostPorts, platform: SocketAddr) -> io::Result<Host> {
    let settings = folder.join(format!("host-{index}.ini"));
    std::fs::write(&settings, settings_text(index, ports, platform))?;
    Ok(Host {
        ports,
        settings,
        child: Mutex::new(None),
    })
}

async fn start_engine() -> io::Result<Engine> {
    let model = SAMPLE_MODEL.parse().map_err(io::Error::other)?;
    let mut options = EngineOptions {
        seed: ENGINE_SEED,
        models: std::iter::once((model, VERSION)).collect(),
        max_recorded_bytes: RECORDING_LIMIT_BYTES,
        ..EngineOptions::default()
    };
    options.settings.tokens_per_s = Rate::new(ENGINE_RATE);
    Engine::start(options).await
}

/// Sends one request. Returns `None` when no complete response arrived within [`CALL_TIMEOUT`].
pub(crate) async fn call(
    method: Method,
    url: &str,
    key: &str,
    ticket: Option<&str>,
    body: String,
) -> Option<Answer> {
    let mut request = Request::new(method, Url::parse(url).ok()?);
    request.insert_header("authorization", format!("Bearer {key}"));
    if let Some(ticket) = ticket {
        request.insert_header("order-ticket", ticket);
    }
    request.set_body(body);
    let exchange = async {
        let mut response = Client::new(Limits::default()).send(request).await.ok()?;
        let body = read_body_to_end(response.take_body(), MAX_BODY_BYTES)
            .await
            .ok()?;
        Some(Answer {
            status: response.status().into(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
}
