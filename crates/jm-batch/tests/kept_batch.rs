//! Guards against a batch that is acknowledged but not stored, and against a batch that is stored although its refusal
//! says that it does not run.

mod common;

use std::sync::{Arc, atomic::Ordering};

use common::{FaultyStore, TestHost, engine, spec, text, whole_text};
use jm_batch::{ReadError, ResultState, SubmitError};
use jm_types::BatchId;

fn host(store: &Arc<FaultyStore>) -> TestHost {
    let script = Box::new(|_: &_, request: &_| text(request, 3, 1));
    TestHost::start("host-a", &Arc::default(), store, vec![engine("e1", 4, 1)], script)
}

#[async_std::test]
async fn results_are_whole() {
    let store = FaultyStore::new();
    let host = host(&store);
    host.service.submit(spec("b1", &[5, 9, 1])).await.unwrap();
    let page = host.listed("b1", 3).await;
    assert_eq!((page.total, page.next), (3, 3));
    for result in &page.results {
        assert_eq!(result.state, ResultState::Completed);
        assert_eq!(result.text, whole_text(3));
        assert_eq!(result.versions.len(), 1);
    }
}

#[async_std::test]
async fn submitted_twice() {
    let store = FaultyStore::new();
    let host = host(&store);
    let batch = spec("b1", &[1, 1]);
    host.service.submit(batch.clone()).await.unwrap();
    host.service.submit(batch).await.unwrap();
    let page = host.listed("b1", 2).await;
    assert_eq!(page.results.len(), 2, "no item is listed twice");
}

/// The create took effect but its response was lost. The retry finds the object, so the batch is accepted.
#[async_std::test]
async fn lost_answer_of_the_create() {
    let store = FaultyStore::new();
    let host = host(&store);
    store.loses_next_response.store(true, Ordering::SeqCst);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    host.listed("b1", 1).await;
}

/// Nothing was stored, so the refusal may say that the batch does not run.
#[async_std::test]
async fn store_is_down() {
    let store = FaultyStore::new();
    let host = host(&store);
    store.is_down.store(true, Ordering::SeqCst);
    let refused = host.service.submit(spec("b1", &[1])).await;
    assert!(
        matches!(refused, Err(SubmitError::NotStored { .. })),
        "{refused:?}"
    );
    store.is_down.store(false, Ordering::SeqCst);
    host.sync_states(&store).await;
    assert!(host.engines.runs.lock().unwrap().is_empty());
}

/// A host that cannot read the store must not report that a batch does not exist.
#[async_std::test]
async fn unknown_while_the_store_is_down() {
    let store = FaultyStore::new();
    let host = host(&store);
    let batch: BatchId = "b1".parse().unwrap();
    let organisation = "parish".parse().unwrap();
    let wait = jm_types::DurationMs::new(0);
    let read = host.service.read(&batch, Some(&organisation), 0, wait).await;
    assert_eq!(read, Err(ReadError::NotFound));
    store.is_down.store(true, Ordering::SeqCst);
    let read = host.service.read(&batch, Some(&organisation), 0, wait).await;
    assert!(matches!(read, Err(ReadError::Unavailable { .. })), "{read:?}");
}

/// Only the keys of a batch's organisation can access it.
#[async_std::test]
async fn other_organisation() {
    let store = FaultyStore::new();
    let host = host(&store);
    host.service.submit(spec("b1", &[1])).await.unwrap();
    let (batch, other): (BatchId, _) = ("b1".parse().unwrap(), "council".parse().unwrap());
    let body = host.service.body(&batch, Some(&other), "b1-0").await;
    assert_eq!(body, Err(ReadError::NotFound));
    let own = "parish".parse().unwrap();
    let body = host.service.body(&batch, Some(&own), "b1-0").await;
    assert_eq!(body, Ok(b"body 0".to_vec()));
}

/// A specification that exceeds the size of one object is stored in parts and read back completely.
#[async_std::test]
async fn larger_than_one_object() {
    let store = FaultyStore::new();
    let host = host(&store);
    let mut batch = spec("b1", &[1, 1, 1]);
    for item in &mut batch.items {
        item.body = vec![7; 500_000];
    }
    host.service.submit(batch).await.unwrap();
    let hosts = Arc::default();
    let script = Box::new(|_: &_, request: &_| text(request, 3, 1));
    let other = TestHost::start("host-b", &hosts, &store, Vec::new(), script);
    let (batch, own): (BatchId, _) = ("b1".parse().unwrap(), "parish".parse().unwrap());
    let body = other.service.body(&batch, Some(&own), "b1-2").await.unwrap();
    assert_eq!(body, vec![7; 500_000]);
}

/// After its end no item of a batch starts, and the stored results stay readable.
#[async_std::test]
async fn ended_batch() {
    let store = FaultyStore::new();
    let hosts = Arc::default();
    let script = Box::new(
        |_: &_, request: &jm_batch::GenerationRequest| match request.item {
            0 => text(request, 2, 1),
            _ => vec![common::Step::Stall],
        },
    );
    let host = TestHost::start("host-a", &hosts, &store, vec![engine("e1", 2, 1)], script);
    host.service.submit(spec("b1", &[9, 5, 5, 5])).await.unwrap();
    host.listed("b1", 1).await;
    let (batch, own): (BatchId, _) = ("b1".parse().unwrap(), "parish".parse().unwrap());
    host.service.end(&batch, Some(&own)).await.unwrap();
    let runs = host.engines.runs.lock().unwrap().len();
    host.service.routing_changed();
    async_std::task::sleep(std::time::Duration::from_millis(30)).await;
    assert_eq!(host.engines.runs.lock().unwrap().len(), runs);
    assert_eq!(host.listed("b1", 1).await.results.len(), 1);
    host.service.end(&batch, Some(&own)).await.unwrap();
}
