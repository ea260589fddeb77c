//! Reads and validates the admin token.

use std::{fmt, fs};

use snafu::{ResultExt, ensure};

use crate::cli::{
    CliError, EntryOptions,
    error::{FileSnafu, TokenSnafu},
};

/// The environment variable that contains the admin address of an entry daemon.
pub const ENTRY_VARIABLE: &str = "JACINTHMOOR_ENTRY";

/// The environment variable that contains the admin token.
pub const TOKEN_VARIABLE: &str = "JACINTHMOOR_ADMIN_TOKEN";

/// The admin token. Its `Debug` output omits the value.
pub(crate) struct AdminToken(String);

impl AdminToken {
    /// Reads the token from the token file if one is set, otherwise from the environment.
    pub(crate) fn read(options: &EntryOptions) -> Result<Self, CliError> {
        let text = match &options.token_file {
            Some(file) => fs::read_to_string(file).context(FileSnafu { file })?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = text.trim();
        let reason = format!("set {TOKEN_VARIABLE} or pass --token-file");
        ensure!(!token.is_empty(), TokenSnafu { reason });
        let printable = token.bytes().all(|byte| byte.is_ascii_graphic());
        let reason = "a token must consist of printable ASCII characters without spaces";
        ensure!(printable, TokenSnafu { reason });
        Ok(Self(token.to_owned()))
    }

    /// Returns the value of the `authorization` header.
    pub(crate) fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminToken(..)")
    }
}
