//! `jm-bench-capacity`: measures the load on each daemon and on the store, for `docs/CAPACITY.md`.

use std::error::Error;

use bpaf::Bpaf;
use jm_bench::capacity::{daemons, members, memory, objects, peak_traffic, sockets};

/// Measures the load on daemons and on the store.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Traffic, CPU time and freshness of idle fleets, in virtual time.
    #[bpaf(command)]
    Members {
        /// Seconds of virtual time.
        #[bpaf(argument("SECONDS"), fallback(30))]
        seconds: u64,
    },
    /// Failure detection time and false alarms.
    #[bpaf(command)]
    Detection {
        /// Run only the fleet of this size.
        #[bpaf(argument("DAEMONS"), optional)]
        daemons: Option<usize>,
    },
    /// Propagation time of configuration revisions.
    #[bpaf(command)]
    Spread,
    /// The daily number of restarts within one minute.
    #[bpaf(command)]
    Churn,
    /// A network partition between regions.
    #[bpaf(command)]
    Regions,
    /// Traffic and age of load summaries.
    #[bpaf(command)]
    Summaries,
    /// Simultaneous restart of all daemons of a region.
    #[bpaf(command)]
    Restart,
    /// Membership agents on loopback sockets, in real time.
    #[bpaf(command)]
    Sockets {
        /// Seconds of real time for each size.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Object API calls of leases and watches.
    #[bpaf(command)]
    Store {
        /// Seconds of real time for each number of watchers.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Idle daemon processes that each run all roles.
    #[bpaf(command)]
    Daemons {
        /// Seconds of real time for each size.
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Memory per detector, ticket and queued request.
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
        Command::Summaries => peak_traffic::print_summaries(SEED),
        Command::Restart => peak_traffic::print_restart(SEED),
        Command::Sockets { seconds } => sockets::print_sockets(seconds)?,
        Command::Store { seconds } => objects::print_store(seconds)?,
        Command::Daemons { seconds } => daemons::print_daemons(seconds)?,
        Command::Memory => memory::print_memory()?,
    }
    Ok(())
}
