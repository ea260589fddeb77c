//! Guards against an owner that denies results which other hosts read from the store.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use common::{CallKind, FaultyStore, Hosts, Step, TestHost, engine, spec, text, with_timeout};
use jm_batch::{BATCH_STATE_PREFIX, BatchPhase, BatchState, GenerationRequest};
use jm_platform::{Condition, ObjectStore};
use jm_types::{BatchId, DurationMs, OrganisationId};

/// The answer to a write of results is lost while the submitter ends the batch. The owner does not repeat the write then, but
/// other hosts may have read the results while it was frozen.
#[async_std::test]
async fn ended_before_the_answer() {
    let (hosts, store) = (Arc::new(Hosts::default()), FaultyStore::new());
    let script = |_: &_, request: &GenerationRequest| match request.item {
        0 => text(request, 3, 1),
        _ => vec![Step::Stall],
    };
    let host = TestHost::start(
        "host-a",
        &hosts,
        &store,
        vec![engine("e1", 2, 1)],
        Box::new(script),
    );
    let hold = store.hold_answers(CallKind::Write, "batch-result/");
    host.service.submit(spec("b1", &[9, 8])).await.unwrap();
    with_timeout(async {
        while store.inner.get("batch-result/b1.000000").await.unwrap().is_none() {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let key = format!("{BATCH_STATE_PREFIX}b1");
    let object = store.inner.get(&key).await.unwrap().unwrap();
    let mut state: BatchState = serde_json::from_slice(&object.value).unwrap();
    state.phase = BatchPhase::Ended;
    let (value, condition) = (
        serde_json::to_vec(&state).unwrap(),
        Condition::Version(object.version),
    );
    let version = store.inner.put(&key, value, condition).await.unwrap();
    host.service.apply_state(state, version);
    store.loses_next_response.store(true, Ordering::SeqCst);
    drop(hold);
    with_timeout(async {
        while store.loses_next_response.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    // The owner handles the lost answer.
    with_timeout(async {
        while host.events.store_failures.load(Ordering::SeqCst) == 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let (batch, organisation): (BatchId, OrganisationId) = ("b1".parse().unwrap(), "parish".parse().unwrap());
    let read = host
        .service
        .read(&batch, Some(&organisation), 0, DurationMs::new(0));
    assert_eq!(read.await.unwrap().results.len(), 1);
}
