//! The control daemon: background duties that only one daemon of the fleet carries out at a time, each under a lease.
//!
//! Sections 3.3, 4.3 and 4.6 of `docs/design.md` give the rules.

#![deny(missing_docs, unsafe_code)]

mod daemon;
mod duty;
mod error;
mod guarded;
mod handler;
mod lease;
mod members;
mod targets;
mod usage;
mod weights;

pub use daemon::{Control, ControlDuty, ControlOptions, WallClock};
