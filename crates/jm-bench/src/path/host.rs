//! Runs the daemons of one host and the stand-ins of its targets in the benchmark's own process.

use std::{io, net::SocketAddr, sync::Arc};

use async_std::task;
use jacinthmoor::{
    daemon::{Process, ProcessOptions},
    demo::{DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, post_document, settings_text},
};
use jm_config::Settings;
use jm_node::Platform;
use jm_platform::MemoryPlatform;
use jm_standins::{Engine, EngineOptions, EngineSettings, PlainService, ServiceOptions};
use jm_types::{DurationMs, Rate, WeightVersion};

/// API key of the generated requests.
pub(super) const KEY: &str = "benchmark-key-000001";

/// Tokens per second of the engine, high enough that the path is the bottleneck and not the engine.
const ENGINE_TOKENS_PER_S: f64 = 2_000_000.0;

/// Window of the engine: its maximum number of tokens in flight.
const WINDOW_TOKENS: u64 = 10_000_000;

/// Wait for the configuration and the load summaries to reach the entry daemon.
const SETTLE_TIME_MS: DurationMs = DurationMs::new(1_500);

/// The running daemons of a host with its stand-ins.
pub(super) struct Host {
    pub(super) ports: HostPorts,
    pub(super) service: PlainService,
    pub(super) engine: Engine,
    process: Process,
}

impl Host {
    /// Starts the stand-ins and the daemons, and applies a configuration that names the stand-ins as targets.
    pub(super) async fn start(stream_tokens_per_s: f64) -> io::Result<Self> {
        let service = PlainService::start(ServiceOptions::default()).await?;
        let engine = Engine::start(engine_options(stream_tokens_per_s)).await?;
        let ports = free_ports(1)?[0];
        let process = start_process(ports).await?;
        process.ready().await;
        let text = document(&DocumentParts {
            engines: vec![engine.address()],
            desks: vec![service.address()],
            catalogues: Vec::new(),
            keys: vec![("clerk".into(), "parish".into(), KEY.into())],
        });
        let window = format!("service = drafts\nwindow_tokens = {WINDOW_TOKENS}\nzone");
        let text = text.replace("service = drafts\nzone", &window);
        post_document(ports.entry_admin, &text)
            .await
            .map_err(io::Error::other)?;
        task::sleep(SETTLE_TIME_MS.as_std()).await;
        Ok(Self {
            ports,
            service,
            engine,
            process,
        })
    }

    pub(super) async fn stop(self) {
        self.process.stop().await;
        self.engine.stop().await;
        self.service.stop().await;
    }
}

fn engine_options(stream_tokens_per_s: f64) -> EngineOptions {
    let model = SAMPLE_MODEL.parse().expect("the constant is a valid id");
    EngineOptions {
        models: std::iter::once((model, WeightVersion::new(1))).collect(),
        settings: EngineSettings {
            tokens_per_s: Rate::new(ENGINE_TOKENS_PER_S),
            stream_tokens_per_s: Rate::new(stream_tokens_per_s),
            ..EngineSettings::default()
        },
        ..EngineOptions::default()
    }
}

async fn start_process(ports: HostPorts) -> io::Result<Process> {
    let memory = Arc::new(MemoryPlatform::default());
    let platform = Platform {
        objects: Arc::clone(&memory) as _,
        hosts: Arc::clone(&memory) as _,
        targets: Arc::clone(&memory) as _,
        usage: Arc::clone(&memory) as _,
        weights: memory,
    };
    let text = settings_text(0, ports, SocketAddr::from(([127, 0, 0, 1], 1)));
    let mut settings = Settings::parse("benchmark", &text).map_err(io::Error::other)?;
    settings.limits.connections = 10_000;
    let roles = settings.daemon.roles.clone();
    Process::start(ProcessOptions {
        settings,
        roles,
        platform,
    })
    .map_err(io::Error::other)
}
