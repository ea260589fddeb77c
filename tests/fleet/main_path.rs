//! Completions, orders and a training step through separate processes.

use crate::harness::{Fleet, step};

/// Guards against a feature that works only when all daemons run in one process.
#[async_std::test]
async fn separate_processes() {
    let fleet = Fleet::start(3, 3, 2).await;
    for daemon in 0..3 {
        let answer = fleet.complete(daemon, 20).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.text().lines().count(), 21);
    }
    let ticket = fleet.ticket(0).await;
    for daemon in 0..3 {
        let answer = fleet
            .order(daemon, "order-1", &[("order-ticket", &ticket)])
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(fleet.executions("order-1"), 1);
    let result = fleet
        .trainer()
        .run(&step("step-1", 64, 16))
        .await
        .expect("the step ends");
    assert_eq!(result.samples.len(), 64);
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    let burn = fleet.burn_report(0).await;
    assert_eq!(burn.status, 200, "{burn:?}");
    let report: serde_json::Value = serde_json::from_str(burn.text()).expect("JSON");
    let rows = report["rows"].as_array().expect("rows");
    assert!(rows.iter().any(|row| row["service"] == "drafts"), "{report}");
}
