//! A trainer that reads a step on at other entry hosts.

use crate::{harness::Fleet, step_run::FULL_RATE};

/// Guards against samples that are lost or come with other content when the connection is lost after each few samples.
#[async_std::test]
async fn read_elsewhere() {
    let fleet = Fleet::start(3, 3, 0).await;
    let run = fleet
        .start_step_with("moves", |options| options.switch_address_every = Some(3))
        .await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert!(result.address_switches > 0);
    assert_eq!(result.recreations, 0);
}

/// Guards against a search for the owner that never ends, and against one that blames the fleet for a wrong name.
#[async_std::test]
async fn unknown_step() {
    let fleet = Fleet::start(3, 3, 0).await;
    let answer = fleet.ask_for_step(0, "never-created").await.expect("an answer");
    assert_eq!(answer.status, 404, "{answer:?}");
    assert_eq!(answer.code().as_deref(), Some("JM6001"));
}
