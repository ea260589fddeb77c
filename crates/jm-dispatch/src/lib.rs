//! The dispatch daemon: owns targets, queues their requests, runs orders at most once and assembles training steps.
//!
//! The rules are in sections 3.2, 4.4 and 4.5 of `docs/design.md`.

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
