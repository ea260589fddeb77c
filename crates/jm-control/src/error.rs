//! Errors of the duties.

use jm_platform::{ObjectError, OrderError, ReadError, ReportError};
use snafu::Snafu;

/// Errors that end a round of a duty early. The next round continues from the state in the store and on the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DutyError {
    /// The lease expired or another daemon holds it.
    #[snafu(display("the lease has expired or is held by another daemon"))]
    LeaseExpired,
    /// Reading from the platform failed.
    #[snafu(display("{source}"), context(false))]
    Read { source: ReadError },
    /// The platform did not confirm a change of an object.
    #[snafu(display("{source}"), context(false))]
    Object { source: ObjectError },
    /// The platform did not confirm a usage report.
    #[snafu(display("{source}"), context(false))]
    Report { source: ReportError },
    /// The platform did not confirm an order.
    #[snafu(display("{source}"), context(false))]
    Order { source: OrderError },
    /// A stored object cannot be decoded.
    #[snafu(display("cannot decode object {key}: {reason}"))]
    Unreadable { key: String, reason: String },
    /// An object that must exist is missing when it is read back.
    #[snafu(display("object {key} is missing"))]
    Missing { key: String },
}
