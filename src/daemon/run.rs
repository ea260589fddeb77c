//! Runs the daemons of one process until a stop signal.

use std::path::Path;

use jm_config::{Role, Settings};
use jm_node::{set_up_logging, stop_on_signals};
use snafu::ResultExt;

use super::{
    Process, ProcessOptions, StartError,
    error::{LogSnafu, ReadSettingsSnafu, SettingsSnafu, SignalsSnafu},
    http_platform,
};

/// Reads the settings, starts the roles and stops gracefully at the first SIGTERM or SIGINT. When `roles` is empty, all
/// roles that the settings list are started.
///
/// # Errors
///
/// Fails when the settings are not valid or the process cannot start. No daemon is running then.
pub async fn run_process(file: &Path, roles: Vec<Role>) -> Result<(), StartError> {
    let name = file.display().to_string();
    let text = async_std::fs::read_to_string(file)
        .await
        .context(ReadSettingsSnafu { file: &name })?;
    let settings = Settings::parse(&name, &text).context(SettingsSnafu)?;
    set_up_logging(&settings.log).context(LogSnafu)?;
    let platform = http_platform(&settings)?;
    let roles = if roles.is_empty() {
        settings.daemon.roles.clone()
    } else {
        roles
    };
    let process = Process::start(ProcessOptions {
        settings,
        roles,
        platform,
    })?;
    println!("started {}", process.node().peers.own_id());
    stop_on_signals().await.context(SignalsSnafu)?;
    process.stop().await;
    Ok(())
}
