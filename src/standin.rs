//! Commands that run a stand-in as a process of its own, for trials with separate processes.

use std::{io, net::SocketAddr};

use bpaf::{OptionParser, Parser, construct};
use jm_node::stop_on_signals;
use jm_standins::{
    EngineOptions, PlatformOptions, ServiceOptions, engine_arguments, platform_arguments, run_engine,
    run_platform, run_service, service_arguments,
};

/// `standin ...`
pub enum StandInCommand {
    /// The platform.
    Platform(PlatformOptions),
    /// An engine.
    Engine(EngineOptions),
    /// A plain service.
    Service(ServiceOptions),
}

/// The parser of the stand-in commands.
pub fn stand_in_command() -> impl Parser<StandInCommand> {
    let platform = described(platform_arguments(), "Run a platform stand-in")
        .command("platform")
        .map(StandInCommand::Platform);
    let engine = described(engine_arguments(), "Run an engine stand-in")
        .command("engine")
        .map(StandInCommand::Engine);
    let service = described(service_arguments(), "Run a plain service stand-in")
        .command("service")
        .map(StandInCommand::Service);
    construct!([platform, engine, service])
        .to_options()
        .descr("Run a stand-in for trials; never part of a deployment")
        .command("standin")
}

fn described<T: 'static>(parser: impl Parser<T> + 'static, description: &'static str) -> OptionParser<T> {
    parser.to_options().descr(description)
}

impl StandInCommand {
    /// Runs the stand-in until the first SIGTERM or SIGINT and prints its address.
    ///
    /// # Errors
    ///
    /// Fails when its address cannot be bound.
    pub async fn run(self) -> io::Result<()> {
        match self {
            Self::Platform(options) => run_platform(options, print_address, stopped()).await,
            Self::Engine(options) => run_engine(options, print_address, stopped()).await,
            Self::Service(options) => run_service(options, print_address, stopped()).await,
        }
    }
}

fn print_address(address: SocketAddr) {
    println!("listening on {address}");
}

async fn stopped() {
    if let Err(error) = stop_on_signals().await {
        eprintln!("cannot receive signals: {error}");
    }
}
