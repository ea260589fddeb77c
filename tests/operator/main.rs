//! Operator commands against a stand-in for the admin API, with one module per feature.

mod common;
mod config;
mod key;
mod usage;
