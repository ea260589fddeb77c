//! Checks the bounds of simulated training steps in virtual time. The seeds are fixed, so the results are
//! deterministic.

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
        (outcome.too_old, outcome.duplicates),
        (0, 0),
        "{scenario:?} {outcome:?}"
    );
}

/// Guards against slow drafts that delay a step whose drafts all run concurrently.
#[test]
fn one_round() {
    for samples in SIZES {
        for seed in 0..SEEDS {
            assert_bounds(&Scenario::new(samples, samples as usize * 9 / 8, seed));
        }
    }
}

/// Guards against slow drafts that occupy the capacity of a step with 16 rounds of drafts.
#[test]
fn many_rounds() {
    for samples in SIZES {
        for seed in 0..SEEDS {
            assert_bounds(&Scenario::new(samples, samples as usize / 16, seed));
        }
    }
}

/// Guards against bounds so loose that a step without re-issue meets them.
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

/// Guards against the delivery of samples beyond the staleness bound when versions change often and the trainer reads
/// rarely. Some samples must become unusable, because otherwise the test would not exercise the check.
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
