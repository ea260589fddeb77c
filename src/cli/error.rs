//! Errors of the operator commands and their exit statuses.

use std::{io, path::PathBuf};

use jm_config::{ChangeId, ConfigErrors};
use jm_types::ResultCode;
use snafu::Snafu;

/// Exit status for an invalid command line or a missing input file or token.
pub const USAGE_STATUS: u8 = 2;

const REFUSED_STATUS: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The base file, which `config show --to` writes next to the document, is missing or cannot be read.
    #[snafu(display(
        "{}: {reason}; `config show --to FILE` writes this file, and --replace does not need it",
        file.display()
    ))]
    Base {
        /// Path of the file.
        file: PathBuf,
        /// Description of the error.
        reason: String,
    },
    /// No admin token was given, or it contains characters that a header cannot carry.
    #[snafu(display("no admin token: {reason}"))]
    Token {
        /// Description of the error.
        reason: String,
    },
    /// Writing the output failed.
    #[snafu(display("cannot write to the standard output: {source}"))]
    Output {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system returned no random bytes.
    #[snafu(display("JM9001 Internal (not run): no random bytes: {reason}"))]
    Random {
        /// Description of the error.
        reason: String,
    },
    /// Checked files have errors.
    #[snafu(display("{}", lines(errors)))]
    Invalid {
        /// The errors of each file.
        errors: Vec<ConfigErrors>,
    },
    /// The value of an option is not allowed in the document.
    #[snafu(display("{code} {} (not run): {message}", code.name()))]
    BadOption {
        /// Result code of the error.
        code: ResultCode,
        /// Description of the error for the operator.
        message: String,
    },
    /// The entry daemon refused the request.
    #[snafu(display("{code} {name} ({execution}): {message}"))]
    Refused {
        /// Result code: `JM` and a number.
        code: String,
        /// Name of the result code.
        name: String,
        /// Whether the request was executed: `ran`, `not run` or `outcome unknown`.
        execution: String,
        /// Description of the error for the operator.
        message: String,
    },
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("{} EntryUnreachable (not run): {reason}", ResultCode::EntryUnreachable))]
    Unreachable {
        /// Description of the error.
        reason: String,
    },
    /// The request was sent, but no valid response arrived.
    #[snafu(display("{} MalformedAnswer (outcome unknown): {reason}", ResultCode::MalformedAnswer))]
    InvalidResponse {
        /// Description of the error.
        reason: String,
    },
    /// The change was sent, and no response shows whether it was stored.
    #[snafu(display(
        "{} ChangeUnknown (outcome unknown): change {change_id}: {reason}; look for it in `config history`",
        ResultCode::ChangeUnknown
    ))]
    ChangeUnknown {
        /// Id of the change, with which it can be sent again.
        change_id: ChangeId,
        /// Error of the last attempt.
        reason: String,
    },
}

impl CliError {
    /// Returns the exit status of the process: 2 when a file or the token is missing or unusable, else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Base { .. } | Self::Token { .. } => USAGE_STATUS,
            _ => REFUSED_STATUS,
        }
    }

    /// Returns whether the request may have taken effect.
    pub(crate) fn has_unknown_outcome(&self) -> bool {
        match self {
            Self::InvalidResponse { .. } | Self::ChangeUnknown { .. } => true,
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
