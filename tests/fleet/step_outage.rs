//! Training steps while the object store is down.

use crate::{harness::Fleet, step_run::FULL_RATE};

/// Guards against a running step that depends on the store.
#[async_std::test]
async fn store_down() {
    let fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("outage").await;
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.wait_for_finished_drafts(4).await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against a takeover that depends on the store.
#[async_std::test]
async fn owner_killed_in_outage() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("outage-kill").await;
    let (owner, _) = fleet.owner_and_copy_holder().await;
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet.daemons[owner].kill();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}
