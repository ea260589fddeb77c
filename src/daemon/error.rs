//! Why a process cannot start.

use std::{io, net::SocketAddr};

use jm_config::{ConfigErrors, Role};
use snafu::Snafu;

/// Why a process cannot start. Nothing is left half started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read settings file {file}: {source}"))]
    ReadSettings {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// Every fault of the file.
        source: ConfigErrors,
    },
    /// The settings do not name the role that the command starts.
    #[snafu(display("the settings do not list role {role} in [daemon] roles"))]
    MissingRole {
        /// The role.
        role: Role,
    },
    /// The section of a role is missing.
    #[snafu(display("the settings have no section [{role}]"))]
    MissingSection {
        /// The role.
        role: Role,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A platform URL does not name an IP address and port.
    #[snafu(display("platform URL {url} must name an IP address"))]
    PlatformAddress {
        /// The URL.
        url: String,
    },
    /// The log cannot be set up.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: jm_node::LogSetupError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
}
