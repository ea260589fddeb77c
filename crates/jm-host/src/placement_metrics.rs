//! Metrics of the placement of batch items on engines.

use jm_batch::PlacedItems;
use jm_types::DurationMs;
use prometheus::{HistogramVec, IntCounterVec, Registry};

use crate::metric::{counter, histogram};

/// Counters of placed items and the time that moves are expected to save.
pub(crate) struct PlacementMetrics {
    items: IntCounterVec,
    prompt_tokens: IntCounterVec,
    move_saving: HistogramVec,
}

impl PlacementMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        Self {
            items: counter(
                registry,
                "jm_items_placed_total",
                "Batch items that were placed on engines, by reason.",
                &["reason"],
            ),
            prompt_tokens: counter(
                registry,
                "jm_item_prompt_tokens_total",
                "Prompt tokens of placed batch items that the engine is expected to have cached, or not.",
                &["expected"],
            ),
            move_saving: histogram(
                registry,
                "jm_item_move_saving_seconds",
                "Time that moves of batch items are expected to save.",
                &[],
            ),
        }
    }

    pub(crate) fn record_placed(&self, placed: &PlacedItems) {
        let items = |reason: &str| self.items.with_label_values(&[reason]);
        items("fastest").inc_by(placed.fastest as u64);
        items("cached_prompt").inc_by(placed.cached_prompt as u64);
        let tokens = |expected: &str| self.prompt_tokens.with_label_values(&[expected]);
        tokens("cached").inc_by(placed.cached_tokens);
        tokens("uncached").inc_by(placed.uncached_tokens);
    }

    pub(crate) fn record_move(&self, saving: DurationMs) {
        let no_labels: [&str; 0] = [];
        let seconds = saving.get() as f64 / 1_000.0;
        self.move_saving.with_label_values(&no_labels).observe(seconds);
    }
}
