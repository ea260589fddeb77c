//! Speed of an engine without the effect of its load.
//!
//! Load pattern: engines of one service differ in speed by more than a factor of two, and each of them is slower the more
//! items it runs. Comparing the observed times alone confuses both effects: a fast engine with many items looks like a
//! slow one with few. The base speed belongs to a run of an engine and is handed over to the next owner of its batches.

use jm_types::{DurationMs, TargetId};
use serde::{Deserialize, Serialize};

/// Relative increase of the time between events from an idle engine to a full one, before it was observed.
const INITIAL_SLOPE: f64 = 0.5;

/// Weight of the initial slope, as a sum of squared loads: 200 events at loads that deviate by a fifth.
const SLOPE_PRIOR_WEIGHT: f64 = 200.0 * 0.2 * 0.2;

/// Factor by which older events lose weight in the slope with each new one.
const SLOPE_DECAY: f64 = 0.9998;

/// Smallest slope, so that equal engines are always used least loaded first.
const MIN_SLOPE: f64 = 0.1;

/// Largest slope. A full engine with a larger one would finish less than a half of its items in the same time.
const MAX_SLOPE: f64 = 2.0;

/// Number of events from which the speed of an engine counts as observed. Fewer samples make equal engines look unequal.
const MIN_SAMPLES: u32 = 16;

/// Weight of the newest sample in the moving averages. With a relative deviation of a third per event, two equal engines
/// then differ by less than [`EQUAL_SPEED_RATIO`].
const SMOOTHING_FACTOR: f64 = 0.03;

/// Limit of a sample as a multiple of the average, so that one interruption does not make an engine slow.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Smallest base time. Events that arrive together would otherwise give an engine an infinite speed.
const MIN_BASE_MS: f64 = 0.1;

/// Engines whose base times differ by at most this ratio count as equally fast.
const EQUAL_SPEED_RATIO: f64 = 1.2;

/// Load of an engine beside one run, as a fraction of its slots.
pub(crate) fn load_beside(other_runs: usize, slots: usize) -> f64 {
    other_runs as f64 / slots.max(1) as f64
}

/// Effect of the load on the time between events, from deviations of both on the same engines. The speeds of the engines
/// therefore do not influence it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadSlope {
    squares: f64,
    products: f64,
    samples: f64,
    mean_load: f64,
}

impl LoadSlope {
    fn record(&mut self, load: f64, load_off: f64, relative_gap_off: f64) {
        self.squares = self.squares * SLOPE_DECAY + load_off * load_off;
        self.products = self.products * SLOPE_DECAY + load_off * relative_gap_off;
        self.samples = self.samples * SLOPE_DECAY + 1.0;
        self.mean_load += (load - self.mean_load) / self.samples;
    }

    /// Factor by which the load slows a run down.
    pub(crate) fn factor(&self, load: f64) -> f64 {
        1.0 + self.slope() * load
    }

    fn slope(&self) -> f64 {
        // The deviations are relative to the time at the mean load, not to that of an idle engine.
        let initial = INITIAL_SLOPE / (1.0 + INITIAL_SLOPE * self.mean_load);
        let relative = (self.products + initial * SLOPE_PRIOR_WEIGHT) / (self.squares + SLOPE_PRIOR_WEIGHT);
        let at_idle = 1.0 - relative * self.mean_load;
        match at_idle > 0.0 {
            true => (relative / at_idle).clamp(MIN_SLOPE, MAX_SLOPE),
            false => MAX_SLOPE,
        }
    }
}

/// Time between events of the runs of an engine, and the load at which it was observed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    gap_ms: f64,
    /// Mean load beside the observed runs.
    load: f64,
    /// Mean absolute deviation of the samples from the average.
    deviation_ms: f64,
    samples: u32,
}

