//! The operators' commands, one module a feature, against one stand-in for the admin API.

mod common;
mod config;
mod key;
mod usage;
