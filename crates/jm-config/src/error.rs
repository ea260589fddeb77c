//! Errors in settings and documents, each with its line, the allowed values and a result code.

use std::fmt;

use jm_types::ResultCode;
use snafu::Snafu;

/// One error in a text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {code} {}: {message}; allowed: {allowed}", code.name()))]
pub struct ConfigError {
    /// The file name that the caller passed to the parser.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The numbered code of the error.
    pub code: ResultCode,
    /// What is invalid, for operators.
    pub message: String,
    /// The values or forms that are allowed instead.
    pub allowed: String,
}

/// All errors of a text, sorted by line; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    pub(crate) fn new(mut errors: Vec<ConfigError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self { errors }
    }

    /// The errors, sorted by line.
    pub fn errors(&self) -> &[ConfigError] {
        &self.errors
    }

    /// The code of the first error, for responses that contain only one code.
    pub fn code(&self) -> ResultCode {
        self.errors
            .first()
            .map_or(ResultCode::Internal, |error| error.code)
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// Collects the errors of one text.
#[derive(Debug)]
pub(crate) struct ErrorCollector {
    file: String,
    errors: Vec<ConfigError>,
}

impl ErrorCollector {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            errors: Vec::new(),
        }
    }

    pub(crate) fn add(
        &mut self,
        line: usize,
        code: ResultCode,
        message: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            line,
            code,
            message: message.into(),
            allowed: allowed.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value` when no error was recorded. `value` is `None` only when at least one error was recorded.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors::new(self.errors)),
        }
    }
}
