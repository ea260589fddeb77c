//! A training step on fake engines in virtual time, to compare re-issue with waiting for slow drafts.
//!
//! Every attempt, also one that is issued again, is slow with the same probability. The length of a sample
//! belongs to its slot, so the work that is necessary does not depend on the order of events.

mod fleet;
mod run;

pub use run::run_step;

/// Share of the necessary tokens that may be spent twice.
pub const MAX_EXTRA_SHARE: f64 = 0.05;
/// The step may take this many times the lower bound.
pub const MAX_DURATION_RATIO: f64 = 1.1;

/// A step and the fleet that drafts it.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of samples.
    pub samples: u32,
    /// Drafts that the fleet runs at the same time.
    pub places: usize,
    /// Engines that the places are spread over.
    pub engines: usize,
    /// Probability that an attempt takes ten times as long.
    pub slow_share: f64,
    /// New versions that the trainer names while the step runs, evenly spread over the lower bound.
    pub version_changes: u32,
    /// Versions that a sample may be behind.
    pub staleness_bound: u64,
    /// Time between two reads of the trainer.
    pub read_interval_ms: u64,
    /// Whether slow drafts are issued again.
    pub reissue: bool,
    /// Seed of the lengths and of the slow attempts.
    pub seed: u64,
}

impl Scenario {
    /// A step of the usual kind: 5% slow attempts and the trainer's reads every 100 ms.
    pub const fn new(samples: u32, places: usize, seed: u64) -> Self {
        Self {
            samples,
            places,
            engines: 10,
            slow_share: 0.05,
            version_changes: 1,
            staleness_bound: 1,
            read_interval_ms: 100,
            reissue: true,
            seed,
        }
    }
}

/// What a run of a [`Scenario`] gave.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Time until the trainer had every sample.
    pub duration_ms: u64,
    /// Necessary work over capacity, or the longest necessary draft, whichever is larger.
    pub lower_bound_ms: f64,
    /// Tokens of the delivered samples.
    pub necessary_tokens: u64,
    /// Tokens of cancelled drafts. Unusable samples are counted by themselves.
    pub extra_tokens: u64,
    /// Slow drafts that were issued again.
    pub reissued: u64,
    /// Bound samples or answers that were too old or had no version.
    pub unusable: u64,
    /// Samples that were beyond the bound of the trainer's version when the trainer got them.
    pub too_old: u64,
    /// Samples for a slot that the trainer had already.
    pub doubled: u64,
}

impl Outcome {
    /// Duration as a multiple of the lower bound.
    pub fn duration_ratio(&self) -> f64 {
        self.duration_ms as f64 / self.lower_bound_ms
    }

    /// Extra tokens as a share of the necessary ones.
    pub fn extra_share(&self) -> f64 {
        self.extra_tokens as f64 / self.necessary_tokens as f64
    }
}
