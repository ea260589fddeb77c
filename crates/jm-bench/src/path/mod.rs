//! Cost of the whole path (caller, entry, dispatch, target) against a direct connection to the same stand-in, both
//! measured in one run.

mod host;
mod load;
mod measure;
mod memory;

pub use measure::{PathOptions, measure_path};
