//! Benchmarks of routing and planning decisions, training steps, the request path and capacity.
//!
//! The decision benchmarks run in virtual time: fake engines are driven through the interfaces of `jm-route` and
//! `jm-plan`, without a network or a cluster. Every result comes from a seeded run and is compared with a naive
//! version and with a bound that was fixed before the run.

#![deny(missing_docs, unsafe_code)]

pub mod capacity;
pub mod decisions;
pub mod path;
mod row;
pub mod sim;
pub mod steps;

pub use row::{Bound, Row, print_table};
