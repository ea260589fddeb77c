//! Step assembly for trainers; see section 4.5 of `docs/design.md`.
//!
//! [`StepAssembly`] is the state of the dispatch daemon that owns a step, [`StepCopy`] that of the daemon
//! that holds the copy. Neither does I/O: the daemon carries out the returned [`Effects`].
//!
//! # Messages from the owner to the copy holder
//!
//! Each [`CopyMessage`] carries the owner's term and may be lost, doubled or crossed; it is sent again until
//! its [`CopyReceipt`] returns.
//!
//! * `Begin`: specification, slots that are done, acknowledgement, named versions and the list of bindings
//!   that the copy needs before it may take over. Sent first in each term.
//! * `Binding`: one sample with its slot and sequence number, before it is handed out.
//! * `Named`: every version that the trainer named mid-step, with what it had received by then. Nothing is
//!   handed out until the newest one is copied.
//! * `Acknowledged`: the trainer's acknowledgement, which lets the holder free memory.
//!
//! A [`Term`] ends when the copy holder changes, when there is none any more and when a holder takes over.
//! Messages of an earlier term are refused.
//!
//! # What the trainer sends
//!
//! A read carries the last sequence number that the trainer received, its weight version and the term of the
//! last reply it took. The daemon calls [`StepAssembly::descends_from`], [`StepAssembly::on_version_named`] and
//! [`StepAssembly::deliver`] in this order. The trainer takes only the reply to its newest read. If the step
//! is unknown or the term is refused, it creates the step again under a new name with the slots it holds.

#![deny(missing_docs, unsafe_code)]

mod assembly;
mod copy;
mod copying;
mod drafts;
mod message;
mod pace;
mod slots;
mod spec;
mod status;
mod term;

pub use assembly::{AcknowledgeError, StepAssembly};
pub use copy::{IncompleteCopy, StaleTerm, StepCopy};
pub use copying::OwnershipDecision;
pub use message::{
    BoundSlot, CopyBody, CopyMessage, CopyPart, CopyReceipt, Draft, Effects, FreeCapacity, NamedVersion,
    Sample, Segment, Snapshot, StepEvent, UnusableReason,
};
pub use pace::StepOptions;
pub use spec::{MAX_SAMPLES, SpecError, StepSpec};
pub use status::StepStatus;
pub use term::{ParseTermError, Term};
