//! Runs the demonstration and prints the results.

use std::{io, iter::once, net::SocketAddr, sync::Arc};

use async_std::task;
use futures::future::join_all;
use jm_config::{ConfigErrors, Settings};
use jm_http::{Client, ClientError, Limits, Method, Request, Url, read_body_to_end};
use jm_node::Platform;
use jm_platform::MemoryPlatform;
use jm_standins::{
    Engine, EngineOptions, PlainService, ServiceOptions, StepError, StepRequest, StepResult, Trainer,
    TrainerOptions,
};
use jm_types::{ByteSize, DurationMs, ModelId, WeightVersion};
use snafu::{OptionExt, ResultExt, Snafu};

use super::fleet::{
    ADMIN_TOKEN, DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, settings_text,
};
use crate::daemon::{Process, ProcessOptions, StartError};

const HOSTS: usize = 3;
const ENGINES: usize = 3;
const SAMPLES: u64 = 64;
const GROUP_SIZE: u64 = 4;
const SAMPLE_TOKENS: u64 = 24;
const ENGINE_SEED: u64 = 7;
const VERSION: WeightVersion = WeightVersion::new(3);
const TRAINER_KEY: &str = "demonstration-trainer-key-0001";
const CLERK_KEY: &str = "demonstration-clerk-key-0001";
const MAX_RESPONSE_BYTES: ByteSize = ByteSize::new(1_000_000);

/// Limit on the checks whether the fleet serves requests after its start.
const START_ATTEMPTS: usize = 200;
const START_POLL_MS: DurationMs = DurationMs::new(25);

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A stand-in could not start, or no port was free.
    #[snafu(display("cannot start a stand-in: {source}"))]
    StandIn {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The generated settings or the generated document is not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// All errors found.
        source: ConfigErrors,
    },
    /// The daemons of a host could not start.
    #[snafu(display("{source}"))]
    Start {
        /// Underlying error.
        source: StartError,
    },
    /// An HTTP call failed without a response.
    #[snafu(display("{source}"))]
    Call {
        /// Underlying error.
        source: ClientError,
    },
    /// The training step did not finish.
    #[snafu(display("training step: {source}"))]
    Step {
        /// Underlying error.
        source: StepError,
    },
    /// A response or a result differs from the expected one.
    #[snafu(display("unexpected response: {reason}"))]
    Unexpected {
        /// The response or a description of the difference.
        reason: String,
    },
}

struct StandIns {
    engines: Vec<Engine>,
    desk: PlainService,
}

/// Runs a live completion, an order and a training step, prints the report on error budget burn and stops the fleet.
///
/// # Errors
///
/// Fails when a daemon or stand-in cannot start, or when a response differs from the expected one.
pub async fn run_demo() -> Result<(), DemoError> {
    let stand_ins = start_stand_ins().await?;
    let ports = free_ports(HOSTS).context(StandInSnafu)?;
    let processes = start_processes(&ports).await?;
    apply_document(&stand_ins, &ports).await?;
    wait_until_serving(ports[0]).await?;
    println!("live answer: {}", live_answer(ports[0]).await?);
    println!("order: {}", place_order(ports[1]).await?);
    let step = run_step(&ports).await?;
    println!(
        "training step: {} samples, {} lines read",
        step.samples.len(),
        step.lines
    );
    for violation in &step.violations {
        println!("violation: {violation:?}");
    }
    snafu::ensure!(
        step.violations.is_empty(),
        UnexpectedSnafu {
            reason: "the training step violated an invariant"
        }
    );
    println!("{}", burn_report(ports[0]).await?);
    join_all(processes.into_iter().map(Process::stop)).await;
    for engine in stand_ins.engines {
        engine.stop().await;
    }
    stand_ins.desk.stop().await;
    println!("stopped");
    Ok(())
}

async fn start_stand_ins() -> Result<StandIns, DemoError> {
    let model: ModelId = SAMPLE_MODEL.parse().expect("the constant is a valid id");
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let models = once((ModelId::clone(&model), VERSION)).collect();
        let options = EngineOptions {
            seed: ENGINE_SEED,
            models,
            ..EngineOptions::default()
        };
        engines.push(Engine::start(options).await.context(StandInSnafu)?);
    }
    let desk = PlainService::start(ServiceOptions::default())
        .await
        .context(StandInSnafu)?;
    Ok(StandIns { engines, desk })
}

async fn start_processes(ports: &[HostPorts]) -> Result<Vec<Process>, DemoError> {
    let memory = Arc::new(MemoryPlatform::default());
    let platform = Platform {
        objects: Arc::clone(&memory) as _,
        hosts: Arc::clone(&memory) as _,
        targets: Arc::clone(&memory) as _,
        usage: Arc::clone(&memory) as _,
        weights: memory,
    };
    let mut processes = Vec::new();
    for (index, ports) in ports.iter().enumerate() {
        // The platform address in the settings is unused, because the platform is in memory.
        let text = settings_text(index, *ports, SocketAddr::from(([127, 0, 0, 1], 1)));
        let settings = Settings::parse("demonstration", &text).context(SettingsSnafu)?;
        let roles = settings.daemon.roles.clone();
        let options = ProcessOptions {
            settings,
            roles,
            platform: platform.clone(),
        };
        processes.push(Process::start(options).context(StartSnafu)?);
    }
    for process in &processes {
        process.ready().await;
    }
    Ok(processes)
}

