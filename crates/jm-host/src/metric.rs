//! Creation of registered metrics.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5];

pub(crate) fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("metric names are distinct");
    counter
}

pub(crate) fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    let histogram = HistogramVec::new(options, labels).expect("metric names are valid");
    registry
        .register(Box::new(histogram.clone()))
        .expect("metric names are distinct");
    histogram
}

pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric names are valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("metric names are distinct");
    gauge
}
