//! Errors of the operator commands and their exit status.

use std::{io, path::PathBuf};

use jm_config::{ChangeId, ConfigErrors};
use jm_types::ResultCode;
use snafu::Snafu;

/// Exit status for commands that cannot be understood or lack an input.
pub const USAGE_STATUS: u8 = 2;

const REFUSED_STATUS: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file that `config show --to` wrote beside the document is missing or cannot be read.
    #[snafu(display(
        "{}: {reason}; `config show --to FILE` writes it, and --replace does without it",
        file.display()
    ))]
    Base {
        /// The file.
        file: PathBuf,
        /// The cause.
        reason: String,
    },
    /// There is no admin token, or it cannot be sent.
    #[snafu(display("no admin token: {reason}"))]
    Token {
        /// The cause.
        reason: String,
    },
    /// The result cannot be printed.
    #[snafu(display("cannot write to the standard output: {source}"))]
    Output {
        /// The cause.
        source: io::Error,
    },
    /// The operating system gives no random bytes.
    #[snafu(display("JM9001 Internal (not run): no random bytes: {reason}"))]
    Random {
        /// The cause.
        reason: String,
    },
    /// Files have faults.
    #[snafu(display("{}", lines(errors)))]
    Invalid {
        /// The faults of each file.
        errors: Vec<ConfigErrors>,
    },
    /// A value of an option cannot stand in the document.
    #[snafu(display("{code} {} (not run): {message}", code.name()))]
    BadOption {
        /// The kind of fault.
        code: ResultCode,
        /// What is wrong.
        message: String,
    },
    /// The entry daemon refused the request.
    #[snafu(display("{code} {name} ({execution}): {message}"))]
    Refused {
        /// The result code, `JM` and a number.
        code: String,
        /// The name of the code.
        name: String,
        /// What is known about the execution.
        execution: String,
        /// What is wrong.
        message: String,
    },
    /// No connection could be opened; nothing was sent.
    #[snafu(display("{} EntryUnreachable (not run): {reason}", ResultCode::EntryUnreachable))]
    Unreachable {
        /// The cause.
        reason: String,
    },
    /// The answer is missing or cannot be read.
    #[snafu(display("{} MalformedAnswer (outcome unknown): {reason}", ResultCode::MalformedAnswer))]
    Answer {
        /// The cause.
        reason: String,
    },
    /// The change was sent and no answer tells whether it was stored.
    #[snafu(display(
        "{} ChangeUnknown (outcome unknown): change {change_id}: {reason}; look for it in `config history`",
        ResultCode::ChangeUnknown
    ))]
    ChangeUnknown {
        /// The id of the change.
        change_id: ChangeId,
        /// What the last attempt led to.
        reason: String,
    },
}

impl CliError {
    /// The exit status of the process: 1 for a refusal or failure, 2 when the command lacks an input.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Base { .. } | Self::Token { .. } => USAGE_STATUS,
            _ => REFUSED_STATUS,
        }
    }

    /// Whether the request may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Self::Answer { .. } | Self::ChangeUnknown { .. } => true,
            Self::Refused { code, .. } => code
                .parse()
                .is_ok_and(|code: ResultCode| code.execution() == jm_types::Execution::Unknown),
            _ => false,
        }
    }
}

fn lines(errors: &[ConfigErrors]) -> String {
    let lines: Vec<_> = errors.iter().map(ConfigErrors::to_string).collect();
    lines.join("\n")
}
