//! Load generation: sequential requests, concurrent requests by several workers, and many concurrent streams.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use futures::{AsyncReadExt, future::join_all};
use jm_http::{Client, Limits, Method, Request, Response, Url, read_body_to_end};
use jm_types::{ByteSize, DurationMs};

use super::host::KEY;

const ANSWER_BYTES: ByteSize = ByteSize::new(1_000_000);
const WARM_UP_REQUESTS: usize = 50;
const STREAM_TIMEOUT_MS: DurationMs = DurationMs::new(120_000);

fn get(url: &Url) -> Request {
    let mut request = Request::new(Method::Get, url.clone());
    request.insert_header("authorization", format!("Bearer {KEY}"));
    request
}

async fn send_request(client: &Client, url: &Url) -> io::Result<()> {
    let mut response = client.send(get(url)).await.map_err(io::Error::other)?;
    read_body_to_end(response.take_body(), ANSWER_BYTES).await?;
    check_status(&response)
}

fn check_status(response: &Response) -> io::Result<()> {
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!("status {}", response.status())))
}

/// Median duration of sequential requests, after a warm-up.
pub(super) async fn median_latency(url: &Url, requests: usize) -> io::Result<Duration> {
    let client = Client::new(Limits::default());
    for _ in 0..WARM_UP_REQUESTS {
        send_request(&client, url).await?;
    }
    let mut times = Vec::with_capacity(requests);
    for _ in 0..requests {
        let start = Instant::now();
        send_request(&client, url).await?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok(times[times.len() / 2])
}

/// Requests per second of `workers` concurrent workers. Each worker sends its requests sequentially.
pub(super) async fn throughput(url: &Url, workers: usize, requests: u64) -> io::Result<f64> {
    let client = Client::new(Limits {
        connections: 10_000,
        ..Limits::default()
    });
    let remaining = Arc::new(AtomicU64::new(requests));
    let start = Instant::now();
    let tasks = (0..workers).map(|_| {
        let (client, url, remaining) = (client.clone(), url.clone(), Arc::clone(&remaining));
        task::spawn(async move {
            while remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                })
                .is_ok()
            {
                send_request(&client, &url).await?;
            }
            io::Result::Ok(())
        })
    });
    for result in join_all(tasks).await {
        result?;
    }
    Ok(requests as f64 / start.elapsed().as_secs_f64())
}

/// Totals of a run of concurrent streams. `bytes` counts the streams that did not fail.
#[derive(Debug, Clone, Copy)]
pub(super) struct Streams {
    pub(super) bytes: u64,
    pub(super) elapsed: Duration,
    pub(super) failed: usize,
}

/// Opens `count` streams concurrently, each with the request body `body`, and reads each to its end.
pub(super) async fn streams(url: &Url, body: String, count: usize) -> Streams {
    let limits = Limits {
        answer_timeout_ms: STREAM_TIMEOUT_MS,
        body_timeout_ms: STREAM_TIMEOUT_MS,
        ..Limits::default()
    };
    let client = Client::new(limits);
    let start = Instant::now();
    let tasks = (0..count).map(|_| task::spawn(read_stream(client.clone(), url.clone(), body.clone())));
    let results = join_all(tasks).await;
    let bytes = results.iter().filter_map(|result| result.as_ref().ok()).sum();
    let failures: Vec<_> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    if let Some(first) = failures.first() {
        eprintln!("first failed stream: {first}");
    }
    let failed = failures.len();
    Streams {
        bytes,
        elapsed: start.elapsed(),
        failed,
    }
}

async fn read_stream(client: Client, url: Url, body: String) -> io::Result<u64> {
    let mut request = Request::new(Method::Post, url);
    request.insert_header("authorization", format!("Bearer {KEY}"));
    request.set_body(body);
    let mut response = client.send(request).await.map_err(io::Error::other)?;
    let mut text = Vec::new();
    response.take_body().read_to_end(&mut text).await?;
    if !response.status().is_success() {
        return Err(io::Error::other(String::from_utf8_lossy(&text).into_owned()));
    }
    let is_complete = text.windows(DONE.len()).any(|window| window == DONE);
    if is_complete {
        Ok(text.len() as u64)
    } else {
        Err(io::Error::other("the stream ended before its final line"))
    }
}

const DONE: &[u8] = b"\"done\":true";
