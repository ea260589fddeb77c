//! Token rates of drafts, and detection of drafts that are slower than the others.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jm_types::{AttemptId, DurationMs, Timestamp, TokenCount};

use crate::slots::Attempt;

/// Number of finished drafts whose rates count toward the reference rate. Without them, the reference rate would
/// follow the slow drafts once only those are left.
const MAX_FINISHED_RATES: usize = 64;

/// The owner's number and the limits for reissuing slow drafts.
#[derive(Debug, Clone)]
pub struct StepOptions {
    /// A number that no other incarnation of a dispatch daemon uses, such as a random one. It becomes
    /// [`crate::Term::owner`].
    pub owner: u64,
    /// A draft can only count as slow once a draft at the reference rate would have generated this many tokens.
    pub min_expected_tokens: TokenCount,
    /// A draft is slow if its rate is below this share of the reference rate.
    pub slow_share: f64,
    /// Maximum tokens of cancelled drafts, as a share of the tokens that the step needs.
    pub max_wasted_share: f64,
    /// Minimum time between two reviews of the running drafts.
    pub review_interval: DurationMs,
}

impl Default for StepOptions {
    fn default() -> Self {
        Self {
            owner: 0,
            min_expected_tokens: TokenCount::new(16),
            slow_share: 0.5,
            max_wasted_share: 0.05,
            review_interval: DurationMs::new(100),
        }
    }
}

/// Token rates and lengths of the finished drafts, and the tokens of cancelled drafts.
#[derive(Debug, Default)]
pub(crate) struct DraftRates {
    finished_rates: VecDeque<f64>,
    finished: u64,
    finished_tokens: u64,
    wasted_tokens: u64,
    reviewed: Option<Timestamp>,
}

/// Result of one review of the running drafts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Review {
    now: Timestamp,
    rate: f64,
    mean_tokens: f64,
}

impl DraftRates {
    /// Records the length and rate of a draft whose sample was bound.
    pub(crate) fn record_finished(&mut self, attempt: &Attempt, tokens: TokenCount, now: Timestamp) {
        self.finished += 1;
        self.finished_tokens += tokens.get();
        if let Some(rate) = rate_of(attempt, tokens, now) {
            self.finished_rates.push_back(rate);
            self.finished_rates
                .drain(..self.finished_rates.len().saturating_sub(MAX_FINISHED_RATES));
        }
    }

    /// Records the tokens of a draft that was cancelled in favour of another draft of its slot.
    pub(crate) fn record_wasted(&mut self, attempt: &Attempt) {
        self.wasted_tokens += attempt.tokens.get();
    }

    pub(crate) fn wasted_tokens(&self) -> TokenCount {
        TokenCount::new(self.wasted_tokens)
    }

    /// Measures the running drafts. Returns `None` within the review interval, or while no draft has a rate.
    pub(crate) fn review(
        &mut self,
        attempts: &IndexMap<AttemptId, Attempt>,
        options: &StepOptions,
        now: Timestamp,
    ) -> Option<Review> {
        let due = self
            .reviewed
            .is_none_or(|at| now.since(at) >= options.review_interval);
        if !due {
            return None;
        }
        self.reviewed = Some(now);
        let running = attempts
            .values()
            .filter_map(|attempt| rate_of(attempt, attempt.tokens, now));
        let rate = median(running.chain(self.finished_rates.iter().copied()).collect())?;
        let progress = median(
            attempts
                .values()
                .map(|attempt| attempt.tokens.get() as f64)
                .collect(),
        );
        let finished_mean = self.finished_tokens as f64 / self.finished.max(1) as f64;
        Some(Review {
            now,
            rate,
            mean_tokens: finished_mean.max(progress.unwrap_or_default()),
        })
    }

    /// Tokens that may still be spent on cancelled drafts in a step of `samples` slots. Negative when overspent.
    pub(crate) fn budget(&self, review: &Review, samples: u32, options: &StepOptions) -> f64 {
        options.max_wasted_share * review.mean_tokens * f64::from(samples) - self.wasted_tokens as f64
    }
}

impl Review {
    /// Whether the draft has run for long enough and its rate is below the allowed share of the reference rate.
    pub(crate) fn is_slow(&self, attempt: &Attempt, options: &StepOptions) -> bool {
        let Some(start) = &attempt.start else {
            return false;
        };
        let expected = self.rate * self.now.since(start.at).get() as f64;
        expected >= options.min_expected_tokens.get() as f64
            && (attempt.tokens.get() as f64) < options.slow_share * expected
    }
}

fn rate_of(attempt: &Attempt, tokens: TokenCount, now: Timestamp) -> Option<f64> {
    let elapsed_ms = now.since(attempt.start.as_ref()?.at).get();
    (elapsed_ms > 0).then(|| tokens.get() as f64 / elapsed_ms as f64)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, value, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*value)
}
