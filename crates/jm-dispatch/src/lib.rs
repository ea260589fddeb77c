//! The dispatch daemon: owns targets, queues requests in front of them, runs orders at most once and assembles steps.
//!
//! Sections 3.2, 4.4 and 4.5 of `docs/design.md` give the rules.

#![deny(missing_docs, unsafe_code)]

mod call;
mod daemon;
mod engine;
mod handler;
mod order;
mod plain;
mod queue;
mod sink;
mod step;
mod targets;
mod usage;

pub use daemon::{Dispatch, DispatchOptions};
