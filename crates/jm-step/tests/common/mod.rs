//! Helpers for tests that call the methods of one step directly.

use jm_step::{Draft, Effects, FreeCapacity, Segment, StepAssembly, StepCopy, StepOptions, StepSpec};
use jm_types::{Sequence, SlotIndex, Timestamp, TokenCount, WeightVersion};

/// The trainer's weight version at the start of the step.
pub(crate) const VERSION: u64 = 10;

pub(crate) fn spec(samples: u32, held: &[u64]) -> StepSpec {
    StepSpec {
        step: "step".parse().unwrap(),
        service: "racks".parse().unwrap(),
        weight_version: WeightVersion::new(VERSION),
        staleness_bound: 1,
        group_size: 2,
        samples,
        prompts: vec!["p".to_owned(); samples.div_ceil(2) as usize],
        max_tokens: TokenCount::new(100),
        held: held.iter().copied().map(SlotIndex::new).collect(),
    }
}

pub(crate) fn step(samples: u32, held: &[u64]) -> StepAssembly {
    StepAssembly::new(spec(samples, held), StepOptions::default()).unwrap()
}

/// Free capacity on engines that serve `version`.
pub(crate) fn free(drafts: usize, version: u64) -> [FreeCapacity; 1] {
    [FreeCapacity {
        version: WeightVersion::new(version),
        drafts,
    }]
}

pub(crate) fn start(step: &mut StepAssembly, drafts: usize, now_ms: u64) -> Vec<Draft> {
    step.next_drafts(Timestamp::new(now_ms), &free(drafts, VERSION))
        .start
}

/// Segments of one token each with the given versions.
pub(crate) fn segments(versions: &[Option<u64>]) -> Vec<Segment> {
    versions
        .iter()
        .map(|version| Segment {
            version: version.map(WeightVersion::new),
            tokens: TokenCount::new(1),
        })
        .collect()
}

pub(crate) fn finish(step: &mut StepAssembly, draft: &Draft, versions: &[Option<u64>]) -> Effects {
    let now = Timestamp::new(1_000);
    step.on_finished(draft.attempt, segments(versions), "text".to_owned(), now)
}

/// Sends all pending copy messages and returns the receipts to the owner.
pub(crate) fn copy_all(step: &mut StepAssembly, copy: &mut StepCopy) {
    for message in step.pending_copies() {
        let receipt = copy.accept(&message).unwrap();
        step.on_copy_receipt(receipt);
    }
}

/// Sequence numbers and slot indexes of the samples delivered after `after`.
pub(crate) fn delivered(step: &StepAssembly, after: u64) -> Vec<(u64, u64)> {
    step.deliver(Sequence::new(after), 100)
        .iter()
        .map(|sample| (sample.sequence.get(), sample.slot.get()))
        .collect()
}
