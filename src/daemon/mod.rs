//! Starts the daemons of one process from its settings, and stops them without cutting off a request.

mod error;
mod process;
mod run;

pub use error::StartError;
pub use process::{Process, ProcessOptions, http_platform};
pub use run::run_process;
