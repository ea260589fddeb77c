//! Soak test that injects random faults into separate daemon processes under a mixed load.
//!
//! `docs/soak.md` describes the faults and the invariants. The executable `jacinthmoor` must be in the same directory
//! as this one.

#![deny(missing_docs, unsafe_code)]

mod faults;
mod fleet;
mod load;
mod run_record;

use std::{process::ExitCode, sync::Arc, time::Duration};

use async_std::task;
use bpaf::{OptionParser, Parser, construct, long};

use crate::{fleet::Fleet, run_record::RunRecord};

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
        .help("Time for which faults are injected")
        .argument("SECONDS")
        .fallback(60);
    construct!(Options { seed, seconds })
        .to_options()
        .descr("Inject random faults and check the invariants of the service")
}

fn main() -> ExitCode {
    let options = options().run();
    task::block_on(run(options))
}

async fn run(options: Options) -> ExitCode {
    let fleet = match Fleet::start().await {
        Ok(fleet) => Arc::new(fleet),
        Err(reason) => {
            eprintln!("cannot start the fleet: {reason}");
            return ExitCode::FAILURE;
        }
    };
    let record = Arc::new(RunRecord::default());
    let load = load::start(&fleet, &record);
    let duration = Duration::from_secs(options.seconds);
    faults::run(&fleet, &record, options.seed, duration).await;
    record.stop();
    for task in load {
        task.await;
    }
    record.check_orders(&fleet);
    record.check_keys(&fleet);
    fleet.kill_all();
    println!("seed {}, {} s", options.seed, options.seconds);
    print!("{record}");
    match record.first_violation() {
        Some(violation) => {
            println!("first violation: {violation}");
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}
