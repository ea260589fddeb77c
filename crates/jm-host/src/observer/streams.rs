//! Log lines and metrics of streams that are resumed.

use jm_forward::{CallerRequest, Origin, ResumptionOutcome};
use jm_types::LogEvent;
use prometheus::{IntCounterVec, IntGauge, Registry};

use super::HostObserver;
use crate::metric::{counter, gauge};

/// Metrics of streams that may be resumed.
pub(super) struct StreamMetrics {
    resumptions: IntCounterVec,
    origins: IntGauge,
    dropped: IntGauge,
}

impl StreamMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            resumptions: counter(
                registry,
                "jm_stream_resumptions_total",
                "Requests that took a stream up again, by outcome.",
                &["outcome"],
            ),
            origins: gauge(
                registry,
                "jm_stream_origins",
                "Streams of this host whose software version is recorded.",
            ),
            dropped: gauge(
                registry,
                "jm_stream_origins_dropped",
                "Streams whose record was dropped early because there were too many.",
            ),
        }
    }

    pub(super) fn resumption_ended(
        &self,
        request: &CallerRequest,
        outcome: ResumptionOutcome,
        origin: Option<&Origin>,
    ) {
        self.resumptions.with_label_values(&[outcome.name()]).inc();
        let first = request.resumption.as_ref();
        let first = first.and_then(|resumption| resumption.first_request.as_deref());
        let service = origin.map_or("", |origin| origin.service.as_str());
        let software = origin.and_then(|origin| origin.software.as_ref());
        LogEvent::StreamResumed.write_fields(
            "a caller took a stream up again",
            &[
                ("request", &request.id.as_str()),
                ("first_request", &first.unwrap_or_default()),
                ("outcome", &outcome.name()),
                ("service", &service),
                ("software", &software.map_or("", |software| software.as_str())),
            ],
        );
    }
}

impl HostObserver {
    /// Shows the number of recorded origins, and of those that were dropped early.
    pub(crate) fn set_origins(&self, origins: usize, dropped: u64) {
        let metrics = &self.streams;
        metrics.origins.set(i64::try_from(origins).unwrap_or(i64::MAX));
        metrics.dropped.set(i64::try_from(dropped).unwrap_or(i64::MAX));
    }
}
