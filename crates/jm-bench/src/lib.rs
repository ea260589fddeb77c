//! Measurements of the decision modules in virtual time.
//!
//! Fake engines stand at the interfaces of `jm-route` and `jm-plan`; there is no network and no cluster. Every
//! figure comes from a seeded run and is compared with a naive version and with a bound that is stated before.

#![deny(missing_docs, unsafe_code)]

pub mod capacity;
pub mod decisions;
pub mod path;
mod row;
pub mod sim;
pub mod steps;

pub use row::{Bound, Row, print_table};
