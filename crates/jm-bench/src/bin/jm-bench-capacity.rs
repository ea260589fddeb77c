//! Prints what each daemon has to carry, for `docs/CAPACITY.md`.

use std::error::Error;

use bpaf::Bpaf;
use jm_bench::capacity::{daemons, members, memory, objects, sockets, storms};

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
    Detection {
        /// Only the fleet of this size.
        #[bpaf(argument("DAEMONS"), optional)]
        daemons: Option<usize>,
    },
    /// Spread of configuration revisions.
    #[bpaf(command)]
    Spread,
    /// A day's restarts within a minute.
    #[bpaf(command)]
    Churn,
    /// Regions that lose each other.
    #[bpaf(command)]
    Regions,
    /// Traffic with load summaries.
    #[bpaf(command)]
    Summaries,
    /// All daemons of a region that restart at once.
    #[bpaf(command)]
    Restart,
    /// Agents on loopback sockets.
    #[bpaf(command)]
    Sockets {
        /// Seconds of real time for each size.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Calls of the object API.
    #[bpaf(command)]
    Store {
        /// Seconds of real time for each number of watchers.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Quiet daemon processes with every role.
    #[bpaf(command)]
    Daemons {
        /// Seconds of real time for each size.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Memory for one entry of each kind.
    #[bpaf(command)]
    Memory,
}

/// Seed of all random numbers.
const SEED: u64 = 1;

fn main() -> Result<(), Box<dyn Error>> {
    match command().run() {
        Command::Members { seconds } => members::print_cost(seconds, SEED),
        Command::Detection { daemons } => members::print_detection(SEED, daemons),
        Command::Spread => members::print_spread(SEED),
        Command::Churn => members::print_churn(SEED),
        Command::Regions => members::print_regions(SEED),
        Command::Summaries => storms::print_summaries(SEED),
        Command::Restart => storms::print_restart(SEED),
        Command::Sockets { seconds } => sockets::print_sockets(seconds)?,
        Command::Store { seconds } => objects::print_store(seconds)?,
        Command::Daemons { seconds } => daemons::print_daemons(seconds)?,
        Command::Memory => memory::print_memory()?,
    }
    Ok(())
}
