//! Guards against two daemons that hold a valid guard of the same lease. Hosts are suspended, and requests and
//! responses are delayed or lost between any two steps. Clock speeds deviate by up to 2%.

mod model;

use model::World;
use quickcheck::{Arbitrary, Gen};

const RUNS: u64 = 1_000;
const STEPS: usize = 400;

fn steps(seed: u64) -> Vec<(u8, u8)> {
    let mut source = Gen::from_size_and_seed(STEPS, seed);
    (0..STEPS).map(|_| <(u8, u8)>::arbitrary(&mut source)).collect()
}

fn run(steps: &[(u8, u8)]) -> Result<(usize, usize), String> {
    let mut world = World::new(3);
    for (index, (kind, choice)) in steps.iter().enumerate() {
        world
            .step(*kind, *choice)
            .map_err(|fault| format!("step {index}: {fault}"))?;
    }
    let takeovers = world.store.wire().takeovers;
    Ok((takeovers, world.settle()?))
}

#[test]
fn one_holder() {
    let mut takeovers = 0_u64;
    for seed in 0..RUNS {
        match run(&steps(seed)) {
            Ok((count, valid)) => {
                takeovers += count as u64;
                assert_eq!(valid, 1, "seed {seed}: no holder after the faults ended");
            }
            Err(fault) => panic!("seed {seed}: {fault}"),
        }
    }
    assert!(takeovers > RUNS, "too few takeovers in the runs: {takeovers}");
}
