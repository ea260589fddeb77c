//! Demonstration of a whole fleet in one process on loopback: the daemons of three hosts, an in-memory platform,
//! engines and a plain service. `jacinthmoor demo` runs it. Tests use its settings and document with separate
//! processes.

mod fleet;
mod run;

pub use fleet::{ADMIN_TOKEN, DocumentParts, HostPorts, SAMPLE_MODEL, document, free_ports, settings_text};
pub use run::{DemoError, post_document, run_demo};