async fn apply_document(stand_ins: &StandIns, ports: &[HostPorts]) -> Result<(), DemoError> {
    let key =
        |name: &str, organisation: &str, secret: &str| (name.into(), organisation.into(), secret.into());
    let parts = DocumentParts {
        engines: stand_ins.engines.iter().map(Engine::address).collect(),
        desks: vec![stand_ins.desk.address()],
        catalogues: Vec::new(),
        keys: vec![
            key("trainer", "kurpju", TRAINER_KEY),
            key("clerk", "parish", CLERK_KEY),
        ],
    };
    let accepted = post_document(ports[0].entry_admin, &document(&parts)).await?;
    println!("configuration: {accepted}");
    Ok(())
}

/// Sends a complete document to a fleet without configuration and returns the response body. `admin_port` is the admin
/// port of an entry daemon on loopback.
///
/// # Errors
///
/// Fails when the document is not valid or the entry daemon does not accept it.
pub async fn post_document(admin_port: u16, text: &str) -> Result<String, DemoError> {
    let document = jm_config::Document::parse("demonstration", text).context(SettingsSnafu)?;
    let edits: Vec<_> = document
        .sections()
        .map(|(name, body)| serde_json::json!({"section": name, "expected": null, "body": body}))
        .collect();
    let change = serde_json::json!({
        "change_id": "demonstration", "author": {"actor": "demonstration", "team": null}, "base": 0, "edits": edits,
    });
    let url = format!("http://127.0.0.1:{admin_port}/admin/v1/config");
    call(Method::Post, &url, ADMIN_TOKEN, change.to_string().as_bytes()).await
}

async fn call(method: Method, url: &str, key: &str, body: &[u8]) -> Result<String, DemoError> {
    let url = Url::parse(url).ok().context(UnexpectedSnafu {
        reason: "the URL is not valid",
    })?;
    let mut request = Request::new(method, url);
    request.insert_header("authorization", format!("Bearer {key}"));
    request.insert_header("content-type", "application/json");
    request.set_body(body.to_vec());
    let mut response = Client::new(Limits::default())
        .send(request)
        .await
        .context(CallSnafu)?;
    let body = read_body_to_end(response.take_body(), MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| DemoError::Unexpected {
        reason: error.to_string(),
    })?;
    let text = String::from_utf8_lossy(&body).trim().to_owned();
    snafu::ensure!(response.status().is_success(), UnexpectedSnafu { reason: text });
    Ok(text)
}

/// Repeats a live completion until it succeeds. The load and the weight versions of the engines reach the entry
/// daemons a short time after the document.
async fn wait_until_serving(ports: HostPorts) -> Result<(), DemoError> {
    let mut last = Ok(String::new());
    for _ in 0..START_ATTEMPTS {
        last = live_answer(ports).await;
        if last.is_ok() {
            return Ok(());
        }
        task::sleep(START_POLL_MS.as_std()).await;
    }
    last.map(|_| ())
}

async fn live_answer(ports: HostPorts) -> Result<String, DemoError> {
    let body = r#"{"service":"drafts","prompt":"A rack for twelve pairs of shoes","max_tokens":8}"#;
    let url = format!("http://127.0.0.1:{}/v1/completions", ports.entry);
    let answer = call(Method::Post, &url, CLERK_KEY, body.as_bytes()).await?;
    let last = answer.lines().last().unwrap_or_default().to_owned();
    snafu::ensure!(last.contains("\"done\":true"), UnexpectedSnafu { reason: answer });
    Ok(last)
}

async fn place_order(ports: HostPorts) -> Result<String, DemoError> {
    let url = format!("http://127.0.0.1:{}/v1/services/order-desk/orders", ports.entry);
    call(Method::Post, &url, CLERK_KEY, br#"{"rack":"oak, twelve pairs"}"#).await
}

async fn run_step(ports: &[HostPorts]) -> Result<StepResult, DemoError> {
    let prompts = (0..SAMPLES / GROUP_SIZE)
        .map(|group| format!("Draft a rack layout for floor note {group}"))
        .collect();
    let step = StepRequest {
        step: "demonstration-1".parse().expect("the constant is a valid id"),
        service: "drafts".parse().expect("the constant is a valid id"),
        weight_version: VERSION,
        staleness_bound: 1,
        group_size: GROUP_SIZE,
        samples: SAMPLES,
        prompts,
        max_tokens: SAMPLE_TOKENS,
        held: Vec::new(),
    };
    let options = TrainerOptions {
        addresses: ports
            .iter()
            .map(|ports| SocketAddr::from(([127, 0, 0, 1], ports.entry)))
            .collect(),
        key: Some(TRAINER_KEY.to_owned()),
        engine_seed: Some(ENGINE_SEED),
        ..TrainerOptions::default()
    };
    Trainer::new(options).run(&step).await.context(StepSnafu)
}

async fn burn_report(ports: HostPorts) -> Result<String, DemoError> {
    let url = format!("http://127.0.0.1:{}/admin/v1/report/burn", ports.entry_admin);
    call(Method::Get, &url, ADMIN_TOKEN, b"").await
}
