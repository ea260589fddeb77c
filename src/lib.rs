//! Library of the jacinthmoor program. `docs/operators.md` describes the commands.

#![deny(missing_docs, unsafe_code)]

pub mod cli;
pub mod daemon;
pub mod demo;
pub mod standin;
