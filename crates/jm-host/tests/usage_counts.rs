//! Guards against usage that is counted twice, lost when its host restarts, or changed after it was reported.

use indexmap::IndexMap;
use jm_host::{UsageAggregator, UsageCounts};
use jm_types::Incarnation;
use jm_usage::WindowId;

fn counts(window: u64, count: u64) -> UsageCounts {
    let parish = "parish".parse().unwrap();
    UsageCounts {
        windows: IndexMap::from([(WindowId::new(window), IndexMap::from([(parish, count)]))]),
    }
}

fn total(aggregator: &UsageAggregator, window: u64) -> u64 {
    aggregator.total(WindowId::new(window)).values().sum()
}

#[test]
fn newest_message_of_an_incarnation() {
    let aggregator = UsageAggregator::default();
    let host = || "host-a".parse().unwrap();
    aggregator.record(host(), Incarnation::new(1), counts(7, 3));
    aggregator.record(host(), Incarnation::new(1), counts(7, 5));
    assert_eq!(total(&aggregator, 7), 5, "counts are cumulative, not increments");
    aggregator.record(host(), Incarnation::new(2), counts(7, 2));
    assert_eq!(total(&aggregator, 7), 7, "a restarted host counts from zero");
    aggregator.record("host-b".parse().unwrap(), Incarnation::new(1), counts(7, 1));
    assert_eq!(total(&aggregator, 7), 8);
}

/// A host stops sending old windows. The counts that it sent before must be kept.
#[test]
fn older_window() {
    let aggregator = UsageAggregator::default();
    let host = || "host-a".parse().unwrap();
    aggregator.record(host(), Incarnation::new(1), counts(7, 3));
    aggregator.record(host(), Incarnation::new(1), counts(8, 4));
    assert_eq!(
        (
            total(&aggregator, 7),
            total(&aggregator, 8),
            total(&aggregator, 9)
        ),
        (3, 4, 0)
    );
}
