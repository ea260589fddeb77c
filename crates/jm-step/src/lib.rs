//! Step assembly for trainers; see section 4.5 of `docs/design.md`.
//!
//! [`StepAssembly`] is the state machine of the dispatch daemon that owns a step. [`StepCopy`] is the replica at
//! the copy holder, the daemon that takes over when the owner fails. Neither performs I/O: the daemon executes
//! the returned [`Effects`].
//!
//! # Messages from the owner to the copy holder
//!
//! Each [`CopyMessage`] carries the owner's term. A message may be lost, duplicated or reordered. The owner
//! resends it until it receives the matching [`CopyReceipt`].
//!
//! * `Begin`: the specification, completed slots, acknowledgement, named versions, and the list of bindings that
//!   the copy needs before it can take over. It is the first message of each term.
//! * `Binding`: one sample with its slot and sequence number. It is copied before the sample is delivered.
//! * `Named`: every version that the trainer named mid-step, with the last sample it had received by then.
//!   Nothing is delivered until the newest version is copied.
//! * `Acknowledged`: the trainer's acknowledgement, which lets the holder free memory.
//!
//! A [`Term`] ends when the copy holder changes, when no copy holder remains, or when a holder takes over.
//! Messages of an earlier term are rejected.
//!
//! # What the trainer sends
//!
//! A read carries the last sequence number that the trainer received, its weight version, and the term of the
//! last reply it accepted. The daemon calls [`StepAssembly::descends_from`], [`StepAssembly::on_version_named`]
//! and [`StepAssembly::deliver`] in this order. The trainer accepts only the reply to its newest read. If the
//! step is unknown or the term is rejected, the trainer recreates the step under a new name with the slots it
//! holds.

#![deny(missing_docs, unsafe_code)]

mod assembly;
mod copy;
mod draft_rates;
mod drafts;
mod message;
mod replication;
mod slots;
mod spec;
mod status;
mod term;

pub use assembly::{AcknowledgeError, StepAssembly};
pub use copy::{IncompleteCopy, StaleTerm, StepCopy};
pub use draft_rates::StepOptions;
pub use message::{
    BoundSlot, CopyBody, CopyMessage, CopyPart, CopyReceipt, Draft, Effects, FreeCapacity, NamedVersion,
    Sample, Segment, Snapshot, StepEvent, UnusableReason,
};
pub use replication::OwnershipDecision;
pub use spec::{MAX_SAMPLES, SpecError, StepSpec};
pub use status::StepStatus;
pub use term::{ParseTermError, Term};
