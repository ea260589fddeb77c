//! Command-line options of the stand-ins, and functions that run a stand-in until a stop future resolves.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use async_std::io;
use bpaf::{Parser, construct, long};
use jm_platform::{MemoryOptions, MemoryPlatform, SpareTarget, TargetKind};
use jm_types::{DurationMs, ModelId, Rate, WeightVersion};

use crate::{
    Engine, EngineOptions, EngineSettings, Faults, PlainService, PlatformOptions, PlatformServer,
    ServiceOptions, server::any_loopback_port,
};

/// Parser for the options of `standin platform`.
pub fn platform_arguments() -> impl Parser<PlatformOptions> {
    let listen = listen();
    let spares = long("spare")
        .help("Target that can be ordered; may be repeated")
        .argument::<SpareArgument>("ID,ZONE,regular|cheap,ADDRESS")
        .many();
    let ignore_fencing = long("ignore-fencing")
        .help("Accept target orders with an old fencing number")
        .switch();
    let delay_ms = duration("delay", "Delay before each call takes effect");
    let lose_every = long("lose-every")
        .help("Lose the response to every n-th change; 0 loses none")
        .argument::<u64>("N")
        .fallback(0);
    construct!(PlatformArguments {
        listen,
        spares,
        ignore_fencing,
        delay_ms,
        lose_every
    })
    .map(PlatformArguments::into_options)
}

/// Parser for the options of `standin engine`.
pub fn engine_arguments() -> impl Parser<EngineOptions> {
    let listen = listen();
    let seed = long("seed")
        .help("Seed of the generated tokens")
        .argument::<u64>("N")
        .fallback(0);
    let models = long("model")
        .help("Loaded model and its version; may be repeated")
        .argument::<ModelArgument>("MODEL=VERSION")
        .many();
    let cache_blocks = long("cache-blocks")
        .help("Size of the prefix cache in blocks of 64 bytes")
        .argument::<usize>("N")
        .fallback(EngineOptions::default().cache_blocks);
    let settings = engine_settings();
    construct!(EngineArguments {
        listen,
        seed,
        models,
        cache_blocks,
        settings
    })
    .map(EngineArguments::into_options)
}

/// Parser for the options of `standin service`.
pub fn service_arguments() -> impl Parser<ServiceOptions> {
    let listen = listen();
    let name = long("name")
        .help("Name of the service in each response")
        .argument::<String>("NAME")
        .fallback("service".to_owned());
    let processing_time_ms = duration("work", "Processing time of each request");
    construct!(ServiceArguments {
        listen,
        name,
        processing_time_ms
    })
    .map(ServiceArguments::into_options)
}

/// Runs a platform stand-in until `stop` resolves; `ready` is called with its address once it listens.
pub async fn run_platform(
    options: PlatformOptions,
    ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let server = PlatformServer::start(options).await?;
    ready(server.address());
    stop.await;
    server.stop().await;
    Ok(())
}

/// Runs an engine until `stop` resolves; `ready` is called with its address once it listens.
pub async fn run_engine(
    options: EngineOptions,
    ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let engine = Engine::start(options).await?;
    ready(engine.address());
    stop.await;
    engine.stop().await;
    Ok(())
}

/// Runs a plain service until `stop` resolves; `ready` is called with its address once it listens.
pub async fn run_service(
    options: ServiceOptions,
    ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let service = PlainService::start(options).await?;
    ready(service.address());
    stop.await;
    service.stop().await;
    Ok(())
}

struct PlatformArguments {
    listen: SocketAddr,
    spares: Vec<SpareArgument>,
    ignore_fencing: bool,
    delay_ms: DurationMs,
    lose_every: u64,
}

impl PlatformArguments {
    fn into_options(self) -> PlatformOptions {
        let platform = MemoryPlatform::new(MemoryOptions {
            check_fencing: !self.ignore_fencing,
            ..MemoryOptions::default()
        });
        for spare in self.spares {
            platform.add_spare(spare.0);
        }
        let faults = Faults {
            delay_ms: self.delay_ms,
            lose_every: self.lose_every,
            ..Faults::default()
        };
        PlatformOptions {
            listen: self.listen,
            platform,
            faults,
            ..PlatformOptions::default()
        }
    }
}

