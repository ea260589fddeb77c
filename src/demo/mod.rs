//! The main job with everything in one process on loopback: three hosts' daemons, the platform in memory, engines and a
//! plain service. `jacinthmoor demo` runs it; tests use its parts with separate processes.

mod fleet;
mod run;

pub use fleet::{ADMIN_TOKEN, DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, settings_text};
pub use run::{DemoError, post_document, run_demo};
