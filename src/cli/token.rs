//! The admin token: where it is read from and what may be in it.

use std::{fmt, fs};

use snafu::{ResultExt, ensure};

use crate::cli::{
    CliError, EntryOptions,
    error::{FileSnafu, TokenSnafu},
};

/// The environment variable with the admin address of an entry daemon.
pub const ENTRY_VARIABLE: &str = "JACINTHMOOR_ENTRY";

/// The environment variable with the admin token.
pub const TOKEN_VARIABLE: &str = "JACINTHMOOR_ADMIN_TOKEN";

/// The admin token. `Debug` does not show it.
pub(crate) struct AdminToken(String);

impl AdminToken {
    /// Reads the token from the file in the options, or else from the environment.
    pub(crate) fn read(options: &EntryOptions) -> Result<Self, CliError> {
        let text = match &options.token_file {
            Some(file) => fs::read_to_string(file).context(FileSnafu { file })?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = text.trim();
        let reason = format!("set {TOKEN_VARIABLE} or give --token-file");
        ensure!(!token.is_empty(), TokenSnafu { reason });
        let printable = token.bytes().all(|byte| byte.is_ascii_graphic());
        let reason = "a token has printable ASCII characters without spaces";
        ensure!(printable, TokenSnafu { reason });
        Ok(Self(token.to_owned()))
    }

    /// The value of the header `authorization`.
    pub(crate) fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminToken(..)")
    }
}
