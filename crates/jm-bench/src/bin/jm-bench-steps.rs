//! `jm-bench-steps`: measures the duration of training steps with and without the re-issue of slow drafts, compares it
//! with the stated bounds, and measures the time and memory of the step assembly per slot.

use std::{error::Error, fs, time::Instant};

use jm_bench::steps::{MAX_DURATION_RATIO, MAX_EXTRA_SHARE, Outcome, Scenario, run_step};
use jm_step::{FreeCapacity, Segment, StepAssembly, StepCopy, StepOptions, StepSpec};
use jm_types::{Sequence, Timestamp, TokenCount, WeightVersion};

const SIZES: [u32; 3] = [64, 512, 2_048];
const SEEDS: u64 = 10;
const SLOTS: u32 = 2_048;
const STEPS: usize = 64;
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "maximum over {SEEDS} seeds; bounds: duration {MAX_DURATION_RATIO} x lower bound, extra {MAX_EXTRA_SHARE}"
    );
    println!("samples drafts mode       duration extra  reissued unusable too_old duplicates verdict");
    for samples in SIZES {
        // All samples at once with an eighth of spare capacity, 16 rounds, and 4 rounds.
        let size = samples as usize;
        for concurrent_drafts in [size * 9 / 8, size / 16, size / 4] {
            for mode in Mode::ALL {
                print_max(samples, concurrent_drafts, mode)?;
            }
        }
    }
    print_cost()
}

/// Ways to run a step that the benchmark compares.
#[derive(Debug, Clone, Copy)]
enum Mode {
    /// The step waits for slow drafts.
    Naive,
    /// Slow drafts are re-issued.
    Reissue,
    /// No draft is slow. Shows the part of the duration that results from drafts being indivisible.
    NoneSlow,
}

impl Mode {
    const ALL: [Self; 3] = [Self::Naive, Self::Reissue, Self::NoneSlow];

    const fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive    ",
            Self::Reissue => "re-issue ",
            Self::NoneSlow => "none slow",
        }
    }

    fn scenario(self, samples: u32, concurrent_drafts: usize, seed: u64) -> Scenario {
        let default = Scenario::new(samples, concurrent_drafts, seed);
        match self {
            Self::Naive => Scenario {
                reissue: false,
                ..default
            },
            Self::Reissue => default,
            Self::NoneSlow => Scenario {
                slow_share: 0.0,
                ..default
            },
        }
    }
}

fn print_max(samples: u32, concurrent_drafts: usize, mode: Mode) -> Result<(), Box<dyn Error>> {
    let mut outcomes = Vec::new();
    for seed in 0..SEEDS {
        outcomes.push(run_step(&mode.scenario(samples, concurrent_drafts, seed))?);
    }
    let max = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let sum = |value: fn(&Outcome) -> u64| outcomes.iter().map(value).sum::<u64>();
    let (duration, extra) = (max(Outcome::duration_ratio), max(Outcome::extra_share));
    let is_within_bounds = duration <= MAX_DURATION_RATIO
        && extra <= MAX_EXTRA_SHARE
        && sum(|outcome| outcome.too_old + outcome.duplicates) == 0;
    println!(
        "{samples:7} {concurrent_drafts:6} {} {duration:8.3} {extra:6.4} {:8} {:8} {:7} {:10} {}",
        mode.name(),
        sum(|outcome| outcome.reissued),
        sum(|outcome| outcome.unusable),
        sum(|outcome| outcome.too_old),
        sum(|outcome| outcome.duplicates),
        if is_within_bounds { "held" } else { "MISSED" },
    );
    Ok(())
}

/// Measures steps without engines: every sample is drafted, bound, copied, delivered and acknowledged.
fn print_cost() -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let start = Instant::now();
    let mut steps = Vec::new();
    for _ in 0..STEPS {
        steps.push(step_with_bound_samples()?);
    }
    let resident = resident_bytes()?.saturating_sub(before);
    for (step, _) in &mut steps {
        let delivered = step.deliver(Sequence::new(0), usize::MAX).len();
        step.acknowledge(Sequence::new(delivered as u64))?;
    }
    let slots = u64::from(SLOTS) * STEPS as u64;
    let time_ns = start.elapsed().as_nanos() / u128::from(slots);
    println!(
        "{SLOTS} samples: {time_ns} ns per slot, {} bytes per slot without text, owner and copy together",
        resident / slots
    );
    Ok(())
}

fn step_with_bound_samples() -> Result<(StepAssembly, StepCopy), Box<dyn Error>> {
    let version = WeightVersion::new(1);
    let spec = StepSpec {
        step: "step".parse()?,
        service: "drafts".parse()?,
        weight_version: version,
        staleness_bound: 1,
        group_size: 8,
        samples: SLOTS,
        prompts: vec![String::new(); SLOTS as usize / 8],
        max_tokens: TokenCount::new(1_000),
        held: Vec::new(),
    };
    let free = FreeCapacity {
        version,
        drafts: SLOTS as usize,
    };
    let mut step = StepAssembly::new(spec, StepOptions::default())?;
    let mut copy = StepCopy::default();
    for draft in step.next_drafts(Timestamp::new(0), &[free]).start {
        let target = "engine-1".parse()?;
        step.on_started(draft.attempt, target, Some(version), Timestamp::new(0));
        let segment = Segment {
            version: Some(version),
            tokens: TokenCount::new(500),
        };
        let now = Timestamp::new(10_000);
        let effects = step.on_finished(draft.attempt, vec![segment], String::new(), now);
        for message in effects.copy {
            step.on_copy_receipt(copy.accept(&message)?);
        }
    }
    for message in step.pending_copies() {
        step.on_copy_receipt(copy.accept(&message)?);
    }
    Ok((step, copy))
}

/// Resident memory of this process in bytes. The second field of `statm` counts pages.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or("/proc/self/statm has no field for resident memory")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}
