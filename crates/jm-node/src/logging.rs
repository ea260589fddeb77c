//! Configuration of log4rs from the settings.

use jm_config::{LogFormat, LogSettings};
use log4rs::{
    append::{Append, console::ConsoleAppender, file::FileAppender},
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};
use snafu::Snafu;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "main";

/// Error while configuring the logger.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up logging: {reason}"))]
pub struct LogSetupError {
    reason: String,
}

fn setup_error(error: impl std::fmt::Display) -> LogSetupError {
    LogSetupError {
        reason: error.to_string(),
    }
}

/// Configures the global logger. Must be called only once in a process.
pub fn set_up_logging(settings: &LogSettings) -> Result<(), LogSetupError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Pattern => Box::new(PatternEncoder::new(PATTERN)),
    };
    let appender: Box<dyn Append> = match &settings.file {
        Some(file) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(file)
                .map_err(setup_error)?,
        ),
        None => {
            let target = log4rs::append::console::Target::Stderr;
            Box::new(ConsoleAppender::builder().target(target).encoder(encoder).build())
        }
    };
    let root = Root::builder().appender(APPENDER).build(settings.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(root)
        .map_err(setup_error)?;
    log4rs::init_config(config).map_err(setup_error)?;
    Ok(())
}
