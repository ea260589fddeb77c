//! Random faults on separate daemon processes under a mixed load.
//!
//! `docs/soak.md` describes the faults and the invariants. The program `jacinthmoor` must lie beside this one.

#![deny(missing_docs, unsafe_code)]

mod faults;
mod fleet;
mod ledger;
mod load;

use std::{process::ExitCode, sync::Arc, time::Duration};

use async_std::task;
use bpaf::{OptionParser, Parser, construct, long};

use crate::{fleet::Fleet, ledger::Ledger};

/// What the command line asks for.
#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    seconds: u64,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of the faults")
        .argument("NUMBER")
        .fallback(1);
    let seconds = long("seconds")
        .help("Time for which faults are brought about")
        .argument("SECONDS")
        .fallback(60);
    construct!(Options { seed, seconds })
        .to_options()
        .descr("Brings random faults about and checks what must always hold")
}

fn main() -> ExitCode {
    let options = options().run();
    task::block_on(run(options))
}

async fn run(options: Options) -> ExitCode {
    let fleet = match Fleet::start().await {
        Ok(fleet) => Arc::new(fleet),
        Err(reason) => {
            eprintln!("the fleet does not start: {reason}");
            return ExitCode::FAILURE;
        }
    };
    let ledger = Arc::new(Ledger::default());
    let load = load::start(&fleet, &ledger);
    let duration = Duration::from_secs(options.seconds);
    faults::run(&fleet, &ledger, options.seed, duration).await;
    ledger.stop();
    for task in load {
        task.await;
    }
    ledger.check_orders(&fleet);
    ledger.check_keys(&fleet);
    fleet.kill_all();
    println!("seed {}, {} s", options.seed, options.seconds);
    print!("{ledger}");
    match ledger.first_violation() {
        Some(violation) => {
            println!("first violation: {violation}");
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}