impl EngineSpeed {
    /// Adds the time between two events of a run, during which the engine had the given load of this host beside it. The
    /// runs of other hosts are unknown, so their effect is a part of the base time.
    pub(crate) fn record(&mut self, gap: DurationMs, load: f64, slope: &mut LoadSlope) {
        let sample_ms = (gap.get() as f64).max(MIN_BASE_MS);
        if self.samples == 0 {
            (self.gap_ms, self.load) = (sample_ms, load);
        }
        let sample_ms = sample_ms.min(self.gap_ms * MAX_SAMPLE_RATIO);
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        let (gap_off_ms, load_off) = (sample_ms - self.gap_ms, load - self.load);
        if self.samples >= MIN_SAMPLES {
            slope.record(load, load_off, gap_off_ms / self.gap_ms);
        }
        self.gap_ms += weight * gap_off_ms;
        self.load += weight * load_off;
        self.deviation_ms += weight * (gap_off_ms.abs() - self.deviation_ms);
    }

    /// The time between events of a run alone on the engine; `None` until enough events were observed.
    pub(crate) fn base_ms(&self, slope: &LoadSlope) -> Option<f64> {
        self.gap_ms().map(|gap_ms| gap_ms / slope.factor(self.load))
    }

    /// The time between events at the observed load; `None` until enough events were observed.
    pub(crate) fn gap_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.gap_ms)
    }

    /// Whether the speed, which another host reported, can be used.
    pub(crate) fn is_valid(&self) -> bool {
        self.gap_ms.is_finite()
            && self.gap_ms >= MIN_BASE_MS
            && self.load.is_finite()
            && self.load >= 0.0
            && self.deviation_ms.is_finite()
            && self.deviation_ms >= 0.0
    }

    /// Relative error of the average to be expected from the deviation of its samples.
    pub(crate) fn noise(&self) -> f64 {
        let averaged = f64::from(self.samples.max(1)).min(2.0 / SMOOTHING_FACTOR);
        self.deviation_ms / self.gap_ms.max(MIN_BASE_MS) / averaged.sqrt()
    }
}

/// The speed of one run of an engine, as owners of batches pass it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObservedSpeed {
    /// The engine.
    pub target: TargetId,
    /// Start time of its run in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Its speed.
    pub speed: EngineSpeed,
}

/// Whether base times differ by more than the engines of equal speed do.
pub(crate) fn is_faster(base_ms: f64, other_base_ms: f64) -> bool {
    base_ms * EQUAL_SPEED_RATIO < other_base_ms
}

/// Engines that count as equally fast.
#[derive(Debug, Clone, Copy)]
struct SpeedClass {
    max_ms: f64,
    mean_ms: f64,
}

/// The base times used to compare a set of engines. Engines of similar base times form a class and are equal, so that the
/// load and the cached prompts decide between them, and not the errors of the observation.
#[derive(Debug, Clone)]
pub(crate) struct SpeedScale {
    /// Base time of an engine that was not observed: the mean of the others.
    mean_ms: f64,
    /// Fastest first.
    classes: Vec<SpeedClass>,
}

impl SpeedScale {
    /// Compares the observed base times of the engines. `initial_ms` applies if there is none.
    pub(crate) fn new(observed: impl Iterator<Item = f64>, initial_ms: f64) -> Self {
        let mut observed: Vec<f64> = observed.collect();
        observed.sort_by(f64::total_cmp);
        let classes = speed_classes(&observed);
        let mean_ms = match observed.is_empty() {
            true => initial_ms,
            false => mean(&observed),
        };
        Self { mean_ms, classes }
    }

    /// The base time of an engine with the given observed one.
    pub(crate) fn base_ms(&self, observed: Option<f64>) -> f64 {
        let Some(base_ms) = observed else {
            return self.mean_ms;
        };
        let class = self.classes.partition_point(|class| class.max_ms < base_ms);
        self.classes.get(class).map_or(base_ms, |class| class.mean_ms)
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Splits base times in ascending order into classes.
fn speed_classes(mut observed: &[f64]) -> Vec<SpeedClass> {
    let mut classes = Vec::new();
    while let Some(fastest_ms) = observed.first() {
        let count = observed.partition_point(|base_ms| !is_faster(*fastest_ms, *base_ms));
        let (class, slower) = observed.split_at(count);
        classes.push(SpeedClass {
            max_ms: class[count - 1],
            mean_ms: mean(class),
        });
        observed = slower;
    }
    classes
}
