//! Acceptance of usage reports.

use async_trait::async_trait;
use snafu::Snafu;

/// Why a report was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// The window was reported before with another body; the first report stands.
    #[snafu(display("window {window:?} was reported before with another body"))]
    ConflictingReport {
        /// The window.
        window: String,
    },
    /// The window id is not valid, see [`crate::is_valid_key`]; nothing was recorded.
    #[snafu(display("{window:?} is not a valid window id"))]
    InvalidWindow {
        /// The window.
        window: String,
    },
    /// The body exceeds [`crate::MAX_VALUE_BYTES`]; nothing was recorded.
    #[snafu(display(
        "the report has {bytes} bytes; at most {} are allowed",
        crate::MAX_VALUE_BYTES
    ))]
    ReportTooLarge {
        /// Size of the report.
        bytes: usize,
    },
    /// The platform cannot be reached or refuses to work; nothing was recorded.
    #[snafu(display("the usage intake is not available: {reason}"))]
    ReportUnavailable {
        /// The cause.
        reason: String,
    },
    /// No answer came; whether the report was recorded is not known. Repeating the same report is safe.
    #[snafu(display("the answer to a usage report was lost: {reason}"))]
    ReportAnswerLost {
        /// The cause.
        reason: String,
    },
}

impl ReportError {
    /// Whether the report may have been recorded.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::ReportAnswerLost { .. })
    }
}

/// The intake of usage reports.
#[async_trait]
pub trait UsageReporter: Send + Sync {
    /// Reports one window. The same body may be reported again.
    async fn report(&self, window: &str, body: &[u8]) -> Result<(), ReportError>;
}
