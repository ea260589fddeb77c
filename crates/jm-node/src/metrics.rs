//! Prometheus metrics of a daemon process.

use jm_types::ResultCode;
use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The metrics of a process. Label values come from small fixed sets, which bounds the number of time series.
pub struct Metrics {
    registry: Registry,
    /// Number of requests by endpoint.
    pub requests: IntCounterVec,
    /// Number of refusals and failures by result code.
    pub refusals: IntCounterVec,
    /// Number of requests that were retried at another dispatch daemon or target, by cause.
    pub retries: IntCounterVec,
    /// Number of open streams.
    pub open_streams: IntGauge,
    /// Revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Number of drafts that were issued again.
    pub reissued_drafts: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics, with values of zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counter("jm_requests_total", "Requests by endpoint.", "endpoint"),
            refusals: counter(
                "jm_refusals_total",
                "Refusals and failures by result code.",
                "code",
            ),
            retries: counter(
                "jm_retries_total",
                "Requests sent a second time, by cause.",
                "cause",
            ),
            open_streams: gauge("jm_open_streams", "Streams that are open."),
            config_revision: gauge("jm_config_revision", "Configuration revision in force."),
            reissued_drafts: gauge("jm_reissued_drafts", "Drafts issued a second time."),
            registry,
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let counters = [&self.requests, &self.refusals, &self.retries];
        let gauges = [&self.open_streams, &self.config_revision, &self.reissued_drafts];
        for counter in counters {
            self.registry
                .register(Box::new(counter.clone()))
                .expect("metric names are distinct");
        }
        for gauge in gauges {
            self.registry
                .register(Box::new(gauge.clone()))
                .expect("metric names are distinct");
        }
    }

    /// Increments the counter of refusals and failures for `code`.
    pub fn count_refusal(&self, code: ResultCode) {
        self.refusals.with_label_values(&[&code.to_string()]).inc();
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        encoder
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics have valid names");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("metric names are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("metric names are valid")
}
