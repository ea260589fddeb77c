//! Guards against errors that misreport whether a change was applied.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use common::{order, remote, spare};
use jm_platform::{
    Condition, ObjectError, ObjectStore, OrderError, ReportError, TargetKind, TargetOrders, UsageReporter,
};
use jm_types::DurationMs;

/// Guards against a change that was applied and is reported as not applied.
#[async_std::test]
async fn lost_put_has_unknown_outcome() {
    let remote = remote().await;
    remote.server.set_faults(|faults| faults.lose_next = 1);
    let lost = remote
        .client
        .put("lease/a", b"me".to_vec(), Condition::Absent)
        .await
        .unwrap_err();
    assert!(matches!(lost, ObjectError::AnswerLost { .. }) && lost.may_be_applied());
    let stored = remote.client.get("lease/a").await.unwrap().unwrap();
    assert_eq!(stored.value, b"me");
    let again = remote
        .client
        .put("lease/a", b"me".to_vec(), Condition::Absent)
        .await;
    let current = Some(stored.version);
    assert_eq!(again, Err(ObjectError::Conflict { current }));
}

/// Guards against a deletion that was applied and is reported as not applied.
#[async_std::test]
async fn lost_delete_has_unknown_outcome() {
    let remote = remote().await;
    let version = remote.client.put("a", vec![], Condition::Any).await.unwrap();
    remote.server.set_faults(|faults| faults.lose_every = 2);
    let lost = remote
        .client
        .delete("a", Condition::Version(version))
        .await
        .unwrap_err();
    assert!(lost.may_be_applied());
    assert_eq!(remote.client.get("a").await.unwrap(), None);
}

/// Guards against a wrong report for a change during an outage: the change must not be applied and must be reported as
/// not applied.
#[async_std::test]
async fn outage_is_not_applied() {
    let remote = remote().await;
    remote.server.set_faults(|faults| faults.down = true);
    let down = remote.client.put("a", vec![], Condition::Any).await.unwrap_err();
    assert!(matches!(down, ObjectError::Unavailable { .. }) && !down.may_be_applied());
    assert!(remote.client.get("a").await.is_err());
    remote.server.set_faults(|faults| faults.down = false);
    assert_eq!(remote.client.get("a").await.unwrap(), None);
    remote.server.crash().await;
    let refused = remote.client.put("a", vec![], Condition::Any).await.unwrap_err();
    assert!(!refused.may_be_applied());
    remote.server.restart().await.unwrap();
    assert_eq!(remote.client.get("a").await.unwrap(), None);
}

/// Guards against a delayed change that is never applied.
#[async_std::test]
async fn delayed_put() {
    let remote = remote().await;
    remote
        .server
        .set_faults(|faults| faults.delay_ms = DurationMs::new(20));
    remote
        .client
        .put("a", b"late".to_vec(), Condition::Any)
        .await
        .unwrap();
    assert_eq!(remote.client.get("a").await.unwrap().unwrap().value, b"late");
}

/// Guards against interpreting the response of an unrelated server as one of the object API. A status 404 from such a
/// server must not be reported as a missing object.
#[async_std::test]
async fn unrelated_server() {
    let service = jm_standins::Engine::start(jm_standins::EngineOptions::default())
        .await
        .unwrap();
    let client = jm_platform::HttpPlatform::new(service.address(), jm_http::Limits::default());
    assert!(client.get("lease/a").await.is_err());
    assert!(client.list("").await.is_err());
    let unknown = client.put("lease/a", vec![], Condition::Any).await.unwrap_err();
    assert!(unknown.may_be_applied());
}

/// Guards against a second target when an order is retried because its response was lost.
#[async_std::test]
async fn lost_order_can_be_retried() {
    let remote = remote().await;
    for id in ["t1", "t2"] {
        remote
            .server
            .platform()
            .add_spare(spare(id, "riga-a", TargetKind::Cheap));
    }
    remote.server.set_faults(|faults| faults.lose_next = 1);
    let order = order("o1", "riga-a", TargetKind::Cheap, 1);
    let lost = remote.client.order(&order).await.unwrap_err();
    assert!(matches!(lost, OrderError::OrderAnswerLost { .. }));
    let target = remote.client.order(&order).await.unwrap();
    assert_eq!(remote.client.targets().await.unwrap(), [target]);
}

/// Guards against a report that is recorded twice or whose retry is refused.
#[async_std::test]
async fn lost_report_can_be_retried() {
    let remote = remote().await;
    remote.server.set_faults(|faults| faults.lose_next = 1);
    let lost = remote.client.report("2024-01/1", b"sum").await.unwrap_err();
    assert!(matches!(lost, ReportError::ReportAnswerLost { .. }));
    remote.client.report("2024-01/1", b"sum").await.unwrap();
    let recorded = remote.server.platform().reports();
    assert_eq!(recorded, [("2024-01/1".to_owned(), b"sum".to_vec())]);
    assert_eq!(remote.server.platform().reports_received().len(), 2);
}
