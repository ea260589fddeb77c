//! `status` and `report burn`.

use crate::cli::{CliError, EntryOptions, admin::AdminClient};

/// A report of the entry daemon as indented JSON.
pub(crate) async fn report(entry: &EntryOptions, path: &str) -> Result<String, CliError> {
    let value = AdminClient::new(entry)?.report(path).await?;
    Ok(format!("{value:#}\n"))
}
