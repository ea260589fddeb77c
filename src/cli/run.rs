//! Runs operator commands and prints their output.

use std::io::Write;

use snafu::ResultExt;

use crate::cli::{CliError, OperatorCommand, error::OutputSnafu, report, settings};

impl OperatorCommand {
    /// Runs the command and prints its output to standard output.
    ///
    /// # Errors
    ///
    /// Fails when an input is missing, a check finds errors or the entry daemon refuses the request.
    /// [`CliError::exit_status`] returns the matching exit status.
    pub async fn run(self) -> Result<(), CliError> {
        let output = self.output().await?;
        let mut stdout = std::io::stdout().lock();
        stdout.write_all(output.as_bytes()).context(OutputSnafu)?;
        stdout.flush().context(OutputSnafu)
    }

    /// Runs the command and returns the output that [`OperatorCommand::run`] prints.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`OperatorCommand::run`], except for errors of writing the output.
    pub async fn output(self) -> Result<String, CliError> {
        match self {
            Self::Config(command) => command.output().await,
            Self::Key(command) => command.output().await,
            Self::Status(entry) => report::report(&entry, "status").await,
            Self::Burn(entry) => report::report(&entry, "report/burn").await,
            Self::SettingsCheck { files } => settings::check(&files),
        }
    }
}
