//! Prints what each daemon has to carry, for `docs/CAPACITY.md`.

use bpaf::Bpaf;
use jm_bench::capacity::members;

/// Measures capacity.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Traffic, processor time and freshness of quiet fleets, in virtual time.
    #[bpaf(command)]
    Members {
        /// Seconds of virtual time.
        #[bpaf(argument("SECONDS"), fallback(30))]
        seconds: u64,
    },
    /// Detection time and false alarms.
    #[bpaf(command)]
    Detection,
    /// Spread of configuration revisions.
    #[bpaf(command)]
    Spread,
    /// A day's restarts within a minute.
    #[bpaf(command)]
    Churn,
    /// Regions that lose each other.
    #[bpaf(command)]
    Regions,
}

/// Seed of all random numbers.
const SEED: u64 = 1;

fn main() {
    match command().run() {
        Command::Members { seconds } => members::print_cost(seconds, SEED),
        Command::Detection => members::print_detection(SEED),
        Command::Spread => members::print_spread(SEED),
        Command::Churn => members::print_churn(SEED),
        Command::Regions => members::print_regions(SEED),
    }
}
