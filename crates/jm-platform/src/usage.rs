//! API for reporting usage to the platform.

use async_trait::async_trait;
use snafu::Snafu;

/// Reason why a report was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// The window was already reported with another body. The first report remains valid.
    #[snafu(display("window {window:?} was already reported with another body"))]
    ConflictingReport {
        /// Id of the window that was reported twice.
        window: String,
    },
    /// The window id is not valid according to [`crate::is_valid_key`]. Nothing was recorded.
    #[snafu(display("{window:?} is not a valid window id"))]
    InvalidWindow {
        /// Window id as the caller passed it.
        window: String,
    },
    /// The body exceeds [`crate::MAX_VALUE_BYTES`]. Nothing was recorded.
    #[snafu(display("the report has {bytes} bytes, but the maximum is {}", crate::MAX_VALUE_BYTES))]
    ReportTooLarge {
        /// Size of the rejected report.
        bytes: usize,
    },
    /// The platform cannot be reached or refuses the request. Nothing was recorded.
    #[snafu(display("usage reporting is unavailable: {reason}"))]
    ReportUnavailable {
        /// Why usage reporting is unavailable, as text.
        reason: String,
    },
    /// No response was received. It is unknown whether the report was recorded. Retrying the same report is safe.
    #[snafu(display("no response to a usage report: {reason}"))]
    ReportAnswerLost {
        /// Why no response was received, as text.
        reason: String,
    },
}

impl ReportError {
    /// Whether the report may have been recorded.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::ReportAnswerLost { .. })
    }
}

/// API for submitting usage reports.
#[async_trait]
pub trait UsageReporter: Send + Sync {
    /// Reports the usage of one window. Repeating the same report is idempotent.
    async fn report(&self, window: &str, body: &[u8]) -> Result<(), ReportError>;
}
