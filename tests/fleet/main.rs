//! Fleets of daemons in separate processes.

mod callers;
mod engine_fault;
mod frozen_owner;
mod harness;
mod leaving_target;
mod main_path;
mod named_version;
mod owner_loss;
mod reader_moves;
mod rolling_restart;
mod step_outage;
mod step_run;
mod usage_kill;
