//! Inputs and outputs of the step assembly.

use std::sync::Arc;

use jm_types::{AttemptId, Sequence, SlotIndex, StepId, TargetId, TokenCount, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{StepSpec, Term};

/// Consecutive tokens that one weight version produced, as the engine reported them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The weight version. `None` when the engine reported none, which makes the sample unusable.
    pub version: Option<WeightVersion>,
    /// Number of tokens in the segment.
    pub tokens: TokenCount,
}

/// A generated sample, bound to its slot and to its position in the delivery order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Position in the delivery order. Numbers may have gaps, but none is used twice.
    pub sequence: Sequence,
    /// The slot that the sample fills.
    pub slot: SlotIndex,
    /// The attempt that produced the sample.
    pub attempt: AttemptId,
    /// The oldest weight version among the segments.
    pub oldest_version: WeightVersion,
    /// The tokens by weight version, in generation order.
    pub segments: Vec<Segment>,
    /// The whole generated text.
    pub text: String,
}

impl Sample {
    /// The slot, sequence number and oldest version of the sample, without its content.
    pub const fn bound_slot(&self) -> BoundSlot {
        BoundSlot {
            slot: self.slot,
            sequence: self.sequence,
            oldest_version: self.oldest_version,
        }
    }
}

/// Free draft capacity of the engines that serve one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// The version that these engines report.
    pub version: WeightVersion,
    /// Number of drafts that these engines can start now.
    pub drafts: usize,
}

/// A draft to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The slot that the draft is for.
    pub slot: SlotIndex,
    /// Identifier of the attempt in every report about the draft.
    pub attempt: AttemptId,
    /// Index into [`StepSpec::prompts`].
    pub prompt: usize,
    /// A target that failed or was slow for this slot, to be avoided if another target is available.
    pub avoid: Option<TargetId>,
    /// Oldest weight version of an engine that meets the staleness bound.
    pub minimum_version: WeightVersion,
}

/// Why a finished draft was not bound, or why a bound sample was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableReason {
    /// A segment has no weight version, or the draft has no segment.
    MissingVersion,
    /// The oldest segment violates the staleness bound.
    TooOld,
}

/// An event to report in the log and the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepEvent {
    /// A second draft was started for a slot because its first draft is slow.
    Reissued {
        /// The slot with the slow draft.
        slot: SlotIndex,
        /// The attempt of the second draft.
        attempt: AttemptId,
    },
    /// A sample cannot be delivered, and its slot is drafted again.
    Unusable {
        /// The slot to be drafted again.
        slot: SlotIndex,
        /// The attempt that produced the sample.
        attempt: AttemptId,
        /// Why the sample cannot be delivered.
        reason: UnusableReason,
    },
    /// A report about an attempt that is not running was ignored.
    LateAnswer {
        /// The attempt that the report names.
        attempt: AttemptId,
    },
}

/// Actions that the daemon must perform after a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effects {
    /// Drafts to start.
    pub start: Vec<Draft>,
    /// Attempts to cancel. Their answers are ignored.
    pub cancel: Vec<AttemptId>,
    /// Messages to send to the copy holder.
    pub copy: Vec<CopyMessage>,
    /// Events to report in the log and the metrics.
    pub events: Vec<StepEvent>,
}

/// A weight version that the trainer named mid-step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The weight version that staleness is measured against from then on.
    pub version: WeightVersion,
    /// Last sample that the trainer had received when it named the version.
    pub received: Sequence,
}

/// A slot and the sample bound to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundSlot {
    /// The slot that the sample fills.
    pub slot: SlotIndex,
    /// Sequence number of the sample.
    pub sequence: Sequence,
    /// Oldest weight version among the segments of the sample.
    pub oldest_version: WeightVersion,
}

/// State of a step at the start of a term, without the samples themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The specification that the trainer created the step with.
    pub spec: StepSpec,
    /// This term and its predecessors, oldest first.
    pub lineage: Vec<Term>,
    /// Slots whose sample the trainer held at the start of the step or has acknowledged.
    pub done: Vec<SlotIndex>,
    /// Last sequence number that the trainer acknowledged.
    pub acknowledged: Sequence,
    /// Sequence number of the next sample to be bound.
    pub next_sequence: Sequence,
    /// Versions named so far, oldest first.
    pub namings: Vec<NamedVersion>,
    /// Samples that may have been delivered. The copy cannot take over before it holds them.
    pub bound: Vec<BoundSlot>,
}

/// A message from the owner of a step to its copy holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyMessage {
    /// The step that the message updates.
    pub step: StepId,
    /// The owner's term when it created the message.
    pub term: Term,
    /// The part of the state that the message copies.
    pub body: CopyBody,
}

/// Content of a [`CopyMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyBody {
    /// The state at the start of the term.
    Begin(Box<Snapshot>),
    /// One bound sample with its content.
    Binding(Arc<Sample>),
    /// All versions named so far, oldest first.
    Named(Vec<NamedVersion>),
    /// The trainer acknowledged every sample up to this sequence number.
    Acknowledged(Sequence),
}

/// The part of the state that a receipt confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyPart {
    /// The state at the start of the term.
    Begin,
    /// The sample with this sequence number.
    Binding(Sequence),
    /// The list of named versions, identified by its length.
    Named(usize),
    /// The acknowledgement up to this sequence number.
    Acknowledged(Sequence),
}

/// Confirmation from the copy holder that it has stored a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReceipt {
    /// The term of the confirmed message.
    pub term: Term,
    /// The part of the state that the holder has stored.
    pub part: CopyPart,
}
