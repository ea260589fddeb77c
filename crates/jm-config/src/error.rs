//! Errors in texts: where they are, what is allowed there, and their result code.

use std::fmt;

use jm_types::ResultCode;
use snafu::Snafu;

/// One fault in a text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {code} {}: {message}; allowed: {allowed}", code.name()))]
pub struct ConfigError {
    /// The name of the text as the caller gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The kind of fault.
    pub code: ResultCode,
    /// What is wrong.
    pub message: String,
    /// What is accepted in its place.
    pub allowed: String,
}

/// All faults of a text in the order of their lines; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    pub(crate) fn new(mut errors: Vec<ConfigError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self { errors }
    }

    /// The faults in the order of their lines.
    pub fn errors(&self) -> &[ConfigError] {
        &self.errors
    }

    /// The code of the first fault, for answers that carry only one.
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

/// Collects the faults of one text.
#[derive(Debug)]
pub(crate) struct Faults {
    file: String,
    errors: Vec<ConfigError>,
}

impl Faults {
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

    /// `value` when there are no faults; a missing value always comes with a fault.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors::new(self.errors)),
        }
    }
}
