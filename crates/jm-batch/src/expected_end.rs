//! Expected end of an item on an engine.
//!
//! Load pattern: the items of a group share a prompt, and the engines that could run them differ in speed, in load and in
//! the prompts that they have cached. A prompt of 1,000 tokens takes about 3 ms to prefill and a text about 700 ms to
//! generate, so a rule that always follows the prompt delays texts. All effects are therefore compared as times.

use jm_types::DurationMs;
use serde::{Deserialize, Serialize};

/// Prefill time per prompt token before it was observed, from engines that process 300 to 400 tokens per millisecond.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 1.0 / 350.0;

/// The learned prefill time stays within this factor of the initial one, because a few milliseconds are hard to tell
/// from the deviations of the time to the first event.
const MAX_PREFILL_FACTOR: f64 = 4.0;

/// Weight of the initial prefill time, as a sum of squared tokens: 1,000 runs whose uncached tokens deviate by 200.
const PREFILL_PRIOR_WEIGHT: f64 = 1_000.0 * 200.0 * 200.0;

/// Factor by which older runs lose weight in the prefill time. The times to the first event deviate by several times the
/// prefill, so that the slope over 200 runs would have an error of its own size.
const PREFILL_DECAY: f64 = 0.9995;

/// Factor by which older texts lose weight with each new one.
const LENGTH_DECAY: f64 = 0.995;

/// Events of a text before any text was completed. Texts have 14 to 21 events on average.
const INITIAL_EVENTS: f64 = 16.0;

/// Events that a text has at least left. The submitter's estimate is often exceeded.
const MIN_EVENTS_LEFT: f64 = 4.0;

/// Share of its events so far that a text which exceeds its estimate is expected to add. Some texts are many times
/// longer than estimated.
const EXCEEDED_SHARE: f64 = 0.5;

/// Smallest part of the expected time by which a move has to be earlier.
const MIN_SAVED_SHARE: f64 = 0.2;

/// Smallest saving of a move, in milliseconds.
const MIN_SAVING_MS: f64 = 100.0;

/// Prefill time per token, the slope of a regression of the time to the first event on the uncached prompt tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTime {
    weight: f64,
    mean_tokens: f64,
    mean_ms: f64,
    squares: f64,
    products: f64,
}

impl PrefillTime {
    /// Adds a run. `first_event_ms` is the time to its first event without the time that one event takes.
    pub(crate) fn record(&mut self, uncached_tokens: u64, first_event_ms: f64) {
        let tokens = uncached_tokens as f64;
        self.weight = self.weight * PREFILL_DECAY + 1.0;
        let tokens_off = tokens - self.mean_tokens;
        self.mean_tokens += tokens_off / self.weight;
        self.mean_ms += (first_event_ms - self.mean_ms) / self.weight;
        self.squares = self.squares * PREFILL_DECAY + tokens_off * (tokens - self.mean_tokens);
        self.products = self.products * PREFILL_DECAY + tokens_off * (first_event_ms - self.mean_ms);
    }

    pub(crate) fn ms_per_token(&self) -> f64 {
        let initial = INITIAL_PREFILL_MS_PER_TOKEN;
        let slope = (self.products + initial * PREFILL_PRIOR_WEIGHT) / (self.squares + PREFILL_PRIOR_WEIGHT);
        slope.clamp(initial / MAX_PREFILL_FACTOR, initial * MAX_PREFILL_FACTOR)
    }
}

/// Relation between the estimated tokens and the events of texts. An event may hold many tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TextLengths {
    tokens: f64,
    events: f64,
}

impl TextLengths {
    /// Adds a complete text.
    pub(crate) fn record(&mut self, estimated_tokens: u64, events: u64) {
        self.tokens = self.tokens * LENGTH_DECAY + estimated_tokens.max(1) as f64;
        self.events = self.events * LENGTH_DECAY + events as f64;
    }

    /// Expected number of events that a text still has to generate.
    pub(crate) fn events_left(&self, estimated_tokens: u64, events_done: u64) -> f64 {
        let events = match self.tokens > 0.0 {
            true => estimated_tokens as f64 * self.events / self.tokens,
            false => INITIAL_EVENTS,
        };
        let done = events_done as f64;
        (events - done).max(done * EXCEEDED_SHARE).max(MIN_EVENTS_LEFT)
    }

    /// Expected number of tokens in the events of a text so far.
    pub(crate) fn tokens_of(&self, events: u64) -> f64 {
        match self.events > 0.0 {
            true => events as f64 * self.tokens / self.events,
            false => events as f64,
        }
    }
}

/// An item on an engine, as it would run there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedRun {
    pub(crate) events_left: f64,
    /// Time between events at the load that the engine would have.
    pub(crate) event_ms: f64,
    /// Tokens of the prompt and the text so far that the engine has to prefill.
    pub(crate) uncached_tokens: f64,
    pub(crate) prefill_ms_per_token: f64,
    /// Number of other runs on the engine.
    pub(crate) other_runs: usize,
}

impl ExpectedRun {
    /// Time until the end of the item, plus the delay that its prefill causes to the other runs, divided among them.
    pub(crate) fn end_ms(&self) -> f64 {
        let prefill_ms = self.uncached_tokens * self.prefill_ms_per_token;
        // The prefill delays each other run by its whole time, which is also the mean over them.
        let delay_ms = if self.other_runs > 0 { prefill_ms } else { 0.0 };
        self.events_left * self.event_ms + prefill_ms + delay_ms
    }
}

/// The time that a move saves; `None` if it is not certain to be earlier. `noise` is the relative error of the speeds.
pub(crate) fn move_saving(current_ms: f64, other_ms: f64, noise: f64) -> Option<DurationMs> {
    let saving_ms = current_ms - other_ms;
    let needed_ms = (current_ms * noise.max(MIN_SAVED_SHARE)).max(MIN_SAVING_MS);
    (saving_ms > needed_ms).then(|| DurationMs::new(saving_ms as u64))
}
