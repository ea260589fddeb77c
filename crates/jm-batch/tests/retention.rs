//! An open batch is kept however long it runs, and a closed one is removed after its retention, also when the removal is
//! interrupted.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::task;
use common::*;
use indexmap::IndexMap;
use jm_batch::{BATCH_STATE_PREFIX, BatchPhase, BatchSpec, BatchState, ReadError, SubmitError};
use jm_platform::ObjectStore;
use jm_types::{DurationMs, WallClock};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

/// Twice the retention.
const LONG_MS: i64 = RETENTION_MS.get() as i64 * 2;

/// A batch whose items may be given up only long after the retention. Its first item has one token.
fn patient_spec(id: &str) -> BatchSpec {
    let mut batch = spec(id, &[1, 9]);
    batch.give_up_ms = DurationMs::new(LONG_MS as u64 * 2);
    batch
}

/// Starts a host whose engine completes first items, and all others once `is_released` is set.
fn start_host(
    name: &str,
    hosts: &Arc<Hosts>,
    store: &Arc<FaultyStore>,
    is_released: &Arc<AtomicBool>,
) -> TestHost {
    let is_released = Arc::clone(is_released);
    let script: Script = Box::new(move |_, request| match request.item {
        1 if !is_released.load(Ordering::SeqCst) => vec![Step::Stall],
        _ => text(request, 3, 1),
    });
    let targets = vec![engine("e1", 8, 1), engine("e2", 8, 1)];
    TestHost::start(name, hosts, store, targets, script)
}

async fn read(host: &TestHost, id: &str) -> Result<usize, ReadError> {
    let (batch, own) = (id.parse().unwrap(), "parish".parse().unwrap());
    let page = host.service.read(&batch, Some(&own), 0, DurationMs::new(0)).await;
    page.map(|page| page.results.len())
}

async fn end(host: &TestHost, id: &str) -> Result<(), ReadError> {
    let (batch, own) = (id.parse().unwrap(), "parish".parse().unwrap());
    host.service.end(&batch, Some(&own)).await
}

async fn left_objects(store: &FaultyStore) -> Vec<String> {
    let listing = store.inner.list("batch").await.unwrap();
    listing.objects.into_iter().map(|object| object.key).collect()
}

/// Guards against the removal of a batch that still runs: its results are gone, and its items never end.
#[async_std::test]
async fn long_batch() {
    let (store, is_released) = (FaultyStore::new(), Arc::default());
    let host = start_host("host-a", &Arc::default(), &store, &is_released);
    host.service.submit(patient_spec("b1")).await.unwrap();
    host.listed("b1", 1).await;
    host.clock.move_wall(LONG_MS);
    host.service.clean_up().await;
    assert_eq!(read(&host, "b1").await, Ok(1));
    is_released.store(true, Ordering::SeqCst);
    assert_eq!(host.listed("b1", 2).await.results.len(), 2);
    // Retention counts from here.
    host.service.clean_up().await;
    host.clock.move_wall(RETENTION_MS.get() as i64 - 1_000);
    host.service.clean_up().await;
    assert_eq!(read(&host, "b1").await, Ok(2));
    host.clock.move_wall(2_000);
    host.service.clean_up().await;
    assert_eq!(read(&host, "b1").await, Err(ReadError::NotFound));
    assert_eq!(left_objects(&store).await, Vec::<String>::new());
}

/// Guards against batches that stay for ever because their submitter never ends them. Their items expire when they may be
/// given up, which closes the batch.
#[async_std::test]
async fn batch_that_nobody_ends() {
    let (store, is_released) = (FaultyStore::new(), Arc::default());
    let host = start_host("host-a", &Arc::default(), &store, &is_released);
    host.service.submit(patient_spec("b1")).await.unwrap();
    host.listed("b1", 1).await;
    host.clock.move_wall(LONG_MS * 2);
    assert_eq!(
        host.listed("b1", 2).await.results.len(),
        2,
        "the second item has expired"
    );
    host.service.clean_up().await;
    host.clock.move_wall(RETENTION_MS.get() as i64);
    host.service.clean_up().await;
    assert_eq!(left_objects(&store).await, Vec::<String>::new());
}

