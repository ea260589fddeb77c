//! Starts a fleet of daemons in separate processes, with stand-ins in the process of the test.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use async_std::task;
use jacinthmoor::demo::{
    ADMIN_TOKEN, DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, settings_text,
};
use jm_http::{Client, Limits, Method, Request, Response, Url, read_body_to_end};
use jm_standins::{
    Engine, EngineOptions, PlainService, PlatformOptions, PlatformServer, ServiceOptions, StepRequest,
    Trainer, TrainerOptions,
};
use jm_types::{ByteSize, ModelId, WeightVersion};

pub(crate) const CLERK_KEY: &str = "test-clerk-key-000001";
pub(crate) const TRAINER_KEY: &str = "test-trainer-key-000001";
pub(crate) const ENGINE_SEED: u64 = 11;
pub(crate) const VERSION: WeightVersion = WeightVersion::new(5);

/// Checks of a condition before the test fails. With [`POLL_INTERVAL`] they allow 30 s, enough for a busy machine.
const POLL_ATTEMPTS: usize = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A daemon process with the roles of one host.
pub(crate) struct Daemon {
    pub(crate) ports: HostPorts,
    settings: PathBuf,
    child: Option<Child>,
}

/// Daemons, platform and targets of a test. Dropping the fleet kills its processes.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformServer,
    pub(crate) engines: Vec<Engine>,
    pub(crate) desks: Vec<PlainService>,
    pub(crate) daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// The parts of an HTTP response that tests check.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) ticket: Option<String>,
    /// The body, or an error when the connection closed before its end.
    pub(crate) body: io::Result<String>,
}

impl Answer {
    pub(crate) fn text(&self) -> &str {
        self.body.as_ref().expect("the body is complete")
    }

    /// Returns the result code in an error body, such as `JM2004`.
    pub(crate) fn code(&self) -> Option<String> {
        let json: serde_json::Value = serde_json::from_str(self.body.as_ref().ok()?).ok()?;
        Some(json.get("code")?.as_str()?.to_owned())
    }
}

