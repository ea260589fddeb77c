//! Benchmarks and capacity measurements.

#![deny(missing_docs, unsafe_code)]

pub mod steps;
