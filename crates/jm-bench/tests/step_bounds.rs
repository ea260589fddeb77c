//! Bounds of a training step in virtual time. The seeds are fixed, so the verdict is the same every time.

use jm_bench::steps::{MAX_DURATION_RATIO, MAX_EXTRA_SHARE, Outcome, Scenario, run_step};

const SIZES: [u32; 3] = [64, 512, 2_048];
const SEEDS: u64 = 3;

fn assert_bounds(scenario: &Scenario) {
    let outcome = run_step(scenario).unwrap();
    assert!(
        outcome.duration_ratio() <= MAX_DURATION_RATIO,
        "{scenario:?} {outcome:?}"
    );
    assert!(
        outcome.extra_share() <= MAX_EXTRA_SHARE,
        "{scenario:?} {outcome:?}"
    );
    assert_correct(scenario, &outcome);
}

fn assert_correct(scenario: &Scenario, outcome: &Outcome) {
    assert_eq!(
        (outcome.too_old, outcome.doubled),
        (0, 0),
        "{scenario:?} {outcome:?}"
    );
}

/// Guards against slow drafts that hold up a step whose drafts all run at once.
#[test]
fn one_round() {
    for samples in SIZES {
        for seed in 0..SEEDS {
            assert_bounds(&Scenario::new(samples, samples as usize * 9 / 8, seed));
        }
    }
}

/// Guards against slow drafts that take capacity from a step of 16 rounds.
#[test]
fn many_rounds() {
    for samples in SIZES {
        for seed in 0..SEEDS {
            assert_bounds(&Scenario::new(samples, samples as usize / 16, seed));
        }
    }
}

/// Guards against a measurement that the naive version would pass as well.
#[test]
fn naive_misses() {
    let scenario = Scenario {
        reissue: false,
        ..Scenario::new(64, 72, 0)
    };
    let outcome = run_step(&scenario).unwrap();
    assert!(outcome.duration_ratio() > MAX_DURATION_RATIO, "{outcome:?}");
    assert_correct(&scenario, &outcome);
}

/// Guards against samples beyond the bound when versions change often and the trainer reads seldom. The case
/// must reach samples that become too old, or it shows nothing.
#[test]
fn stale_samples() {
    for (staleness_bound, version_changes, read_interval_ms) in [(0, 1, 4_000), (1, 6, 60_000)] {
        let scenario = Scenario {
            staleness_bound,
            version_changes,
            read_interval_ms,
            ..Scenario::new(512, 32, 1)
        };
        let outcome = run_step(&scenario).unwrap();
        assert_correct(&scenario, &outcome);
        assert!(outcome.unusable > 0, "{scenario:?} {outcome:?}");
        assert!(outcome.duration_ms < 3_600_000, "{scenario:?} {outcome:?}");
    }
}
