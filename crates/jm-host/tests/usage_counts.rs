//! Guards against usage that is counted twice, lost with its host, or changed after it was told.

use indexmap::IndexMap;
use jm_host::{UsageBook, UsageCounts};
use jm_types::Incarnation;
use jm_usage::WindowId;

fn counts(window: u64, count: u64) -> UsageCounts {
    let parish = "parish".parse().unwrap();
    UsageCounts {
        windows: IndexMap::from([(WindowId::new(window), IndexMap::from([(parish, count)]))]),
    }
}

fn total(book: &UsageBook, window: u64) -> u64 {
    book.total(WindowId::new(window)).values().sum()
}

#[test]
fn newest_message_of_a_run() {
    let book = UsageBook::default();
    let host = || "host-a".parse().unwrap();
    book.take(host(), Incarnation::new(1), counts(7, 3));
    book.take(host(), Incarnation::new(1), counts(7, 5));
    assert_eq!(total(&book, 7), 5, "counts are sums, not differences");
    book.take(host(), Incarnation::new(2), counts(7, 2));
    assert_eq!(total(&book, 7), 7, "a restarted host counts from zero");
    book.take("host-b".parse().unwrap(), Incarnation::new(1), counts(7, 1));
    assert_eq!(total(&book, 7), 8);
}

/// A host stops telling old windows; what it told of them still counts.
#[test]
fn older_window() {
    let book = UsageBook::default();
    let host = || "host-a".parse().unwrap();
    book.take(host(), Incarnation::new(1), counts(7, 3));
    book.take(host(), Incarnation::new(1), counts(8, 4));
    assert_eq!((total(&book, 7), total(&book, 8), total(&book, 9)), (3, 4, 0));
}
