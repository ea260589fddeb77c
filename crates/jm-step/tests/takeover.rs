//! Model-based test of trainer, owner and copy holder. The owner crashes or is suspended at any point, and messages
//! are delayed, duplicated, reordered or lost. The trainer must receive each slot exactly once, within the staleness
//! bound.

mod model;

use model::{Op, StepModel};
use quickcheck::{Gen, QuickCheck};

fn exactly_once(ops: Vec<Op>) -> bool {
    let mut model = StepModel::new();
    for op in &ops {
        model.apply(op);
    }
    model.drain();
    model.is_complete()
}

/// Guards against lost, duplicated, renumbered and too old samples across crashes of the owner and changes of the
/// copy holder. [`StepModel`] checks each sample when the trainer receives it.
#[test]
fn owner_dies() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(20_000)
        .max_tests(20_000)
        .quickcheck(exactly_once as fn(Vec<Op>) -> bool);
}

/// Guards against a model that never reaches the states that `owner_dies` is meant to test.
#[test]
fn model_coverage() {
    let mut g = Gen::from_size_and_seed(100, 22);
    let mut coverage = model::Coverage::default();
    for _ in 0..500 {
        let mut model = StepModel::new();
        let ops: Vec<Op> = quickcheck::Arbitrary::arbitrary(&mut g);
        for op in &ops {
            model.apply(op);
        }
        model.drain();
        coverage.add(&model.coverage);
    }
    println!("{coverage:?}");
    assert!(coverage.takeovers > 100, "{coverage:?}");
    assert!(coverage.holder_changes > 100, "{coverage:?}");
    assert!(coverage.namings > 100, "{coverage:?}");
    assert!(coverage.dropped_too_old > 100, "{coverage:?}");
    assert!(coverage.late_answers > 100, "{coverage:?}");
    assert!(coverage.repeated_samples > 100, "{coverage:?}");
    assert!(coverage.resumed > 20, "{coverage:?}");
    assert!(coverage.stale_takeovers > 20, "{coverage:?}");
    assert!(coverage.rejected_reads > 20, "{coverage:?}");
    assert!(coverage.degraded > 100, "{coverage:?}");
    assert!(coverage.lost_steps > 20, "{coverage:?}");
}
