//! Fleets of daemons in separate processes.

mod harness;
mod main_path;
