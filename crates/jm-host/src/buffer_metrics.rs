//! Metrics of the memory budget that the servers and clients of a host share.

use jm_http::{BufferBudget, RejectionReason};
use prometheus::{IntCounterVec, IntGauge, Registry};

use crate::metric::{counter, gauge};

/// Reasons of rejections, with the label that each one has in the metrics.
const REASONS: [(RejectionReason, &str); 2] = [
    (RejectionReason::Selected, "selected"),
    (RejectionReason::NoMemory, "no_memory"),
];

pub(crate) struct BufferMetrics {
    buffers: BufferBudget,
    used: IntGauge,
    rejected: IntCounterVec,
}

impl BufferMetrics {
    pub(crate) fn new(registry: &Registry, buffers: BufferBudget) -> Self {
        let limit = gauge(
            registry,
            "jm_buffer_limit_bytes",
            "Memory that all buffers may use.",
        );
        limit.set(clamped(buffers.limit().get()));
        Self {
            buffers,
            used: gauge(registry, "jm_buffer_bytes", "Memory that all buffers use."),
            rejected: counter(
                registry,
                "jm_buffers_rejected_total",
                "Bodies and connections rejected because the buffers exceed their budget, by reason.",
                &["reason"],
            ),
        }
    }

    /// Copies the values of the budget, which counts them itself.
    pub(crate) fn update(&self) {
        self.used.set(clamped(self.buffers.used().get()));
        for (reason, label) in REASONS {
            let counter = self.rejected.with_label_values(&[label]);
            counter.inc_by(self.buffers.rejected(reason).saturating_sub(counter.get()));
        }
    }
}

fn clamped(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
