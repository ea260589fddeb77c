//! Compares the full request path (caller, entry, dispatch, target) with a direct connection to the same stand-in.
//! Both are measured in one run.

mod host;
mod load;
mod measure;
mod memory;

pub use measure::{PathOptions, measure_path};
