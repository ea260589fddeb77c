//! Operator commands, which call the admin API of an entry daemon. See section 3.1 of `docs/design.md`.

mod admin;
mod base;
mod config;
mod error;
mod key;
mod options;
mod report;
mod run;
mod settings;
mod token;

pub use error::{CliError, USAGE_STATUS};
pub use options::{
    ConfigCommand, EntryOptions, GrantOptions, KeyCommand, OperatorCommand, SendOptions, WithdrawOptions,
    operator_command,
};
pub use token::{ENTRY_VARIABLE, TOKEN_VARIABLE};
