//! Fleets of daemons in separate processes.

mod cut_off_daemon;
mod desk_faults;
mod harness;
mod key_organisation;
mod lost_dispatch;
mod main_path;
mod mixed_answers;
mod operator;
mod order_store;
mod ports;
mod racing_operators;
mod withdrawn_key;
