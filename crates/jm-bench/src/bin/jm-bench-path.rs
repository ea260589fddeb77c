//! `jm-bench-path`: compares the full request path with a direct connection. `jm_bench::path` defines the bounds.

#![deny(missing_docs, unsafe_code)]

use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use jm_bench::path::{PathOptions, measure_path};

fn options() -> impl Parser<PathOptions> {
    let requests = long("requests")
        .help("Number of sequential requests; the workers send four times as many")
        .argument::<usize>("N")
        .fallback(2_000);
    let workers = long("workers")
        .help("Number of concurrent workers")
        .argument::<usize>("N")
        .fallback(64);
    let streams = long("streams")
        .help("Number of concurrent streams")
        .argument::<usize>("N")
        .fallback(1_000);
    let tokens = long("tokens")
        .help("Number of tokens in each stream")
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
