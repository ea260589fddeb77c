//! A model of trainer, owner and copy holder: the owner dies at any point, and messages are late, doubled,
//! crossed or lost. Each slot must reach the trainer exactly once, within the staleness bound.

mod world;

use quickcheck::{Gen, QuickCheck};
use world::{Op, World};

fn exactly_once(ops: Vec<Op>) -> bool {
    let mut world = World::new();
    for op in &ops {
        world.apply(op);
    }
    world.drain();
    world.trainer_has_all()
}

/// Guards against lost, doubled, renumbered and too old samples across deaths of the owner and changes of the
/// copy holder. The checks of single samples are in [`World`].
#[test]
fn owner_dies() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(20_000)
        .max_tests(20_000)
        .quickcheck(exactly_once as fn(Vec<Op>) -> bool);
}

/// Guards against a model that never reaches the states it is written for.
#[test]
fn model_reach() {
    let mut g = Gen::from_size_and_seed(100, 22);
    let mut reached = world::Reached::default();
    for _ in 0..500 {
        let mut world = World::new();
        let ops: Vec<Op> = quickcheck::Arbitrary::arbitrary(&mut g);
        for op in &ops {
            world.apply(op);
        }
        world.drain();
        reached.add(&world.reached);
    }
    println!("{reached:?}");
    assert!(reached.takeovers > 100, "{reached:?}");
    assert!(reached.holder_changes > 100, "{reached:?}");
    assert!(reached.namings > 100, "{reached:?}");
    assert!(reached.dropped_too_old > 100, "{reached:?}");
    assert!(reached.late_answers > 100, "{reached:?}");
    assert!(reached.repeated_samples > 100, "{reached:?}");
    assert!(reached.resumed > 20, "{reached:?}");
    assert!(reached.stale_takeovers > 20, "{reached:?}");
    assert!(reached.refused_reads > 20, "{reached:?}");
    assert!(reached.degraded > 100, "{reached:?}");
    assert!(reached.lost_steps > 20, "{reached:?}");
}
