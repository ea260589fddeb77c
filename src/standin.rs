//! Commands that run a stand-in in a separate process, for tests with several processes.

use std::{io, net::SocketAddr};

use bpaf::{OptionParser, Parser, construct};
use jm_node::stop_on_signals;
use jm_standins::{
    EngineOptions, PlatformOptions, ServiceOptions, engine_arguments, platform_arguments, run_engine,
    run_platform, run_service, service_arguments,
};

/// Subcommands of `standin`, each with the options of its stand-in.
pub enum StandInCommand {
    /// The users' platform: object store, host list, targets, usage reports and weights.
    Platform(PlatformOptions),
    /// An inference engine.
    Engine(EngineOptions),
    /// An instance of a plain HTTP service.
    Service(ServiceOptions),
}

/// Returns the parser of the `standin` command with its subcommands.
pub fn stand_in_command() -> impl Parser<StandInCommand> {
    let platform = with_description(platform_arguments(), "Run a platform stand-in")
        .command("platform")
        .map(StandInCommand::Platform);
    let engine = with_description(engine_arguments(), "Run an engine stand-in")
        .command("engine")
        .map(StandInCommand::Engine);
    let service = with_description(service_arguments(), "Run a plain service stand-in")
        .command("service")
        .map(StandInCommand::Service);
    construct!([platform, engine, service])
        .to_options()
        .descr("Run a stand-in for tests; not for use in a deployment")
        .command("standin")
}

fn with_description<T: 'static>(
    parser: impl Parser<T> + 'static,
    description: &'static str,
) -> OptionParser<T> {
    parser.to_options().descr(description)
}

impl StandInCommand {
    /// Prints the address of the stand-in and runs it until the first SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn run(self) -> io::Result<()> {
        match self {
            Self::Platform(options) => run_platform(options, print_address, stop_signal()).await,
            Self::Engine(options) => run_engine(options, print_address, stop_signal()).await,
            Self::Service(options) => run_service(options, print_address, stop_signal()).await,
        }
    }
}

fn print_address(address: SocketAddr) {
    println!("listening on {address}");
}

async fn stop_signal() {
    if let Err(error) = stop_on_signals().await {
        eprintln!("cannot receive signals: {error}");
    }
}
