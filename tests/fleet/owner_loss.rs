//! Training steps whose owner or copy holder is killed.

use crate::{harness::Fleet, step_run::FULL_RATE};

/// Guards against an "unknown step" answer to the trainer while the copy holder has not yet detected the failure of the
/// owner. The trainer would create the step again and lose the drafts.
#[async_std::test]
async fn owner_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("owner-killed").await;
    let (owner, _) = fleet.owner_and_copy_holder().await;
    fleet.daemons[owner].kill();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against an owner that waits for a failed copy holder.
#[async_std::test]
async fn copy_holder_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("holder-killed").await;
    let (_, holder) = fleet.owner_and_copy_holder().await;
    fleet.daemons[holder].kill();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against a step that survives only one loss. The new owner must copy the step again before it delivers
/// samples.
#[async_std::test]
async fn owners_killed_in_turn() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("in-turn").await;
    let (owner, holder) = fleet.owner_and_copy_holder().await;
    let third = 3 - owner - holder;
    fleet.daemons[owner].kill();
    crate::harness::wait_for("the takeover", || async {
        fleet.step_owner(third).await == Some(holder) && fleet.copy_holder(third).await == Some(third)
    })
    .await;
    fleet.wait_for_finished_drafts(4).await;
    fleet.daemons[holder].kill();
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}

/// Guards against duplicate samples when the owner and the copy holder are killed together. The trainer creates the
/// step again and lists the samples that it already has.
#[async_std::test]
async fn owner_and_copy_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("both-killed").await;
    let (owner, holder) = fleet.owner_and_copy_holder().await;
    fleet.daemons[owner].kill();
    fleet.daemons[holder].kill();
    fleet.daemons[owner].restart();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert!(result.recreations >= 1);
}

/// Guards against a copy holder that mistakes a restarted daemon for the previous incarnation, which owned the step.
#[async_std::test]
async fn owner_restarted_at_once() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("owner-restarted").await;
    let (owner, _) = fleet.owner_and_copy_holder().await;
    fleet.daemons[owner].kill();
    fleet.daemons[owner].restart();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against samples that are delivered before the copy holder has them. After a failure of the owner, the new
/// owner would draft their slots a second time.
///
/// The step id is chosen so that the first host is neither owner nor copy holder. The trainer reads there and can
/// continue while the copy holder is frozen.
#[async_std::test]
async fn copy_not_confirmed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("unconfirmed-0").await;
    let (owner, holder) = fleet.owner_and_copy_holder().await;
    assert!(owner != 0 && holder != 0, "owner {owner}, copy holder {holder}");
    fleet.daemons[holder].signal("STOP");
    fleet.wait_for_finished_drafts(16).await;
    fleet.daemons[owner].kill();
    fleet.daemons[holder].signal("CONT");
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}