/// Guards against what an interrupted removal leaves: results that are read or taken over by a later batch with the same id,
/// objects that stay for ever, and a batch that is acknowledged and then removed with the earlier one.
#[async_std::test]
async fn interrupted_removal() {
    for deletes in 0.. {
        let (store, is_released) = (FaultyStore::new(), Arc::default());
        let hosts = Arc::new(Hosts::default());
        let first = start_host("host-a", &hosts, &store, &is_released);
        first.service.submit(patient_spec("b1")).await.unwrap();
        // Two pieces of results.
        first.listed("b1", 1).await;
        is_released.store(true, Ordering::SeqCst);
        first.listed("b1", 2).await;
        first.service.clean_up().await;
        first.clock.move_wall(LONG_MS);
        store.deletes_left.store(deletes, Ordering::SeqCst);
        first.service.clean_up().await;
        if left_objects(&store).await.is_empty() {
            assert!(
                deletes > 3,
                "two pieces, the specification and the state are deleted"
            );
            return;
        }
        // The host stops here, and another one continues.
        hosts.kill("host-a");
        let second = start_host("host-b", &hosts, &store, &is_released);
        second.clock.move_wall(LONG_MS);
        second.sync_states(&store).await;
        assert_eq!(
            read(&second, "b1").await,
            Err(ReadError::NotFound),
            "{deletes} deletes"
        );
        let mut later = patient_spec("b1");
        later.submitted_unix_ms = second.clock.unix_ms();
        let refused = second.service.submit(later.clone()).await;
        assert!(
            matches!(refused, Err(SubmitError::NotStored { .. })),
            "{refused:?}"
        );
        store.deletes_left.store(u64::MAX, Ordering::SeqCst);
        second.service.clean_up().await;
        assert_eq!(
            left_objects(&store).await,
            Vec::<String>::new(),
            "{deletes} deletes"
        );
        second.service.submit(later).await.unwrap();
        assert_eq!(second.listed("b1", 2).await.results.len(), 2);
        assert_eq!(
            second.engines.runs.lock().unwrap().len(),
            2,
            "the later batch runs"
        );
    }
}

/// Hosts, a store and their times in one run of the model test.
struct Model {
    random: StdRng,
    store: Arc<FaultyStore>,
    hosts: Arc<Hosts>,
    running: Vec<(String, TestHost)>,
    is_released: Arc<AtomicBool>,
    /// Time that has passed.
    passed_ms: i64,
    /// When each stored batch was first seen as closed, by id and submission.
    closed_at_ms: IndexMap<(String, u64), Option<i64>>,
}

const IDS: [&str; 3] = ["b1", "b1.0", "b2"];

/// Maximum difference of a host's clock from the true time.
const MAX_CLOCK_ERROR_MS: i64 = 20_000;

