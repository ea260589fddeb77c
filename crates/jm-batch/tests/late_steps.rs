//! Guards against engines that are not ordered although steps are late, or are ordered for steps that are in time.

mod common;

use std::sync::Arc;

use common::{FaultyStore, Step, TestHost, engine, model, spec};
use jm_batch::GenerationRequest;

async fn host_with_batch(age_ms: u64) -> TestHost {
    let store = FaultyStore::new();
    let script = Box::new(|_: &_, _: &GenerationRequest| vec![Step::Silence]);
    let host = TestHost::start(
        "host-a",
        &Arc::default(),
        &store,
        vec![engine("e1", 4, 1)],
        script,
    );
    let mut batch = spec("b1", &[1, 2]);
    batch.submitted_unix_ms -= age_ms;
    host.service.submit(batch).await.unwrap();
    host
}

/// The batch is due after 7.5 s. A running one counts from 6 s on, so that an engine that takes seconds to start serves the
/// next one.
#[async_std::test]
async fn close_to_due() {
    let late = host_with_batch(6_500).await.service.late_models();
    assert_eq!(late.into_iter().collect::<Vec<_>>(), [model("m")]);
    assert!(host_with_batch(0).await.service.late_models().is_empty());
}

/// A batch that its submitter ended needs no engines, however late it was.
#[async_std::test]
async fn ended_late() {
    let host = host_with_batch(9_000).await;
    let organisation = "parish".parse().unwrap();
    let batch = "b1".parse().unwrap();
    host.service.end(&batch, Some(&organisation)).await.unwrap();
    assert!(host.service.late_models().is_empty());
}
