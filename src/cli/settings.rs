//! The command `settings check`.

use std::{fs, path::PathBuf};

use jm_config::Settings;
use snafu::ResultExt;

use crate::cli::{
    CliError,
    error::{FileSnafu, InvalidSnafu},
};

/// Checks settings files and reports the errors of all of them, not only those of the first invalid file.
pub(crate) fn check(files: &[PathBuf]) -> Result<String, CliError> {
    let mut errors = Vec::new();
    let mut output = String::new();
    for file in files {
        let text = fs::read_to_string(file).context(FileSnafu { file })?;
        let name = file.display().to_string();
        match Settings::parse(&name, &text) {
            Ok(settings) => output += &format!("{name}: valid, daemon {}\n", settings.daemon.id),
            Err(faults) => errors.push(faults),
        }
    }
    if errors.is_empty() {
        Ok(output)
    } else {
        InvalidSnafu { errors }.fail()
    }
}
