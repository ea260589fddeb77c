//! A trainer that resumes reading a step at other entry hosts.

use crate::{harness::Fleet, step_run::FULL_RATE};

/// Guards against samples that are lost or change when the trainer reconnects after every 3 samples.
#[async_std::test]
async fn resumes_at_another_entry() {
    let fleet = Fleet::start(3, 3, 0).await;
    let run = fleet
        .start_step_with("moves", |options| options.switch_address_every = Some(3))
        .await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert!(result.address_switches > 0);
    assert_eq!(result.recreations, 0);
}

/// Guards against an endless search for the owner of a step that does not exist, and against an answer that reports a
/// fault of the service instead of an unknown step.
#[async_std::test]
async fn unknown_step() {
    let fleet = Fleet::start(3, 3, 0).await;
    let answer = fleet.request_step(0, "never-created").await.expect("an answer");
    assert_eq!(answer.status, 404, "{answer:?}");
    assert_eq!(answer.code().as_deref(), Some("JM6001"));
}
