//! Training steps on engines that fail or report wrong weight versions.

use std::collections::BTreeSet;

use jacinthmoor::demo::SAMPLE_MODEL;
use jm_standins::{EngineFault, StepResult};
use jm_types::{ModelId, WeightVersion};

use crate::{
    harness::{Fleet, VERSION},
    step_run::{FULL_RATE, StepRun},
};

/// Answers of each engine to which the fault applies.
const FAULTY_ANSWERS: usize = 3;

const NEWER: WeightVersion = WeightVersion::new(6);

/// A version that is older than the staleness bound of the steps allows.
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

/// Guards against a duplicate answer that fills another slot or is appended to a sample.
#[async_std::test]
async fn duplicate_answer() {
    run_with("twice", EngineFault::SendTwice).await;
}

/// Guards against a sample that waits forever for a stalled engine.
#[async_std::test]
async fn engine_stalls() {
    let fleet = Fleet::start(3, 3, 0).await;
    fleet.engines[0].fail_next(EngineFault::Stall { after_tokens: 5 });
    let run = fleet.start_step("stall").await;
    fleet.set_rate(FULL_RATE);
    run.finish(&fleet).await;
}

/// Guards against a sample without a version, whose staleness cannot be determined.
#[async_std::test]
async fn no_version() {
    run_with("no-version", EngineFault::NoVersion).await;
}

/// Guards against a sample that exceeds the staleness bound, from an engine that runs an older version than the one
/// that it was ordered to load.
#[async_std::test]
async fn old_version() {
    let (_, result) = run_with("old-version", EngineFault::WrongVersion { version: TOO_OLD }).await;
    assert_eq!(versions_of(&result), BTreeSet::from([VERSION]));
}

/// Guards against a sample that reports only one of the versions that generated it.
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

/// Guards against a sample that reports only the version of its last engine after another engine crashed midway.
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
