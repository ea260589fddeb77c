//! The commands `status` and `report burn`.

use crate::cli::{CliError, EntryOptions, admin::AdminClient};

/// Fetches a report from the entry daemon and formats it as indented JSON.
pub(crate) async fn report(entry: &EntryOptions, path: &str) -> Result<String, CliError> {
    let value = AdminClient::new(entry)?.report(path).await?;
    Ok(format!("{value:#}\n"))
}
