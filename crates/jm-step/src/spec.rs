//! What a trainer asks for.

use jm_types::{ResultCode, ServiceId, SlotIndex, StepId, TokenCount, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Most samples of one step; bounds the memory that one request can claim.
pub const MAX_SAMPLES: u32 = 65_536;

/// A step as its trainer describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The trainer's name of the step.
    pub step: StepId,
    /// The service whose engines draft the samples.
    pub service: ServiceId,
    /// The version that staleness is counted from, until the trainer names a newer one.
    pub weight_version: WeightVersion,
    /// Most versions that the oldest segment of a sample may lie behind the named version.
    pub staleness_bound: u64,
    /// Samples for each prompt.
    pub group_size: u32,
    /// Number of slots.
    pub samples: u32,
    /// The prompts; slot `n` uses prompt `n / group_size`.
    pub prompts: Vec<String>,
    /// Most tokens of a sample.
    pub max_tokens: TokenCount,
    /// Slots that the trainer already holds; they are never drafted.
    #[serde(default)]
    pub held: Vec<SlotIndex>,
}

/// The specification contradicts itself.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The group size is zero.
    #[snafu(display("group_size must be at least 1"))]
    EmptyGroup,
    /// The number of samples is zero or too large.
    #[snafu(display("samples must be 1 to {MAX_SAMPLES}, not {samples}"))]
    SampleCount {
        /// The number given.
        samples: u32,
    },
    /// The prompts do not match the samples and the group size.
    #[snafu(display("{found} prompts, but samples / group_size needs {expected}"))]
    PromptCount {
        /// Prompts needed.
        expected: usize,
        /// Prompts given.
        found: usize,
    },
    /// A held slot does not exist.
    #[snafu(display("held names slot {slot}, but slots end before {samples}"))]
    HeldOutside {
        /// The slot given.
        slot: SlotIndex,
        /// Number of slots.
        samples: u32,
    },
}

impl SpecError {
    /// The result code for the trainer.
    pub const fn code(&self) -> ResultCode {
        ResultCode::OutOfRange
    }
}

impl StepSpec {
    /// Checks that the fields agree with one another.
    pub fn check(&self) -> Result<(), SpecError> {
        let samples = self.samples;
        if self.group_size == 0 {
            return EmptyGroupSnafu.fail();
        }
        if samples == 0 || samples > MAX_SAMPLES {
            return SampleCountSnafu { samples }.fail();
        }
        let expected = samples.div_ceil(self.group_size) as usize;
        let found = self.prompts.len();
        if found != expected {
            return PromptCountSnafu { expected, found }.fail();
        }
        match self.held.iter().find(|slot| slot.get() >= u64::from(samples)) {
            Some(&slot) => HeldOutsideSnafu { slot, samples }.fail(),
            None => Ok(()),
        }
    }

    /// Index of the prompt of a slot.
    pub fn prompt_index(&self, slot: SlotIndex) -> usize {
        (slot.get() / u64::from(self.group_size.max(1))) as usize
    }

    /// Oldest version that is within the bound when `named` is the trainer's version.
    pub fn minimum_version(&self, named: WeightVersion) -> WeightVersion {
        named.saturating_sub(WeightVersion::new(self.staleness_bound))
    }
}
