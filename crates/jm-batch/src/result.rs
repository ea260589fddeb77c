//! Results of items, their stored pieces, and pages of them.

use jm_types::{WeightVersion, json_text_bytes};
use serde::{Deserialize, Serialize};

use crate::RewardScore;

/// Outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The text is complete, and scored if its item has a reward call.
    Completed,
    /// The item was given up.
    Expired,
}

/// The result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchResult {
    /// Id of the item.
    pub item: String,
    /// Whether the text is complete.
    pub state: ResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// The weight versions that generated an event of the text.
    pub versions: Vec<WeightVersion>,
    /// Score of the text; `None` if the item has no reward call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<RewardScore>,
}

impl BatchResult {
    /// Creates the result of an item that was given up.
    pub fn expired(item: impl Into<String>) -> Self {
        Self {
            item: item.into(),
            state: ResultState::Expired,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }

    /// Approximate size of the result in JSON.
    pub(crate) fn size_bytes(&self) -> usize {
        let score_bytes = self
            .score
            .as_ref()
            .map_or(0, |score| json_text_bytes(score.as_str()));
        json_text_bytes(&self.item) + json_text_bytes(&self.text) + score_bytes + RESULT_OVERHEAD_BYTES
    }
}

/// Field names, quotes and versions in an encoded result.
const RESULT_OVERHEAD_BYTES: usize = 120;

/// Results that are stored in one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPiece {
    /// Position of the first result in the batch.
    pub first: usize,
    /// Results in the order of their positions.
    pub results: Vec<BatchResult>,
}

/// The results that follow a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items in the batch.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// Results in the order of their positions.
    pub results: Vec<BatchResult>,
}

/// Maximum size of a page. A response may carry slightly more, which leaves room for its overhead.
const PAGE_BYTES: usize = 900_000;

impl ResultPage {
    /// The results of `listed` from position `after` on that fit into a page. The page has at least one result if there
    /// is any.
    pub(crate) fn slice(listed: &[BatchResult], after: usize, total: usize) -> Self {
        let rest = listed.get(after..).unwrap_or_default();
        let count = count_fitting(rest, PAGE_BYTES);
        Self {
            total,
            next: after + count,
            results: rest[..count].to_vec(),
        }
    }
}

/// Number of leading results that fit into `limit_bytes`, but at least one if there is any.
pub(crate) fn count_fitting(results: &[BatchResult], limit_bytes: usize) -> usize {
    let mut size_bytes = 0;
    let fits = results.iter().take_while(|result| {
        size_bytes += result.size_bytes();
        size_bytes <= limit_bytes
    });
    fits.count().max(1).min(results.len())
}