impl Daemon {
    fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_jacinthmoor"))
            .args(["run", "--settings"])
            .arg(&self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    /// Sends a signal by its name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("the daemon runs").id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .expect("kill starts");
        assert!(status.success());
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process ends");
        }
    }

    /// Stops the process gracefully and waits until it exits with status 0.
    pub(crate) async fn stop(&mut self) {
        self.signal("TERM");
        let mut child = self.child.take().expect("the daemon runs");
        let status = task::spawn_blocking(move || child.wait())
            .await
            .expect("the process ends");
        assert!(status.success(), "the daemon exited with {status}");
    }

    pub(crate) fn restart(&mut self) {
        self.start();
    }

    /// Replaces an address in the settings, so that a connection goes through a relay after the next start.
    pub(crate) fn replace_address(&self, from: SocketAddr, to: SocketAddr) {
        let text = std::fs::read_to_string(&self.settings).expect("settings can be read");
        let text = text.replace(&from.to_string(), &to.to_string());
        std::fs::write(&self.settings, text).expect("settings are written");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        // The folder contains only generated settings, so an error of the removal is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts stand-ins and daemons, and applies a document that lists them.
    pub(crate) async fn start(hosts: usize, engines: usize, desks: usize) -> Self {
        let fleet = Self::start_empty(hosts, engines, desks).await;
        fleet.wait_until_ready().await;
        fleet.post_document().await;
        fleet.wait_until_serving().await;
        fleet
    }

    async fn start_empty(hosts: usize, engines: usize, desks: usize) -> Self {
        static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("jacinthmoor-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let platform = PlatformServer::start(PlatformOptions::default())
            .await
            .expect("the platform starts");
        let ports = free_ports(hosts).expect("ports are free");
        let mut daemons = Vec::new();
        for (index, ports) in ports.into_iter().enumerate() {
            let settings = folder.join(format!("host-{index}.ini"));
            std::fs::write(&settings, settings_text(index, ports, platform.address()))
                .expect("settings are written");
            daemons.push(Daemon {
                ports,
                settings,
                child: None,
            });
        }
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            desks: Vec::new(),
            daemons,
            folder,
        };
        for _ in 0..engines {
            fleet.engines.push(start_engine().await);
        }
        for _ in 0..desks {
            fleet.desks.push(
                PlainService::start(ServiceOptions::default())
                    .await
                    .expect("the service starts"),
            );
        }
        for daemon in &mut fleet.daemons {
            daemon.start();
        }
        fleet
    }

    /// Returns the document with every stand-in and key of the fleet.
    pub(crate) fn document(&self) -> String {
        let key =
            |name: &str, organisation: &str, secret: &str| (name.into(), organisation.into(), secret.into());
        document(&DocumentParts {
            engines: self.engines.iter().map(Engine::address).collect(),
            desks: self.desks.iter().map(PlainService::address).collect(),
            catalogues: Vec::new(),
            keys: vec![
                key("trainer", "kurpju", TRAINER_KEY),
                key("clerk", "parish", CLERK_KEY),
            ],
        })
    }

    async fn post_document(&self) {
        let answer = self.change("start", 0, &self.edits()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Returns edits that create every section of the document.
    fn edits(&self) -> serde_json::Value {
        let document = jm_config::Document::parse("test", &self.document()).expect("the document is valid");
        let edit = |(name, body)| serde_json::json!({"section": name, "expected": null, "body": body});
        document.sections().map(edit).collect()
    }

    /// Sends a change to the first daemon.
    pub(crate) async fn change(&self, id: &str, base: u64, edits: &serde_json::Value) -> Answer {
        let author = serde_json::json!({"actor": "test", "team": null});
        let change = serde_json::json!({"change_id": id, "author": author, "base": base, "edits": edits});
        let url = format!(
            "http://127.0.0.1:{}/admin/v1/config",
            self.daemons[0].ports.entry_admin
        );
        call(
            Method::Post,
            &url,
            Some(ADMIN_TOKEN),
            &[],
            change.to_string().as_bytes(),
        )
        .await
        .expect("an answer")
    }

    /// Waits until every daemon is ready and lists all members as live.
    pub(crate) async fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            let url = format!("http://127.0.0.1:{}/readyz", daemon.ports.entry_admin);
            wait_for("readiness", || status_is(&url, 200)).await;
        }
        for index in 0..self.daemons.len() {
            wait_for("the other daemons", || self.lists_all_members_live(index)).await;
        }
    }

    /// Returns whether a daemon lists all daemons of the fleet as live.
    async fn lists_all_members_live(&self, index: usize) -> bool {
        let Some(status) = self.status(index).await else {
            return false;
        };
        let members = status["members"].as_array();
        let live = members.map(|all| all.iter().filter(|member| member["live"] == true).count());
        live == Some(self.daemons.len())
    }

    /// Waits until every daemon can reach a dispatch daemon for each service.
    pub(crate) async fn wait_until_serving(&self) {
        for index in 0..self.daemons.len() {
            if !self.engines.is_empty() {
                wait_for("engines", || async move {
                    self.complete(index, 1).await.is_some_and(|a| a.status == 200)
                })
                .await;
            }
            if !self.desks.is_empty() {
                wait_for("desks", || async move {
                    self.read_orders(index).await.is_some_and(|a| a.status == 200)
                })
                .await;
            }
        }
    }

    /// Requests a live completion from one daemon with the clerk's key. Returns `None` when there is no response.
    pub(crate) async fn complete(&self, daemon: usize, tokens: u64) -> Option<Answer> {
        let body = format!(r#"{{"service":"drafts","prompt":"a rack","max_tokens":{tokens}}}"#);
        let url = self.caller_url(daemon, "/v1/completions");
        call(Method::Post, &url, Some(CLERK_KEY), &[], body.as_bytes()).await
    }

    async fn read_orders(&self, daemon: usize) -> Option<Answer> {
        let url = self.caller_url(daemon, "/v1/services/order-desk/orders");
        call(Method::Get, &url, Some(CLERK_KEY), &[], b"").await
    }

    /// Fetches the report on error budget burn from one daemon.
    pub(crate) async fn burn_report(&self, daemon: usize) -> Answer {
        let port = self.daemons[daemon].ports.entry_admin;
        let url = format!("http://127.0.0.1:{port}/admin/v1/report/burn");
        let answer = call(Method::Get, &url, Some(ADMIN_TOKEN), &[], b"").await;
        answer.expect("an answer")
    }

    /// Requests a ticket for the order desk.
    pub(crate) async fn ticket(&self, daemon: usize) -> String {
        let url = self.caller_url(daemon, "/v1/tickets");
        let answer = call(
            Method::Post,
            &url,
            Some(CLERK_KEY),
            &[],
            br#"{"service":"order-desk"}"#,
        )
        .await;
        let answer = answer.expect("an answer");
        let json: serde_json::Value = serde_json::from_str(answer.text()).expect("JSON");
        json["ticket"]
            .as_str()
            .unwrap_or_else(|| panic!("no ticket in {answer:?}"))
            .to_owned()
    }

    /// Sends an order with a request id, by which the stand-in counts executions.
    pub(crate) async fn order(&self, daemon: usize, id: &str, headers: &[(&str, &str)]) -> Option<Answer> {
        let url = self.caller_url(daemon, "/v1/services/order-desk/orders");
        let body = format!(r#"{{"request_id":"{id}"}}"#);
        call(Method::Post, &url, Some(CLERK_KEY), headers, body.as_bytes()).await
    }

    /// Returns how often the order desks executed an order.
    pub(crate) fn executions(&self, id: &str) -> u64 {
        self.desks.iter().map(|desk| desk.executions(id)).sum()
    }

    /// Creates a trainer that reads from every daemon in turn.
    pub(crate) fn trainer(&self) -> Trainer {
        Trainer::new(self.trainer_options())
    }

    pub(crate) fn trainer_options(&self) -> TrainerOptions {
        TrainerOptions {
            addresses: self
                .daemons
                .iter()
                .map(|daemon| loopback(daemon.ports.entry))
                .collect(),
            key: Some(TRAINER_KEY.to_owned()),
            engine_seed: Some(ENGINE_SEED),
            max_failures: 400,
            ..TrainerOptions::default()
        }
    }

    pub(crate) fn caller_url(&self, daemon: usize, path: &str) -> String {
        format!("http://127.0.0.1:{}{path}", self.daemons[daemon].ports.entry)
    }
}

/// Creates a request for a step with groups of four samples.
pub(crate) fn step(name: &str, samples: u64, tokens: u64) -> StepRequest {
    StepRequest {
        step: name.parse().expect("a valid id"),
        service: "drafts".parse().expect("a valid id"),
        weight_version: VERSION,
        staleness_bound: 1,
        group_size: 4,
        samples,
        prompts: (0..samples / 4)
            .map(|group| format!("floor note {group}"))
            .collect(),
        max_tokens: tokens,
        held: Vec::new(),
    }
}

async fn start_engine() -> Engine {
    let model: ModelId = SAMPLE_MODEL.parse().expect("a valid id");
    let models = std::iter::once((model, VERSION)).collect();
    let options = EngineOptions {
        seed: ENGINE_SEED,
        models,
        ..EngineOptions::default()
    };
    Engine::start(options).await.expect("the engine starts")
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Polls until `condition` holds. The test fails after [`POLL_ATTEMPTS`] checks.
pub(crate) async fn wait_for<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..POLL_ATTEMPTS {
        if condition().await {
            return;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {what}");
}

async fn status_is(url: &str, status: u16) -> bool {
    call(Method::Get, url, None, &[], b"")
        .await
        .is_some_and(|answer| answer.status == status)
}

/// Sends one HTTP request. Returns `None` when there is no response.
pub(crate) async fn call(
    method: Method,
    url: &str,
    key: Option<&str>,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut request = Request::new(method, Url::parse(url).expect("a valid URL"));
    if let Some(key) = key {
        request.insert_header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body.to_vec());
    let mut response: Response = Client::new(Limits::default()).send(request).await.ok()?;
    let body = read_body_to_end(response.take_body(), ByteSize::new(10_000_000)).await;
    Some(Answer {
        status: response.status().into(),
        ticket: response
            .header("jm-ticket")
            .map(|value| value.last().as_str().to_owned()),
        body: body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
    })
}
