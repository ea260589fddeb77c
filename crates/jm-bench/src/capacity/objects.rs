//! Object API calls per second: leases in virtual time, watches in real time.

use std::{
    error::Error,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{future::timeout, task};
use async_trait::async_trait;
use jm_lease::{Duty, LeaseManager, LeaseOptions};
use jm_platform::{
    Changes, Condition, Listing, MemoryPlatform, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::{DurationMs, Incarnation, ManualClock};

use super::fit::Line;

/// Configuration changes per second at the target size.
const CHANGES_PER_S: f64 = 0.55;

/// Interval between the calls of a lease manager.
const LEASE_CALL_MS: u64 = 3_000;

/// Maximum wait of a watch call.
const WATCH_MS: u64 = 10_000;

/// Counts the calls of a store. Each watch call counts as one read, independent of its waiting time.
#[derive(Clone, Default)]
struct CountingStore {
    platform: MemoryPlatform,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

#[async_trait]
impl ObjectStore for CountingStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.platform.get(key).await
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.platform.put(key, value, condition).await
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.platform.delete(key, condition).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.platform.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.platform.watch(prefix, after, wait).await
    }
}

/// Prints the call rates of leases and watches with the fitted lines. `seconds` is the measured time of the watches
/// for each number of watchers.
pub fn print_store(seconds: u64) -> Result<(), Box<dyn Error>> {
    println!("leases: one duty, a call every {LEASE_CALL_MS} ms, 10 min of virtual time");
    println!("candidates reads/s writes/s");
    let mut points = Vec::new();
    for candidates in [1, 3, 10, 30] {
        let (reads, writes) = task::block_on(lease_call_rates(candidates))?;
        println!("{candidates:10} {reads:7.3} {writes:8.3}");
        points.push((candidates as f64, reads + writes));
    }
    print_line("lease calls/s by candidates", &points);
    println!("watches: {CHANGES_PER_S} changes/s, wait {WATCH_MS} ms, {seconds} s of real time");
    println!("watchers reads/s");
    let mut points = Vec::new();
    for watchers in [6, 9, 22, 50, 100, 350] {
        let reads = task::block_on(watch_call_rate(watchers, seconds))?;
        println!("{watchers:8} {reads:7.2}");
        points.push((watchers as f64, reads));
    }
    print_line("watch calls/s by watchers", &points);
    Ok(())
}

fn print_line(name: &str, points: &[(f64, f64)]) {
    if let Some(line) = Line::fit(points) {
        println!("{name}: {line}");
    }
}

async fn lease_call_rates(candidates: usize) -> Result<(f64, f64), Box<dyn Error>> {
    const SECONDS: u64 = 600;
    let (store, clock) = (CountingStore::default(), ManualClock::default());
    let mut managers = Vec::new();
    for index in 0..candidates {
        let holder = format!("control-{index}").parse()?;
        let options = LeaseOptions::new(Duty::Targets, holder, Incarnation::new(1));
        managers.push(LeaseManager::new(options)?);
    }
    for _ in 0..SECONDS * 1_000 / LEASE_CALL_MS {
        for manager in &mut managers {
            manager.acquire(&store, &clock).await?;
        }
        clock.advance(DurationMs::new(LEASE_CALL_MS));
    }
    let rate = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64 / SECONDS as f64;
    Ok((rate(&store.reads), rate(&store.writes)))
}

async fn watch_call_rate(watchers: usize, seconds: u64) -> Result<f64, Box<dyn Error>> {
    const PREFIX: &str = "config/change/";
    let store = CountingStore::default();
    let watch_tasks: Vec<_> = (0..watchers)
        .map(|_| {
            let store = store.clone();
            task::spawn(async move {
                let mut after = Version::default();
                loop {
                    match store.watch(PREFIX, after, DurationMs::new(WATCH_MS)).await {
                        Ok(changes) => after = changes.version,
                        Err(error) => return error,
                    }
                }
            })
        })
        .collect();
    let writer = async {
        for revision in 1_u64.. {
            task::sleep(Duration::from_secs_f64(1.0 / CHANGES_PER_S)).await;
            let key = format!("{PREFIX}{revision}");
            let result = store.put(&key, vec![0; 300], Condition::Absent).await;
            result.expect("the key is new");
        }
    };
    timeout(Duration::from_secs(seconds), writer).await.unwrap_or(());
    for watcher in watch_tasks {
        if let Some(error) = watcher.cancel().await {
            return Err(error.into());
        }
    }
    Ok(store.reads.load(Ordering::Relaxed) as f64 / seconds as f64)
}
