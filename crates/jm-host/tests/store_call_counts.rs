//! Guards against store calls that the metrics do not attribute to an operation, a kind of object and an outcome.

use std::sync::Arc;

use jm_host::{InstrumentedStore, STORE_CALL_LABELS};
use jm_platform::{Condition, MemoryPlatform, ObjectStore};
use prometheus::{IntCounterVec, Opts};

#[async_std::test]
async fn by_call_kind_and_outcome() {
    let calls = IntCounterVec::new(Opts::new("calls", "Calls."), &STORE_CALL_LABELS).unwrap();
    let store = InstrumentedStore::new(Arc::new(MemoryPlatform::default()), calls.clone());
    store.put("batch/b1", vec![1], Condition::Absent).await.unwrap();
    store
        .put("batch/b1", vec![2], Condition::Absent)
        .await
        .unwrap_err();
    store.get("batch/b1").await.unwrap();
    store.get("batch/b2").await.unwrap();
    store.list("member/").await.unwrap();
    let count = |labels: [&str; 3]| calls.with_label_values(&labels).get();
    assert_eq!(count(["put", "batch", "ok"]), 1);
    assert_eq!(count(["put", "batch", "conflict"]), 1);
    assert_eq!(count(["get", "batch", "ok"]), 2);
    assert_eq!(count(["list", "member", "ok"]), 1);
}
