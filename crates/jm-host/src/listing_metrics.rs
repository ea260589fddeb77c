//! Metrics of listings of the store.

use std::sync::Arc;

use jm_platform::{ListingCounts, ListingFault};
use prometheus::{IntCounter, IntCounterVec, Registry};

use crate::metric::{counter, plain_counter};

pub(crate) struct ListingMetrics {
    counts: Arc<ListingCounts>,
    pages: IntCounter,
    bytes: IntCounter,
    faults: IntCounterVec,
}

impl ListingMetrics {
    pub(crate) fn new(registry: &Registry, counts: Arc<ListingCounts>) -> Self {
        Self {
            counts,
            pages: plain_counter(
                registry,
                "jm_listing_pages_total",
                "Pages of listings of the store.",
            ),
            bytes: plain_counter(
                registry,
                "jm_listing_bytes_total",
                "Size of the pages of listings of the store.",
            ),
            faults: counter(
                registry,
                "jm_listing_faults_total",
                "Listings that the store answers and that cannot be used, by fault.",
                &["fault"],
            ),
        }
    }

    /// Copies the counts, which the clients of the store keep.
    pub(crate) fn update(&self) {
        set(&self.pages, self.counts.pages());
        set(&self.bytes, self.counts.bytes());
        for fault in ListingFault::ALL {
            set(
                &self.faults.with_label_values(&[fault.label()]),
                self.counts.faults(fault),
            );
        }
    }
}

fn set(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}
