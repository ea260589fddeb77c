//! The client's call counter. The platform counts and limits calls, so both counts must agree.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use common::remote;
use jm_platform::{Condition, MAX_VALUE_BYTES, ObjectStore, Version};
use jm_standins::CallKind;
use jm_types::DurationMs;

/// Guards against calls that the client does not count, and against counted calls that were never sent.
#[async_std::test]
async fn client_and_server_count_the_same_calls() {
    let remote = remote().await;
    let client = &remote.client;
    client.put("a", vec![], Condition::Any).await.unwrap();
    client.put("a", vec![], Condition::Absent).await.unwrap_err();
    client
        .put("a", vec![0; MAX_VALUE_BYTES + 1], Condition::Any)
        .await
        .unwrap_err();
    client.get("a").await.unwrap();
    client.list("").await.unwrap();
    client
        .watch("", Version::new(1), DurationMs::new(10))
        .await
        .unwrap();
    client.delete("a", Condition::Any).await.unwrap();
    let calls = remote.server.calls();
    let counted: Vec<_> = calls.into_iter().collect();
    let expected = [
        (CallKind::Get, 1),
        (CallKind::Put, 2),
        (CallKind::Delete, 1),
        (CallKind::List, 1),
        (CallKind::Watch, 1),
    ];
    assert_eq!(counted, expected);
    assert_eq!((client.calls(), remote.server.total_calls()), (6, 6));
}
