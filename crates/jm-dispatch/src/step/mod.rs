//! Training steps: the steps that this daemon owns and the copies that it holds for other owners.
//!
//! `jm-step` makes the decisions. This module starts drafts, sends copies and serves the requests of trainers.

mod copies;
mod drafts;
mod owner;
mod registry;
mod serve;

pub(crate) use registry::{StepKey, Steps};
pub(crate) use serve::{hold_copy, serve_step};
