//! Tests with fleets of daemons in separate processes.

mod callers;
mod cut_off_daemon;
mod desk_faults;
mod engine_fault;
mod frozen_owner;
mod harness;
mod key_organisation;
mod leaving_target;
mod lost_dispatch;
mod main_path;
mod mixed_answers;
mod named_version;
mod operator;
mod order_store;
mod owner_loss;
mod racing_operators;
mod reader_moves;
mod rolling_restart;
mod step_outage;
mod step_run;
mod usage_kill;
mod withdrawn_key;
