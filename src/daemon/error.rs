//! Errors at the start of a process.

use std::{io, net::SocketAddr};

use jm_config::{ConfigErrors, Role};
use snafu::Snafu;

/// Why a process cannot start. No listener or daemon of the process is left running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// Reading the settings file failed.
    #[snafu(display("cannot read settings file {file}: {source}"))]
    ReadSettings {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings file has errors.
    #[snafu(display("{source}"))]
    Settings {
        /// All errors found in the file.
        source: ConfigErrors,
    },
    /// The command starts a role that `[daemon] roles` in the settings does not list.
    #[snafu(display("the settings do not list role {role} in [daemon] roles"))]
    MissingRole {
        /// Role that the command starts.
        role: Role,
    },
    /// A role has no section in the settings.
    #[snafu(display("the settings have no section [{role}]"))]
    MissingSection {
        /// Role without a section.
        role: Role,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A platform URL contains a host name instead of an IP address.
    #[snafu(display("platform URL {url} must contain an IP address instead of a host name"))]
    PlatformAddress {
        /// URL from the settings.
        url: String,
    },
    /// Logging could not be set up.
    #[snafu(display("{source}"))]
    Log {
        /// Underlying error.
        source: jm_node::LogSetupError,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
}
