//! A training step whose owner is frozen for longer than the failure detection time.

use crate::{
    harness::{Fleet, wait_for},
    step_run::FULL_RATE,
};

/// Guards against two owners that both deliver samples: the frozen owner resumes after its copy holder has taken over
/// the step.
#[async_std::test]
async fn owner_frozen() {
    let fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("frozen").await;
    let (owner, holder) = fleet.owner_and_copy_holder().await;
    let third = 3 - owner - holder;
    fleet.daemons[owner].signal("STOP");
    wait_for("the takeover", || async {
        let answer = fleet.request_step(third, "frozen").await;
        answer.is_some_and(|answer| answer.status == 200) && fleet.step_owner(third).await == Some(holder)
    })
    .await;
    fleet.daemons[owner].signal("CONT");
    wait_for("one owner", || async {
        fleet.steps_at(third, owner).await == Some(0) && fleet.steps_at(third, holder).await == Some(1)
    })
    .await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}
