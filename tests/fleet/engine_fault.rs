//! Steps on engines that fail or report wrong versions.

use std::collections::BTreeSet;

use jacinthmoor::demo::SAMPLE_MODEL;
use jm_standins::{EngineFault, StepResult};
use jm_types::{ModelId, WeightVersion};

use crate::{
    harness::{Fleet, VERSION},
    step_run::{FULL_RATE, StepRun},
};

/// Answers of each engine that meet the fault.
const FAULTY_ANSWERS: usize = 3;

const NEWER: WeightVersion = WeightVersion::new(6);

/// Older than the staleness bound of the steps allows.
const TOO_OLD: WeightVersion = WeightVersion::new(3);

fn model() -> ModelId {
    SAMPLE_MODEL.parse().expect("a valid id")
}

async fn run_with(name: &str, fault: EngineFault) -> (Fleet, StepResult) {
    let fleet = Fleet::start(3, 3, 0).await;
    for _ in 0..FAULTY_ANSWERS {
        for engine in &fleet.engines {
            engine.fail_next(fault);
        }
    }
    let run = fleet.start_step(name).await;
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    (fleet, result)
}

/// Guards against a second copy of an answer that fills another slot or lengthens a sample.
#[async_std::test]
async fn answer_twice() {
    run_with("twice", EngineFault::SendTwice).await;
}

/// Guards against a sample that waits for an engine which never goes on.
#[async_std::test]
async fn engine_stalls() {
    let fleet = Fleet::start(3, 3, 0).await;
    fleet.engines[0].fail_next(EngineFault::Stall { after_tokens: 5 });
    let run = fleet.start_step("stall").await;
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}

/// Guards against a sample without a version, which nobody can tell the age of.
#[async_std::test]
async fn no_version() {
    run_with("no-version", EngineFault::NoVersion).await;
}

/// Guards against a sample that is older than the bound, from an engine that has an older version than it was ordered
/// to load.
#[async_std::test]
async fn old_version() {
    let (_, result) = run_with("old-version", EngineFault::WrongVersion { version: TOO_OLD }).await;
    assert_eq!(versions_of(&result), BTreeSet::from([VERSION]));
}

/// Guards against a sample that names only one of the versions that produced it.
#[async_std::test]
async fn version_changes() {
    let fleet = Fleet::start(3, 3, 0).await;
    let run = fleet.start_step("changes").await;
    for engine in &fleet.engines {
        engine.set_version(model(), NEWER);
    }
    fleet.set_rate(FULL_RATE);
    let result = run.finish(&fleet).await;
    assert_eq!(versions_of(&result), BTreeSet::from([VERSION, NEWER]));
    assert!(has_mixed_sample(&result));
}

/// Guards against a sample that names only the engine on which it ended, when another one crashed in between.
#[async_std::test]
async fn engine_crashes() {
    let fleet = Fleet::start(3, 3, 0).await;
    fleet.engines[1].set_version(model(), NEWER);
    fleet.engines[2].set_version(model(), NEWER);
    let run = fleet.start_step("crash").await;
    fleet.engines[0].crash().await;
    fleet.set_rate(FULL_RATE);
    finish_mixed(run, &fleet).await;
}

async fn finish_mixed(run: StepRun, fleet: &Fleet) {
    let result = run.finish(fleet).await;
    assert_eq!(versions_of(&result), BTreeSet::from([VERSION, NEWER]));
}

fn versions_of(result: &StepResult) -> BTreeSet<WeightVersion> {
    let segments = result.samples.values().flat_map(|sample| &sample.segments);
    segments.map(|segment| segment.version).collect()
}

fn has_mixed_sample(result: &StepResult) -> bool {
    result.samples.values().any(|sample| sample.segments.len() > 1)
}
