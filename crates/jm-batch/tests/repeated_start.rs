//! A batch is started once, whatever the order of the store's event and the answer to the write that caused it.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::*;
use jm_batch::{BatchPhase, BatchSpec, BatchState};
use jm_platform::ObjectStore;

/// Events of an item, and the time between them. The runs last until the test has released all answers.
const EVENTS: u64 = 60;
const EVENT_GAP: Duration = Duration::from_millis(5);

const SLOTS: usize = 2;

fn start_host(store: &Arc<FaultyStore>) -> TestHost {
    let script: Script = Box::new(|_, request| {
        let first = request.resume_after.unwrap_or(0) + 1;
        let mut steps = vec![text_version(1)];
        for event in first..=EVENTS {
            steps.push(Step::Wait(EVENT_GAP));
            steps.push(data(event));
        }
        steps
    });
    let engines = vec![engine("e", SLOTS, 1)];
    TestHost::start("a", &Arc::new(Hosts::default()), store, engines, script)
}

fn submit(host: &TestHost, spec: BatchSpec) -> task::JoinHandle<()> {
    let service = Arc::clone(&host.service);
    task::spawn(async move { service.submit(spec).await.unwrap() })
}

async fn until(condition: impl Fn() -> bool) {
    with_timeout(async {
        while !condition() {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

async fn stored_state(store: &FaultyStore, batch: &str) -> BatchState {
    let key = format!("batch-state/{batch}");
    with_timeout(async {
        loop {
            if let Some(object) = store.inner.get(&key).await.unwrap() {
                return serde_json::from_slice(&object.value).unwrap();
            }
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await
}

/// Fails when slots of the engine stay counted as taken after all runs of the first batch have ended.
async fn assert_engine_is_free(host: &TestHost) {
    let later = spec("later", &[1; 2 * SLOTS]);
    host.service.submit(later).await.unwrap();
    let page = host.listed("later", 2 * SLOTS).await;
    assert!(
        page.results
            .iter()
            .all(|result| result.text == whole_text(EVENTS))
    );
}

/// Guards against a batch that starts with the store's event and again with the late answer to its creation. The runs of
/// the first start kept their slots for ever, and no later batch got an engine.
#[async_std::test]
async fn event_before_answer() {
    let store = FaultyStore::new();
    let host = start_host(&store);
    let hold = store.hold_answers(CallKind::Write, "batch-state/");
    let submitted = submit(&host, spec("b", &[1; SLOTS]));
    stored_state(&store, "b").await;
    host.sync_states(&store).await;
    until(|| host.engines.open.load(Ordering::SeqCst) == SLOTS as u64).await;
    drop(hold);
    submitted.await;
    host.listed("b", SLOTS).await;
    assert_engine_is_free(&host).await;
    assert_eq!(host.events.repeated_starts.load(Ordering::SeqCst), 1);
}

/// Guards against the same second start when the takeover that the event began ends after the answer.
#[async_std::test]
async fn takeover_after_answer() {
    let store = FaultyStore::new();
    let host = start_host(&store);
    let hold_answer = store.hold_answers(CallKind::Write, "batch-state/");
    let hold_reads = store.hold_answers(CallKind::Read, "batch/");
    let submitted = submit(&host, spec("b", &[1; SLOTS]));
    stored_state(&store, "b").await;
    host.sync_states(&store).await;
    drop(hold_answer);
    submitted.await;
    until(|| host.engines.open.load(Ordering::SeqCst) == SLOTS as u64).await;
    drop(hold_reads);
    until(|| starts_after_submit(&host) == 1).await;
    host.listed("b", SLOTS).await;
    assert_engine_is_free(&host).await;
    assert_eq!(host.events.taken_over.load(Ordering::SeqCst), 0);
}

/// Number of ended takeovers, whether they started the batch or found it running.
fn starts_after_submit(host: &TestHost) -> u64 {
    let events = &host.events;
    events.repeated_starts.load(Ordering::SeqCst) + events.taken_over.load(Ordering::SeqCst)
}

/// Guards against a batch that starts although the store's event of its end came before the answer to its creation.
#[async_std::test]
async fn end_before_answer() {
    let store = FaultyStore::new();
    let host = start_host(&store);
    let hold_answer = store.hold_answers(CallKind::Write, "batch-state/");
    let submitted = submit(&host, spec("b", &[1; SLOTS]));
    end_batch(&store, "b").await;
    host.sync_states(&store).await;
    drop(hold_answer);
    submitted.await;
    assert_engine_is_free(&host).await;
    let starts = host.engines.starts.lock().unwrap();
    assert!(starts.iter().all(|(batch, ..)| batch != "b"));
}

/// Guards against a takeover that starts a batch whose end arrived while its specification was read.
#[async_std::test]
async fn end_during_takeover() {
    let store = FaultyStore::new();
    let host = start_host(&store);
    let hold_answer = store.hold_answers(CallKind::Write, "batch-state/");
    let hold_reads = store.hold_answers(CallKind::Read, "batch/");
    let submitted = submit(&host, spec("b", &[1; SLOTS]));
    stored_state(&store, "b").await;
    host.sync_states(&store).await;
    end_batch(&store, "b").await;
    host.sync_states(&store).await;
    drop(hold_reads);
    drop(hold_answer);
    submitted.await;
    assert_engine_is_free(&host).await;
    until(|| host.engines.open.load(Ordering::SeqCst) == 0).await;
    let page = host.listed("b", 0).await;
    assert!(page.results.is_empty());
}

/// Ends a batch in the store, as another host does for the submitter.
async fn end_batch(store: &FaultyStore, batch: &str) {
    let ended = BatchState {
        phase: BatchPhase::Ended,
        ..stored_state(store, batch).await
    };
    let value = serde_json::to_vec(&ended).unwrap();
    let key = format!("batch-state/{batch}");
    let version = store.inner.get(&key).await.unwrap().unwrap().version;
    let condition = jm_platform::Condition::Version(version);
    store.inner.put(&key, value, condition).await.unwrap();
}