impl Model {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let (store, hosts, is_released) = (FaultyStore::new(), Arc::new(Hosts::default()), Arc::default());
        let running = ["host-a", "host-b", "host-c"].map(|name| {
            let host = start_host(name, &hosts, &store, &is_released);
            host.clock
                .move_wall(random.random_range(-MAX_CLOCK_ERROR_MS..=MAX_CLOCK_ERROR_MS));
            (name.to_owned(), host)
        });
        Self {
            random,
            store,
            hosts,
            running: running.into(),
            is_released,
            passed_ms: 0,
            closed_at_ms: IndexMap::new(),
        }
    }

    fn pass(&mut self, ms: i64) {
        self.passed_ms += ms;
        for (_, host) in &self.running {
            host.clock.move_wall(ms);
        }
    }

    /// Ends a host, as far as a service can be ended: it runs nothing and calls nothing any more.
    fn kill(&mut self) {
        if self.running.len() == 1 {
            return;
        }
        let index = self.random.random_range(0..self.running.len());
        let (name, host) = self.running.remove(index);
        self.hosts.kill(&name);
        for id in IDS {
            host.service.evict(&id.parse().unwrap());
        }
    }

    async fn step(&mut self) {
        let kind = self.random.random_range(0..12);
        let id = *IDS.choose(&mut self.random).unwrap();
        let ms = self.random.random_range(1_000..LONG_MS / 3);
        let index = self.random.random_range(0..self.running.len());
        let host = &self.running[index].1;
        match kind {
            0..=2 => {
                let mut batch = patient_spec(id);
                batch.submitted_unix_ms = host.clock.unix_ms();
                // Refusals are allowed; what is stored is checked afterwards.
                let _ = host.service.submit(batch).await;
            }
            3 => {
                let _ = end(host, id).await;
            }
            4 => drop(self.is_released.fetch_not(Ordering::SeqCst)),
            5 | 6 => self.pass(ms),
            7 => self.kill(),
            8 => drop(self.store.is_down.fetch_not(Ordering::SeqCst)),
            9 => self.store.deletes_left.store(ms as u64 % 4, Ordering::SeqCst),
            _ => self.clean_up(index).await,
        }
    }

    async fn clean_up(&self, index: usize) {
        let host = &self.running[index].1;
        host.sync_states(&self.store).await;
        host.service.clean_up().await;
    }

    /// Checks that no open batch lacks its state or specification, and that no closed one is removed too early.
    async fn check(&mut self) {
        let listing = self.store.inner.list(BATCH_STATE_PREFIX).await.unwrap();
        let states = listing.objects.iter().map(|object| {
            let state: BatchState = serde_json::from_slice(&object.object.value).unwrap();
            ((state.batch.to_string(), state.submitted_unix_ms), state.phase)
        });
        let states: IndexMap<_, _> = states.collect();
        let now_ms = self.passed_ms;
        for (key, phase) in &states {
            let closed_at = self.closed_at_ms.entry(key.clone()).or_default();
            match phase {
                BatchPhase::Running => {
                    let spec = self.store.inner.get(&format!("batch/{}", key.0)).await.unwrap();
                    assert!(spec.is_some(), "{key:?} is open and has no specification");
                }
                BatchPhase::Removing => assert_retained(key, *closed_at, now_ms),
                BatchPhase::Finished | BatchPhase::Ended => drop(closed_at.get_or_insert(now_ms)),
            }
        }
        for (key, closed_at) in &self.closed_at_ms {
            if !states.contains_key(key) {
                assert_retained(key, *closed_at, now_ms);
            }
        }
        self.closed_at_ms.retain(|key, _| states.contains_key(key));
    }

    /// With the store and one host up, all batches are closed and removed in a bounded number of rounds.
    async fn finish(&mut self) {
        self.store.is_down.store(false, Ordering::SeqCst);
        self.store.deletes_left.store(u64::MAX, Ordering::SeqCst);
        self.is_released.store(true, Ordering::SeqCst);
        with_timeout(async {
            while !left_objects(&self.store).await.is_empty() {
                for index in 0..self.running.len() {
                    self.clean_up(index).await;
                }
                task::sleep(Duration::from_millis(2)).await;
                self.check().await;
                self.pass(LONG_MS / 10);
            }
        })
        .await;
    }
}

fn assert_retained(key: &(String, u64), closed_at_ms: Option<i64>, now_ms: i64) {
    let closed_at_ms = closed_at_ms.unwrap_or_else(|| panic!("{key:?} was removed while it was open"));
    let kept_ms = now_ms - closed_at_ms;
    let min_ms = RETENTION_MS.get() as i64 - 2 * MAX_CLOCK_ERROR_MS;
    assert!(
        kept_ms >= min_ms,
        "{key:?} was removed {kept_ms} ms after its end"
    );
}

/// Guards against any order of submissions, ends, last results, kills, changes of the owner, outages, interrupted removals
/// and clocks that differ in which an open batch is removed, a closed one is removed too early, or one is never removed.
#[async_std::test]
async fn any_order() {
    for seed in 0..12 {
        let mut model = Model::new(seed);
        for _ in 0..40 {
            model.step().await;
            task::sleep(Duration::from_millis(1)).await;
            model.check().await;
        }
        model.finish().await;
    }
}
