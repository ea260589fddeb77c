//! Specification of a step.

use jm_types::{ResultCode, ServiceId, SlotIndex, StepId, TokenCount, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum number of samples in one step. Limits the memory that one request can allocate.
pub const MAX_SAMPLES: u32 = 65_536;

/// A step as its trainer requests it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Name of the step, chosen by the trainer.
    pub step: StepId,
    /// The service whose engines generate the samples.
    pub service: ServiceId,
    /// The weight version that staleness is measured against until the trainer names a newer one.
    pub weight_version: WeightVersion,
    /// Maximum number of versions by which the oldest segment of a sample may be behind the named version.
    pub staleness_bound: u64,
    /// Number of samples for each prompt.
    pub group_size: u32,
    /// Number of slots, one for each sample. At most [`MAX_SAMPLES`].
    pub samples: u32,
    /// The prompts. Slot `n` uses prompt `n / group_size`.
    pub prompts: Vec<String>,
    /// Maximum number of tokens in one sample.
    pub max_tokens: TokenCount,
    /// Slots whose sample the trainer already holds. They are never drafted.
    #[serde(default)]
    pub held: Vec<SlotIndex>,
}

/// The specification is inconsistent or out of range.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The group size is zero.
    #[snafu(display("group_size must be at least 1"))]
    EmptyGroup,
    /// The number of samples is zero or too large.
    #[snafu(display("samples must be 1 to {MAX_SAMPLES}, not {samples}"))]
    SampleCount {
        /// Number of samples in the specification.
        samples: u32,
    },
    /// The number of prompts does not match the number of samples and the group size.
    #[snafu(display("expected {expected} prompts for samples / group_size, found {found}"))]
    PromptCount {
        /// Number of prompts that the samples need.
        expected: usize,
        /// Number of prompts in the specification.
        found: usize,
    },
    /// A held slot does not exist.
    #[snafu(display("held contains slot {slot}, but slots must be below {samples}"))]
    HeldOutside {
        /// Slot in `held` that is not below `samples`.
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
    /// Checks that the fields are in range and consistent with each other.
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

    /// Index into `prompts` for a slot.
    pub fn prompt_index(&self, slot: SlotIndex) -> usize {
        (slot.get() / u64::from(self.group_size.max(1))) as usize
    }

    /// Oldest weight version within the staleness bound when the trainer's version is `named`.
    pub fn minimum_version(&self, named: WeightVersion) -> WeightVersion {
        named.saturating_sub(WeightVersion::new(self.staleness_bound))
    }
}
