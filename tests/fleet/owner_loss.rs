//! Steps whose owner or copy holder dies.

use crate::{harness::Fleet, step_run::FULL_RATE};

/// Guards against a trainer that is told that its step is unknown while its copy holder does not know yet that the
/// owner is dead; the trainer would create the step again and lose the drafts.
#[async_std::test]
async fn owner_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("owner-killed").await;
    let (owner, _) = fleet.step_places().await;
    fleet.daemons[owner].kill();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against an owner that waits for a copy holder which is dead.
#[async_std::test]
async fn copy_holder_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("holder-killed").await;
    let (_, holder) = fleet.step_places().await;
    fleet.daemons[holder].kill();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against a step that survives one loss only: the new owner must have copied the step again before it hands
/// out samples.
#[async_std::test]
async fn owners_killed_in_turn() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("in-turn").await;
    let (owner, holder) = fleet.step_places().await;
    let third = 3 - owner - holder;
    fleet.daemons[owner].kill();
    crate::harness::wait_for("the takeover", || async {
        fleet.step_owner(third).await == Some(holder) && fleet.copy_holder(third).await == Some(third)
    })
    .await;
    fleet.wait_drafts(4).await;
    fleet.daemons[holder].kill();
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}

/// Guards against samples that come twice when the only two daemons with the step die at once; the trainer creates
/// the step again and names what it holds.
#[async_std::test]
async fn owner_and_copy_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("both-killed").await;
    let (owner, holder) = fleet.step_places().await;
    fleet.daemons[owner].kill();
    fleet.daemons[holder].kill();
    fleet.daemons[owner].restart();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert!(result.recreations >= 1);
}

/// Guards against a copy holder that takes a restarted daemon for the owner that it was before.
#[async_std::test]
async fn owner_restarted_at_once() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("owner-restarted").await;
    let (owner, _) = fleet.step_places().await;
    fleet.daemons[owner].kill();
    fleet.daemons[owner].restart();
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against samples that are handed out before the copy holder has them: when the owner dies, the new owner would
/// draft their slots a second time.
///
/// The name of the step makes the first host neither its owner nor its copy holder, so that the trainer, which reads
/// there, goes on while the copy holder is frozen.
#[async_std::test]
async fn copy_not_confirmed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("unconfirmed-0").await;
    let (owner, holder) = fleet.step_places().await;
    assert!(owner != 0 && holder != 0, "the step is at {owner} and {holder}");
    fleet.daemons[holder].signal("STOP");
    fleet.wait_drafts(16).await;
    fleet.daemons[owner].kill();
    fleet.daemons[holder].signal("CONT");
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}
