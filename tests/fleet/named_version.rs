//! Training steps whose trainer announces a newer weight version while the step runs.

use jacinthmoor::demo::SAMPLE_MODEL;
use jm_standins::PlannedVersion;
use jm_types::{ModelId, WeightVersion};

use crate::{
    harness::{Fleet, wait_for},
    step_run::FULL_RATE,
};

/// Two versions newer than the version at the start of the step, so that samples of the start version exceed the
/// staleness bound of 1.
const NAMED: WeightVersion = WeightVersion::new(7);

const AFTER_SAMPLES: u64 = 8;

fn load(fleet: &Fleet, engine: usize) {
    let model: ModelId = SAMPLE_MODEL.parse().expect("a valid id");
    fleet.engines[engine].set_version(model, NAMED);
}

fn plan() -> Vec<PlannedVersion> {
    vec![PlannedVersion {
        after_samples: AFTER_SAMPLES,
        version: NAMED,
    }]
}

/// Guards against samples that were assigned before the newer version was announced and exceed the staleness bound
/// after it.
#[async_std::test]
async fn named_mid_step() {
    let fleet = Fleet::start(3, 3, 0).await;
    load(&fleet, 1);
    load(&fleet, 2);
    let run = fleet
        .start_step_with("named", |options| options.planned_versions = plan())
        .await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}

/// Guards against a new owner that measures staleness against the previous version, because its copy of the step lacks
/// the announced version.
#[async_std::test]
async fn named_then_killed() {
    let mut fleet = Fleet::start(3, 3, 0).await;
    load(&fleet, 1);
    load(&fleet, 2);
    let run = fleet
        .start_step_with("named-kill", |options| options.planned_versions = plan())
        .await;
    let (owner, holder) = fleet.owner_and_copy_holder().await;
    fleet.daemons[owner].kill();
    let third = 3 - owner - holder;
    wait_for("the takeover", || async {
        fleet.step_owner(third).await == Some(holder)
    })
    .await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(result.recreations, 0);
}
