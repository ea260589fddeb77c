//! Measures the cost of the whole path against a direct connection; the bounds stand in `jm_bench::path`.

#![deny(missing_docs, unsafe_code)]

use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use jm_bench::path::{PathOptions, measure_path};

fn options() -> impl Parser<PathOptions> {
    let requests = long("requests")
        .help("Requests of each kind")
        .argument::<usize>("N")
        .fallback(2_000);
    let workers = long("workers")
        .help("Workers that send at the same time")
        .argument::<usize>("N")
        .fallback(64);
    let streams = long("streams")
        .help("Streams open at the same time")
        .argument::<usize>("N")
        .fallback(1_000);
    let tokens = long("tokens")
        .help("Tokens of each stream")
        .argument::<u64>("N")
        .fallback(60);
    construct!(PathOptions {
        requests,
        workers,
        streams,
        tokens
    })
}

fn main() -> ExitCode {
    let options = options().to_options().run();
    match async_std::task::block_on(measure_path(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
