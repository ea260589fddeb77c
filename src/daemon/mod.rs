//! Starts the daemons of one process from its settings and stops them gracefully, so that no request is cut off.

mod error;
mod process;
mod run;

pub use error::StartError;
pub use process::{Process, ProcessOptions, http_platform};
pub use run::run_process;
