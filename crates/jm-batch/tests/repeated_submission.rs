//! A batch that is larger than one object and is submitted at several hosts can be read, whichever host stored what.

mod common;

use std::{sync::Arc, time::Duration};

use async_std::task;
use common::*;
use jm_batch::{BatchSpec, SubmitError};
use jm_platform::{Condition, ObjectStore};
use jm_types::{BatchId, DurationMs};

const BODY_BYTES: usize = 500_000;
const PIECE_BYTES: usize = 700_000;
const PARTS_PREFIX: &str = "batch-part/";

/// A batch as a host with this due time in its configuration stores it.
fn large_spec(due_ms: u64, byte: u8) -> BatchSpec {
    let mut batch = spec("b1", &[1, 1, 1]);
    batch.due_ms = DurationMs::new(due_ms);
    for item in &mut batch.items {
        item.body = vec![byte; BODY_BYTES];
    }
    batch
}

fn start_host(name: &str, store: &Arc<FaultyStore>) -> TestHost {
    let script: Script = Box::new(|_, request| text(request, 3, 1));
    TestHost::start(name, &Arc::new(Hosts::default()), store, Vec::new(), script)
}

async fn stored_parts(store: &FaultyStore) -> usize {
    store.inner.list(PARTS_PREFIX).await.unwrap().objects.len()
}

/// The body of the last item, read by a host that has to load the specification.
async fn read_body(store: &Arc<FaultyStore>) -> Vec<u8> {
    let reader = start_host("reader", store);
    let (batch, own): (BatchId, _) = ("b1".parse().unwrap(), "parish".parse().unwrap());
    reader.service.body(&batch, Some(&own), "b1-2").await.unwrap()
}

/// Starts a submission that has stored its first part and waits for the store's answer.
async fn begin_submission(host: &TestHost, batch: BatchSpec, store: &FaultyStore) -> task::JoinHandle<()> {
    let service = Arc::clone(&host.service);
    let submission = task::spawn(async move { service.submit(batch).await.unwrap() });
    with_timeout(async {
        while stored_parts(store).await == 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    submission
}

/// Guards against a specification that mixes the parts of two hosts. The submitter left the first one before it had stored
/// the head, and a change of the configuration had moved all that follows the time limits by one byte.
#[async_std::test]
async fn submitter_left_first_host() {
    let store = FaultyStore::new();
    let (first, second) = (start_host("a", &store), start_host("b", &store));
    let hold = store.hold_answers(CallKind::Write, PARTS_PREFIX);
    let submission = begin_submission(&first, large_spec(7_500, 7), &store).await;
    submission.cancel().await;
    drop(hold);
    second.service.submit(large_spec(12_000, 7)).await.unwrap();
    assert_eq!(read_body(&store).await, vec![7; BODY_BYTES]);
}

/// Guards against the same mixture when the slow host goes on after the other one has stored the batch.
#[async_std::test]
async fn both_hosts_store() {
    let store = FaultyStore::new();
    let (first, second) = (start_host("a", &store), start_host("b", &store));
    let hold = store.hold_answers(CallKind::Write, PARTS_PREFIX);
    let slow = begin_submission(&first, large_spec(7_500, 7), &store).await;
    store.hold_no_more();
    second.service.submit(large_spec(12_000, 7)).await.unwrap();
    drop(hold);
    with_timeout(slow).await;
    assert_eq!(read_body(&store).await, vec![7; BODY_BYTES]);
}

/// Guards against items of another submission with the same id in an accepted batch, and against parts that stay in the
/// store for ever because no head names them.
#[async_std::test]
async fn other_items() {
    let store = FaultyStore::new();
    let (first, second) = (start_host("a", &store), start_host("b", &store));
    let hold = store.hold_answers(CallKind::Write, PARTS_PREFIX);
    let slow = begin_submission(&first, large_spec(7_500, 7), &store).await;
    store.hold_no_more();
    second.service.submit(large_spec(7_500, 8)).await.unwrap();
    let parts = stored_parts(&store).await;
    drop(hold);
    with_timeout(slow).await;
    assert_eq!(read_body(&store).await, vec![8; BODY_BYTES]);
    assert_eq!(
        stored_parts(&store).await,
        parts - 1,
        "the first host's part is gone"
    );
}

/// Guards against accepted batches that cannot be read after an update, because an earlier release stored their parts
/// under other names.
#[async_std::test]
async fn earlier_release() {
    let store = FaultyStore::new();
    let host = start_host("a", &store);
    host.service.submit(spec("b1", &[1, 1, 1])).await.unwrap();
    let text = serde_json::to_string(&large_spec(7_500, 7)).unwrap();
    let pieces: Vec<&str> = (0..text.len())
        .step_by(PIECE_BYTES)
        .map(|begin| &text[begin..text.len().min(begin + PIECE_BYTES)])
        .collect();
    let head = serde_json::json!({"parts": pieces.len(), "text": pieces[0]}).to_string();
    let write = async |key: &str, value: &str| {
        let stored = store
            .inner
            .put(key, value.as_bytes().to_vec(), Condition::Any)
            .await;
        stored.unwrap();
    };
    write("batch/b1", &head).await;
    for (index, piece) in pieces.iter().enumerate().skip(1) {
        write(&format!("batch-part/b1.{index}"), piece).await;
    }
    assert_eq!(read_body(&store).await, vec![7; BODY_BYTES]);
}

/// Guards against a batch that is accepted and can never be read. A part of an earlier release has the same key if the id of its
/// batch continues with a digest, and was taken for a part of this batch.
#[async_std::test]
async fn part_of_another_batch() {
    let (store, other) = (FaultyStore::new(), FaultyStore::new());
    let host = start_host("host-a", &other);
    host.service.submit(large_spec(7_500, 1)).await.unwrap();
    let parts = other.inner.list(PARTS_PREFIX).await.unwrap().objects;
    store
        .put(&parts[0].key, b"of another batch".to_vec(), Condition::Any)
        .await
        .unwrap();
    let host = start_host("host-a", &store);
    let submitted = host.service.submit(large_spec(7_500, 1)).await;
    assert!(
        matches!(submitted, Err(SubmitError::NotStored { .. })),
        "{submitted:?}"
    );
    store.delete(&parts[0].key, Condition::Any).await.unwrap();
    host.service.submit(large_spec(7_500, 1)).await.unwrap();
    assert_eq!(read_body(&store).await, vec![1; BODY_BYTES]);
}
