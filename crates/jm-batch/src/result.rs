//! Results and their pages.

use jm_types::WeightVersion;
use serde::{Deserialize, Serialize};

/// Whether an item has its whole text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The text is whole.
    Completed,
    /// The item was given up.
    Expired,
}

/// The result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchResult {
    /// The item.
    pub item: String,
    /// Whether the text is whole.
    pub state: ResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// The weight versions that generated an event of the text.
    pub versions: Vec<WeightVersion>,
}

impl BatchResult {
    /// The result of an item that was given up.
    pub fn expired(item: impl Into<String>) -> Self {
        Self {
            item: item.into(),
            state: ResultState::Expired,
            text: String::new(),
            versions: Vec::new(),
        }
    }

    /// Size in a page, without what its encoding adds.
    pub(crate) fn size_bytes(&self) -> usize {
        self.item.len() + self.text.len() + RESULT_OVERHEAD_BYTES
    }
}

/// Names, quotes and versions around the text of a result.
const RESULT_OVERHEAD_BYTES: usize = 120;

/// Results that are stored together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPiece {
    /// Position of the first one.
    pub first: usize,
    /// The results.
    pub results: Vec<BatchResult>,
}

/// Results from one position on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items in the batch.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<BatchResult>,
}

/// Largest page: what one answer may carry, less its overhead.
const PAGE_BYTES: usize = 900_000;

impl ResultPage {
    /// The results of `listed` from position `after` on, as many as fit; at least one if there is any.
    pub(crate) fn cut(listed: &[BatchResult], after: usize, total: usize) -> Self {
        let rest = listed.get(after..).unwrap_or_default();
        let count = fitting(rest, PAGE_BYTES);
        Self {
            total,
            next: after + count,
            results: rest[..count].to_vec(),
        }
    }
}

/// How many of the first results fit into `limit_bytes`; at least one if there is any.
pub(crate) fn fitting(results: &[BatchResult], limit_bytes: usize) -> usize {
    let mut size_bytes = 0;
    let fits = results.iter().take_while(|result| {
        size_bytes += result.size_bytes();
        size_bytes <= limit_bytes
    });
    fits.count().max(1).min(results.len())
}
