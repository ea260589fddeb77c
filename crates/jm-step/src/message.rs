//! Inputs and outputs of the step assembly.

use std::sync::Arc;

use jm_types::{AttemptId, Sequence, SlotIndex, StepId, TargetId, TokenCount, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{StepSpec, Term};

/// Consecutive tokens that one weight version produced, as the engine reported them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version; none when the engine did not report one, which makes the sample unusable.
    pub version: Option<WeightVersion>,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// A sample bound to its slot and its place in the order of delivery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Place in the order of delivery. Numbers may be missing, but none is used twice.
    pub sequence: Sequence,
    /// The slot.
    pub slot: SlotIndex,
    /// The attempt that produced the sample.
    pub attempt: AttemptId,
    /// The smallest version among the segments.
    pub oldest_version: WeightVersion,
    /// What each version produced.
    pub segments: Vec<Segment>,
    /// The generated text.
    pub text: String,
}

impl Sample {
    /// The sample without its content.
    pub const fn bound_slot(&self) -> BoundSlot {
        BoundSlot {
            slot: self.slot,
            sequence: self.sequence,
            oldest_version: self.oldest_version,
        }
    }
}

/// Free draft places on engines that hold one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// The version that these engines report.
    pub version: WeightVersion,
    /// Number of drafts that may be started.
    pub drafts: usize,
}

/// A draft to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The slot that the draft is for.
    pub slot: SlotIndex,
    /// Identifier that every report about the draft carries.
    pub attempt: AttemptId,
    /// Index into the prompts of the specification.
    pub prompt: usize,
    /// A target that failed or is slow with this slot.
    pub avoid: Option<TargetId>,
    /// Engines that report an older version cannot make the staleness bound.
    pub minimum_version: WeightVersion,
}

/// Why a finished draft was not bound or a bound one was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableReason {
    /// A segment has no version, or there is no segment.
    MissingVersion,
    /// The oldest segment lies beyond the staleness bound.
    TooOld,
}

/// Something for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepEvent {
    /// A slow draft was issued again on another target.
    Reissued {
        /// The slot.
        slot: SlotIndex,
        /// The new attempt.
        attempt: AttemptId,
    },
    /// A sample cannot be delivered; its slot is drafted again.
    Unusable {
        /// The slot.
        slot: SlotIndex,
        /// The attempt that produced the sample.
        attempt: AttemptId,
        /// The reason.
        reason: UnusableReason,
    },
    /// A report about an attempt that is not running was ignored.
    LateAnswer {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// What the daemon has to do after a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effects {
    /// Drafts to start.
    pub start: Vec<Draft>,
    /// Drafts to cancel; their answers are ignored.
    pub cancel: Vec<AttemptId>,
    /// Messages for the copy holder.
    pub copy: Vec<CopyMessage>,
    /// Events to log.
    pub events: Vec<StepEvent>,
}

/// A version that the trainer named mid-step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The version.
    pub version: WeightVersion,
    /// The trainer held every sample up to this one when it named the version.
    pub received: Sequence,
}

/// A slot and the sample bound to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundSlot {
    /// The slot.
    pub slot: SlotIndex,
    /// The sample's sequence number.
    pub sequence: Sequence,
    /// The smallest version among the sample's segments.
    pub oldest_version: WeightVersion,
}

/// State of a step at the start of a term, without the samples themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The specification.
    pub spec: StepSpec,
    /// This term and those before it, oldest first.
    pub lineage: Vec<Term>,
    /// Slots that are held by the trainer or acknowledged.
    pub done: Vec<SlotIndex>,
    /// Last acknowledged sequence number.
    pub acknowledged: Sequence,
    /// Smallest sequence number that was never used.
    pub next_sequence: Sequence,
    /// Versions named so far, oldest first.
    pub namings: Vec<NamedVersion>,
    /// Samples that may have been handed out; the copy cannot take over before it has them.
    pub bound: Vec<BoundSlot>,
}

/// A message from the owner of a step to its copy holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyMessage {
    /// The step.
    pub step: StepId,
    /// The owner's term.
    pub term: Term,
    /// The content.
    pub body: CopyBody,
}

/// Content of a [`CopyMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyBody {
    /// The state at the start of the term.
    Begin(Box<Snapshot>),
    /// One bound sample.
    Binding(Arc<Sample>),
    /// All versions named so far, oldest first.
    Named(Vec<NamedVersion>),
    /// The trainer acknowledged everything up to this sequence number.
    Acknowledged(Sequence),
}

/// What a receipt confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyPart {
    /// The state at the start of the term.
    Begin,
    /// The sample with this sequence number.
    Binding(Sequence),
    /// This many named versions.
    Named(usize),
    /// The acknowledgement up to this sequence number.
    Acknowledged(Sequence),
}

/// Confirmation of the copy holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReceipt {
    /// The term of the confirmed message.
    pub term: Term,
    /// What is held now.
    pub part: CopyPart,
}