struct EngineArguments {
    listen: SocketAddr,
    seed: u64,
    models: Vec<ModelArgument>,
    cache_blocks: usize,
    settings: EngineSettings,
}

impl EngineArguments {
    fn into_options(self) -> EngineOptions {
        let models: BTreeMap<_, _> = self
            .models
            .into_iter()
            .map(|model| (model.model, model.version))
            .collect();
        EngineOptions {
            listen: self.listen,
            seed: self.seed,
            models,
            cache_blocks: self.cache_blocks,
            settings: self.settings,
            ..EngineOptions::default()
        }
    }
}

struct ServiceArguments {
    listen: SocketAddr,
    name: String,
    processing_time_ms: DurationMs,
}

impl ServiceArguments {
    fn into_options(self) -> ServiceOptions {
        ServiceOptions {
            listen: self.listen,
            name: self.name,
            processing_time_ms: self.processing_time_ms,
            ..ServiceOptions::default()
        }
    }
}

/// A target written as `ID,ZONE,regular|cheap,ADDRESS`.
struct SpareArgument(SpareTarget);

impl FromStr for SpareArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<_> = text.split(',').collect();
        let [id, zone, kind, address] = parts.as_slice() else {
            return Err(format!(
                "{text:?} needs four parts: ID,ZONE,regular|cheap,ADDRESS"
            ));
        };
        let kind = match *kind {
            "regular" => TargetKind::Regular,
            "cheap" => TargetKind::Cheap,
            other => return Err(format!("{other:?} is neither regular nor cheap")),
        };
        Ok(Self(SpareTarget {
            id: parse(id)?,
            zone: parse(zone)?,
            kind,
            address: parse(address)?,
        }))
    }
}

/// A model and its version, written as `MODEL=VERSION`.
struct ModelArgument {
    model: ModelId,
    version: WeightVersion,
}

impl FromStr for ModelArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (model, version) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?} needs the form MODEL=VERSION"))?;
        Ok(Self {
            model: parse(model)?,
            version: parse(version)?,
        })
    }
}

fn parse<T: FromStr<Err: ToString>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 lets the system choose")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(any_loopback_port())
}

fn duration(name: &'static str, help: &'static str) -> impl Parser<DurationMs> {
    long(name)
        .help(help)
        .argument::<DurationMs>("DURATION")
        .fallback(DurationMs::default())
}

fn rate(name: &'static str, help: &'static str, fallback: Rate) -> impl Parser<Rate> {
    long(name).help(help).argument::<Rate>("RATE").fallback(fallback)
}

fn engine_settings() -> impl Parser<EngineSettings> {
    let defaults = EngineSettings::default();
    let tokens_per_s = rate(
        "tokens-per-s",
        "Tokens per second shared by all streams",
        defaults.tokens_per_s,
    );
    let stream_tokens_per_s = rate(
        "stream-tokens-per-s",
        "Maximum tokens per second of one stream",
        defaults.stream_tokens_per_s,
    );
    let cache_event_delay_ms = duration("cache-event-delay", "Delay before a cache event is published");
    let cache_event_gap = long("cache-event-gap")
        .help("Omit every n-th cache event; 0 omits none")
        .argument::<u64>("N")
        .fallback(0);
    let load_lag_ms = duration("load-lag", "Age of the state in the load response");
    let check_fencing = long("ignore-fencing")
        .help("Accept orders with an old fencing number")
        .flag(false, true);
    let order_time_ms = duration("order-time", "Processing time of an order");
    let failing_orders = long("failing-orders")
        .help("Number of orders that fail")
        .argument::<u64>("N")
        .fallback(0);
    construct!(EngineSettings {
        tokens_per_s,
        stream_tokens_per_s,
        cache_event_delay_ms,
        cache_event_gap,
        load_lag_ms,
        check_fencing,
        order_time_ms,
        failing_orders
    })
}
