//! Measurements of latency, throughput and streams, and their output.

use std::{io, time::Duration};

use async_std::task;
use jm_http::Url;
use jm_types::DurationMs;

use super::{
    host::Host,
    load::{Streams, median_latency, streams, throughput},
    memory::resident_bytes,
};

/// Bound on the added latency of the full path, as a multiple of a direct round trip.
const LATENCY_BOUND: f64 = 4.0;

/// Lower bound on the throughput of the path, as a fraction of the throughput of a direct connection.
const THROUGHPUT_BOUND: f64 = 0.25;

/// Tokens per second of each stream, low enough that all streams are open at the same time.
const STREAM_TOKENS_PER_S: f64 = 20.0;

/// Time from the start of the streams to the memory reading. All streams are open at this time.
const MEMORY_AFTER_MS: DurationMs = DurationMs::new(1_500);

/// Numbers of requests, workers and streams in a run.
#[derive(Debug, Clone)]
pub struct PathOptions {
    /// Number of sequential requests. The workers together send four times as many.
    pub requests: usize,
    /// Number of concurrent workers.
    pub workers: usize,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens in each stream.
    pub tokens: u64,
}

/// Measures the path and prints the results. Returns `false` when a bound is missed.
///
/// # Errors
///
/// Fails when a stand-in or a daemon cannot start, or when a request fails.
pub async fn measure_path(options: &PathOptions) -> io::Result<bool> {
    let host = Host::start(STREAM_TOKENS_PER_S).await?;
    let direct = url(&format!("http://{}/orders", host.service.address()))?;
    let path = url(&format!(
        "http://127.0.0.1:{}/v1/services/order-desk/orders",
        host.ports.entry
    ))?;
    let direct_latency = median_latency(&direct, options.requests).await?;
    let path_latency = median_latency(&path, options.requests).await?;
    let requests = options.requests as u64 * 4;
    let direct_rate = throughput(&direct, options.workers, requests).await?;
    let path_rate = throughput(&path, options.workers, requests).await?;
    let latency_within_bound = print_latency(direct_latency, path_latency);
    let rate_within_bound = print_rate(direct_rate, path_rate);
    measure_streams(&host, options).await?;
    host.stop().await;
    Ok(latency_within_bound && rate_within_bound)
}

fn print_latency(direct: Duration, path: Duration) -> bool {
    let added = (path.as_secs_f64() - direct.as_secs_f64()) / direct.as_secs_f64();
    let is_within_bound = added < LATENCY_BOUND;
    println!("median latency: direct {direct:?}, path {path:?}");
    println!(
        "added latency: {added:.2} direct round trips, bound {LATENCY_BOUND}: {}",
        verdict(is_within_bound)
    );
    is_within_bound
}

fn print_rate(direct: f64, path: f64) -> bool {
    let fraction = path / direct;
    let is_within_bound = fraction > THROUGHPUT_BOUND;
    println!("requests/s: direct {direct:.0}, path {path:.0}");
    println!(
        "throughput: {fraction:.3} of direct, bound {THROUGHPUT_BOUND}: {}",
        verdict(is_within_bound)
    );
    is_within_bound
}

fn verdict(is_within_bound: bool) -> &'static str {
    if is_within_bound { "held" } else { "MISSED" }
}

async fn measure_streams(host: &Host, options: &PathOptions) -> io::Result<()> {
    let tokens = options.tokens;
    let engine = url(&format!("http://{}/v1/generate", host.engine.address()))?;
    let entry = url(&format!("http://127.0.0.1:{}/v1/completions", host.ports.entry))?;
    let direct_body =
        format!(r#"{{"request":"direct","model":"rack-small","prompt":"a rack","max_tokens":{tokens}}}"#);
    let path_body = format!(r#"{{"service":"drafts","prompt":"a rack","max_tokens":{tokens}}}"#);
    let (direct, direct_bytes) = run_with_memory(&engine, direct_body, options.streams).await;
    let (path, path_bytes) = run_with_memory(&entry, path_body, options.streams).await;
    let count = options.streams as u64;
    println!("{count} streams, direct: {}", describe(&direct, count * tokens));
    println!("{count} streams, path: {}", describe(&path, count * tokens));
    println!(
        "memory per open stream, engine and client included: direct {} B, path {} B",
        direct_bytes / count,
        path_bytes / count
    );
    Ok(())
}

async fn run_with_memory(url: &Url, body: String, count: usize) -> (Streams, u64) {
    let before = resident_bytes();
    let running = task::spawn({
        let url = url.clone();
        async move { streams(&url, body, count).await }
    });
    task::sleep(MEMORY_AFTER_MS.as_std()).await;
    let during = resident_bytes();
    (running.await, during.saturating_sub(before))
}

fn describe(streams: &Streams, tokens: u64) -> String {
    let seconds = streams.elapsed.as_secs_f64();
    let rate = tokens as f64 / seconds;
    format!(
        "{seconds:.2} s, {rate:.0} tokens/s, {} bytes, {} failed",
        streams.bytes, streams.failed
    )
}

fn url(text: &str) -> io::Result<Url> {
    Url::parse(text).map_err(io::Error::other)
}
