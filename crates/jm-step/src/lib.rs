//! Step assembly for trainers; see section 4.5 of `docs/design.md`.
//!
//! [`StepAssembly`] is the state of the dispatch daemon that owns a step, [`StepCopy`] that of the daemon that
//! holds the copy. Neither does I/O: the daemon carries out the returned [`Effects`].
//!
//! # Messages from the owner to the copy holder
//!
//! Each [`CopyMessage`] carries the owner's term and may be lost, doubled or crossed; it is sent again until its
//! [`CopyReceipt`] returns.
//!
//! * `Begin`: specification, slots that are done, acknowledgement, named versions and the list of bindings that
//!   the copy needs before it may take over. Sent first in each term.
//! * `Binding`: one sample with its slot and sequence number, before it is handed out.
//! * `Named`: every version that the trainer named mid-step, with what it had received by then. Nothing is
//!   handed out until the newest one is copied.
//! * `Acknowledged`: the trainer's acknowledgement, which lets the holder free memory.
//!
//! A term starts at 1 and goes up when the copy holder changes and when the holder takes over, so that messages
//! of an earlier term are refused.

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

pub use assembly::{AcknowledgeError, StepAssembly};
pub use copy::{IncompleteCopy, OldTerm, StepCopy};
pub use message::{
    BoundSlot, CopyBody, CopyMessage, CopyPart, CopyReceipt, Draft, Effects, FreeCapacity, Naming, Sample,
    Segment, Snapshot, StepEvent, Unusable,
};
pub use pace::StepOptions;
pub use spec::{MAX_SAMPLES, SpecError, StepSpec};
pub use status::StepStatus;
