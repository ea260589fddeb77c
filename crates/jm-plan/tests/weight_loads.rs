//! Guards against too many concurrent loads, loads that are ordered twice, and steps without usable engines.

use indexmap::IndexMap;
use jm_plan::{EngineWeights, WeightLoadOptions, WeightLoadPlan};
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

fn model() -> ModelId {
    "m".parse().unwrap()
}

fn engines(versions: &[u64]) -> Vec<EngineWeights<usize>> {
    let engine = |(run, version): (usize, &u64)| EngineWeights {
        run,
        versions: IndexMap::from([(model(), WeightVersion::new(*version))]),
        model: None,
    };
    versions.iter().enumerate().map(engine).collect()
}

fn named(version: u64) -> IndexMap<ModelId, WeightVersion> {
    IndexMap::from([(model(), WeightVersion::new(version))])
}

fn runs(plan: &mut WeightLoadPlan<usize>, versions: &[u64], newest: u64, now_ms: u64) -> Vec<usize> {
    let needed = named(newest.saturating_sub(1));
    let loads = plan.next(
        &engines(versions),
        &named(newest),
        &needed,
        Timestamp::new(now_ms),
    );
    loads.into_iter().map(|load| load.run).collect()
}

#[test]
fn few_at_a_time() {
    let mut plan = WeightLoadPlan::new(WeightLoadOptions::default());
    assert_eq!(runs(&mut plan, &[1; 11], 2, 0).len(), 2);
    assert!(
        runs(&mut plan, &[1; 11], 2, 100).is_empty(),
        "two loads are running"
    );
    plan.loaded(&0, DurationMs::new(900));
    assert_eq!(
        runs(&mut plan, &[2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1], 2, 500).len(),
        1
    );
}

#[test]
fn most_outdated_engines_load_first() {
    let mut plan = WeightLoadPlan::new(WeightLoadOptions::default());
    let loads = runs(&mut plan, &[4, 4, 3, 4, 2, 4, 4, 4, 4, 4], 5, 0);
    assert_eq!(loads, [4, 2], "engines that no step can use load first");
}

/// Guards against a refused order that is repeated at once or that blocks the other engines.
#[test]
fn refused_order() {
    let mut plan = WeightLoadPlan::new(WeightLoadOptions::default());
    assert_eq!(runs(&mut plan, &[1, 1, 1], 2, 0), [0]);
    plan.failed(&0, Timestamp::new(50));
    assert_eq!(runs(&mut plan, &[1, 1, 1], 2, 60), [1]);
    plan.already_loaded(&1);
    assert_eq!(runs(&mut plan, &[1, 2, 2], 2, 1_000), [0]);
}

/// Guards against an engine that is not ordered again after a load without a result.
#[test]
fn lost_load() {
    let mut plan = WeightLoadPlan::new(WeightLoadOptions::default());
    assert_eq!(runs(&mut plan, &[1], 2, 0), [0]);
    assert!(runs(&mut plan, &[1], 2, 5_000).is_empty());
    assert_eq!(runs(&mut plan, &[1], 2, 6_000), [0]);
}

/// Guards against loads when no newer version exists.
#[test]
fn no_newer_version() {
    let mut plan = WeightLoadPlan::new(WeightLoadOptions::default());
    assert!(runs(&mut plan, &[3, 3], 3, 0).is_empty());
    assert!(
        runs(&mut plan, &[4, 3], 3, 0).is_empty(),
        "an engine has a newer version than the newest one known"
    );
}
