//! Load: requests one after another, requests by several workers, and many streams at once.

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

async fn exchange(client: &Client, url: &Url) -> io::Result<()> {
    let mut response = client.send(get(url)).await.map_err(io::Error::other)?;
    read_body_to_end(response.take_body(), ANSWER_BYTES).await?;
    check(&response)
}

fn check(response: &Response) -> io::Result<()> {
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!("status {}", response.status())))
}

/// Median time of requests sent one after another.
pub(super) async fn median_latency(url: &Url, requests: usize) -> io::Result<Duration> {
    let client = Client::new(Limits::default());
    for _ in 0..WARM_UP_REQUESTS {
        exchange(&client, url).await?;
    }
    let mut times = Vec::with_capacity(requests);
    for _ in 0..requests {
        let start = Instant::now();
        exchange(&client, url).await?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok(times[times.len() / 2])
}

/// Requests a second by `workers` that each send one request after another.
pub(super) async fn throughput(url: &Url, workers: usize, requests: u64) -> io::Result<f64> {
    let client = Client::new(Limits {
        connections: 10_000,
        ..Limits::default()
    });
    let left = Arc::new(AtomicU64::new(requests));
    let start = Instant::now();
    let tasks = (0..workers).map(|_| {
        let (client, url, left) = (client.clone(), url.clone(), Arc::clone(&left));
        task::spawn(async move {
            while left
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
                .is_ok()
            {
                exchange(&client, &url).await?;
            }
            io::Result::Ok(())
        })
    });
    for result in join_all(tasks).await {
        result?;
    }
    Ok(requests as f64 / start.elapsed().as_secs_f64())
}

/// What many streams at once did.
#[derive(Debug, Clone, Copy)]
pub(super) struct Streams {
    pub(super) bytes: u64,
    pub(super) elapsed: Duration,
    pub(super) failed: usize,
}

/// Opens `count` streams at once and reads them to their end. `body` is sent with each.
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
    let whole = text.windows(DONE.len()).any(|window| window == DONE);
    if whole {
        Ok(text.len() as u64)
    } else {
        Err(io::Error::other("the last line is missing"))
    }
}

const DONE: &[u8] = b"\"done\":true";
