//! Simulates a training step on fake engines in virtual time, to compare the re-issue of slow drafts with waiting for
//! them.
//!
//! Every attempt is slow with the same probability, including re-issued attempts. The length of a sample is fixed per
//! slot, so the necessary work does not depend on the order of events.

mod fleet;
mod run;

pub use run::run_step;

/// Maximum of [`Outcome::extra_share`]: tokens of cancelled drafts as a share of the necessary tokens.
pub const MAX_EXTRA_SHARE: f64 = 0.05;
/// Maximum of [`Outcome::duration_ratio`]: the duration of a step as a multiple of its lower bound.
pub const MAX_DURATION_RATIO: f64 = 1.1;

/// A training step and the simulated fleet that generates its drafts.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of samples in the step.
    pub samples: u32,
    /// Maximum number of drafts that the fleet runs concurrently.
    pub concurrent_drafts: usize,
    /// Number of engines. The concurrent drafts are spread evenly over them.
    pub engines: usize,
    /// Probability that an attempt takes ten times as long.
    pub slow_share: f64,
    /// Number of new versions that the trainer names during the step, evenly spread over the lower bound.
    pub version_changes: u32,
    /// Maximum number of versions by which a sample may lag behind the trainer's version.
    pub staleness_bound: u64,
    /// Interval at which the trainer reads samples.
    pub read_interval_ms: u64,
    /// Whether slow drafts are re-issued; `false` is the naive version.
    pub reissue: bool,
    /// Seed of the sample lengths and of the choice of slow attempts.
    pub seed: u64,
}

impl Scenario {
    /// A typical step: 5% slow attempts and a trainer that reads every 100 ms.
    pub const fn new(samples: u32, concurrent_drafts: usize, seed: u64) -> Self {
        Self {
            samples,
            concurrent_drafts,
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

/// Result of a run of a [`Scenario`].
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Virtual time until the trainer received every sample, at most one hour.
    pub duration_ms: u64,
    /// The larger of the necessary work divided by the capacity and the duration of the longest necessary draft.
    pub lower_bound_ms: f64,
    /// Sum of the sample lengths in tokens.
    pub necessary_tokens: u64,
    /// Tokens of cancelled drafts. Unusable samples are counted separately, in `unusable`.
    pub extra_tokens: u64,
    /// Number of slow drafts that were re-issued.
    pub reissued: u64,
    /// Number of bound samples and answers that were too old or had no version.
    pub unusable: u64,
    /// Number of samples beyond the staleness bound when the trainer received them.
    pub too_old: u64,
    /// Number of samples for a slot whose sample the trainer had already received.
    pub duplicates: u64,
}

impl Outcome {
    /// Duration as a multiple of the lower bound; 1 is optimal.
    pub fn duration_ratio(&self) -> f64 {
        self.duration_ms as f64 / self.lower_bound_ms
    }

    /// Extra tokens as a share of the necessary tokens.
    pub fn extra_share(&self) -> f64 {
        self.extra_tokens as f64 / self.necessary_tokens as f64
    }
}
