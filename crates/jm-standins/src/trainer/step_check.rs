//! Checks the samples of a step against the rules of delivery, staleness and content.

use std::collections::BTreeMap;

use jm_types::{Sequence, SlotIndex, WeightVersion};

use super::{Sample, StepRequest, StepResult};
use crate::engine::expected_text;

/// A rule that a sample violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A slot was delivered twice with different content.
    SlotChanged {
        /// Slot that was delivered twice.
        slot: SlotIndex,
    },
    /// A slot was delivered twice under different sequence numbers, with the same content.
    SlotRepeated {
        /// Slot that was delivered twice.
        slot: SlotIndex,
    },
    /// A sequence number was delivered again with a different sample.
    SequenceChanged {
        /// Sequence number that was delivered twice.
        sequence: Sequence,
    },
    /// A sequence number was not the next one, although no version announcement explains a gap.
    SequenceGap {
        /// The sequence number that was received in its place.
        sequence: Sequence,
    },
    /// The slot is outside the step, or the trainer held it from the start.
    UnexpectedSlot {
        /// Slot that the sample names.
        slot: SlotIndex,
    },
    /// The sample names no version.
    NoVersion {
        /// Slot of the sample without a version.
        slot: SlotIndex,
    },
    /// A version of the sample is older than the bound allows.
    TooOld {
        /// Slot of the sample that is too old.
        slot: SlotIndex,
        /// The oldest version in the sample.
        version: WeightVersion,
    },
    /// The token counts of the segments do not add up to the requested length.
    WrongLength {
        /// Slot of the sample with the wrong length.
        slot: SlotIndex,
    },
    /// The text differs from the one that the engines generate for the prompt.
    WrongText {
        /// Slot of the sample with the wrong text.
        slot: SlotIndex,
    },
}

pub(super) struct StepCheck {
    step: StepRequest,
    engine_seed: Option<u64>,
    /// The version relative to which staleness is measured.
    version: WeightVersion,
    /// Whether a version was announced in the current sequence. Samples that became too old by it leave gaps.
    gaps_allowed: bool,
    acknowledged: Sequence,
    deliveries: BTreeMap<Sequence, Sample>,
    pub(super) result: StepResult,
}

impl StepCheck {
    pub(super) fn new(step: &StepRequest, engine_seed: Option<u64>) -> Self {
        Self {
            step: step.clone(),
            engine_seed,
            version: step.weight_version,
            gaps_allowed: false,
            acknowledged: Sequence::default(),
            deliveries: BTreeMap::new(),
            result: StepResult::default(),
        }
    }

    /// Number of samples that have not been received yet.
    pub(super) fn missing(&self) -> u64 {
        let held = self.step.held.len() + self.result.samples.len();
        self.step.samples.saturating_sub(held as u64)
    }

    /// All slots that the trainer holds, from the start or by this step.
    pub(super) fn held(&self) -> Vec<SlotIndex> {
        let received = self.result.samples.keys();
        self.step.held.iter().chain(received).copied().collect()
    }

    pub(super) fn last_sequence(&self) -> Sequence {
        let last = self.deliveries.last_key_value();
        last.map(|(sequence, _)| *sequence).unwrap_or_default()
    }

    pub(super) fn version(&self) -> WeightVersion {
        self.version
    }

    /// Measures staleness relative to a newer version from now on. Samples that were received before stay valid.
    pub(super) fn set_version(&mut self, version: WeightVersion) {
        self.version = version;
        self.gaps_allowed = true;
    }

    pub(super) fn acknowledged(&self) -> Sequence {
        self.acknowledged
    }

    pub(super) fn set_acknowledged(&mut self, through: Sequence) {
        self.acknowledged = through;
    }

    /// Resets the sequence state, for a step that is created again with the slots held so far.
    pub(super) fn restart(&mut self) {
        self.acknowledged = Sequence::default();
        self.gaps_allowed = false;
        self.deliveries.clear();
        self.result.recreations += 1;
    }

    pub(super) fn receive(&mut self, sample: Sample) {
        self.result.lines += 1;
        if let Some(before) = self.deliveries.get(&sample.sequence) {
            if *before != sample {
                let sequence = sample.sequence;
                self.record_violation(Violation::SequenceChanged { sequence });
                self.check_repeated_slot(&sample);
            }
            return;
        }
        let expected = self.last_sequence().next();
        if sample.sequence < expected || (sample.sequence > expected && !self.gaps_allowed) {
            let sequence = sample.sequence;
            self.record_violation(Violation::SequenceGap { sequence });
        }
        self.deliveries.insert(sample.sequence, sample.clone());
        if self.result.samples.contains_key(&sample.slot) {
            self.record_repeated_slot(&sample);
            return;
        }
        self.accept(sample);
    }

    fn accept(&mut self, sample: Sample) {
        let slot = sample.slot;
        if slot.get() >= self.step.samples || self.step.held.contains(&slot) {
            self.record_violation(Violation::UnexpectedSlot { slot });
            return;
        }
        self.check_versions(&sample);
        self.check_text(&sample);
        self.result.samples.insert(slot, sample);
    }

    fn record_violation(&mut self, violation: Violation) {
        self.result.violations.push(violation);
    }

    fn check_repeated_slot(&mut self, sample: &Sample) {
        if self.result.samples.contains_key(&sample.slot) {
            self.record_repeated_slot(sample);
        }
    }

    fn record_repeated_slot(&mut self, sample: &Sample) {
        let slot = sample.slot;
        let content = |sample: &Sample| (sample.segments.clone(), sample.text.clone());
        let same = self.result.samples.get(&slot).map(content) == Some(content(sample));
        self.record_violation(if same {
            Violation::SlotRepeated { slot }
        } else {
            Violation::SlotChanged { slot }
        });
    }

    fn check_versions(&mut self, sample: &Sample) {
        let slot = sample.slot;
        let versions = sample.segments.iter().map(|segment| segment.version);
        let Some(version) = versions.min() else {
            self.record_violation(Violation::NoVersion { slot });
            return;
        };
        let behind = self.version.saturating_sub(version).get();
        if behind > self.step.staleness_bound {
            self.record_violation(Violation::TooOld { slot, version });
        }
        let tokens: u64 = sample.segments.iter().map(|segment| segment.tokens).sum();
        if tokens != self.step.max_tokens {
            self.record_violation(Violation::WrongLength { slot });
        }
    }

    fn check_text(&mut self, sample: &Sample) {
        let Some(seed) = self.engine_seed else { return };
        let slot = sample.slot;
        let group = slot.get() / self.step.group_size.max(1);
        let prompt = usize::try_from(group)
            .ok()
            .and_then(|group| self.step.prompts.get(group));
        let expected = prompt.map(|prompt| expected_text(seed, prompt, 0, self.step.max_tokens));
        if expected.as_ref() != Some(&sample.text) {
            self.record_violation(Violation::WrongText { slot });
        }
    }
}
