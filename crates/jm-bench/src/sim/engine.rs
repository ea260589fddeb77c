//! A fake inference engine with continuous batching.
//!
//! The engine admits every request immediately and has no priorities. A step generates one token for each sequence
//! whose prompt is processed, and processes a bounded number of tokens of the other prompts in order of arrival.
//! The duration of a step grows with the batch.

use indexmap::IndexSet;
use jm_types::RequestId;

/// Step durations and cache size of the fake engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Duration of a step with an empty batch.
    pub base_us: u64,
    /// Additional duration per sequence in the batch.
    pub sequence_us: u64,
    /// Additional duration per prompt token processed in the step.
    pub prompt_token_us: u64,
    /// Maximum prompt tokens processed in one step.
    pub prompt_chunk: u64,
    /// Maximum number of cached prefixes.
    pub cached_prefixes: usize,
    /// Tokens covered by one prefix hash.
    pub prefix_tokens: u64,
}

impl Default for EngineModel {
    /// An 8-billion-parameter model with 16-bit weights and grouped-query attention (128 KB of KV cache per token)
    /// on an accelerator with 900 GB/s and 160 TFLOPS. A step reads 16 GB of weights and, per sequence of 400
    /// tokens, 51 MB of cache. A prompt token costs 16 GFLOP.
    fn default() -> Self {
        Self {
            base_us: 17_800,
            sequence_us: 57,
            prompt_token_us: 100,
            prompt_chunk: 512,
            cached_prefixes: 64,
            prefix_tokens: 100,
        }
    }
}

/// One request as the engine processes it.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Id that the engine's events carry.
    pub request: RequestId,
    /// Prompt tokens, including those that the cache may save.
    pub prompt_tokens: u64,
    /// Tokens that the engine generates before the request ends.
    pub answer_tokens: u64,
    /// Hashes of the prompt's prefixes, from the shortest to the longest.
    pub prefix_hashes: Vec<u64>,
}

#[derive(Debug)]
struct Running {
    sequence: Sequence,
    prompt_left: u64,
    generated: u64,
}

/// The progress of one request in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEvent {
    /// A token that is not the last one.
    Token(RequestId),
    /// The last token. The engine has removed the request from the batch.
    End(RequestId),
}

/// A simulated engine with a batch of running requests and a prefix cache.
#[derive(Debug)]
pub struct FakeEngine {
    model: EngineModel,
    /// Factor on the step durations of the model: 1 at full speed, 4 at a quarter of it.
    pub slowdown: u64,
    running: Vec<Running>,
    step_end_us: Option<u64>,
    /// Cached prefixes in LRU order, the least recently used prefix first.
    cache: IndexSet<u64>,
    /// Number of prefix lookups that the cache answered.
    pub hits: u64,
    /// Number of prefix lookups.
    pub lookups: u64,
    /// Prefixes evicted since the last call of [`Self::take_evicted`].
    evicted: Vec<u64>,
}

impl FakeEngine {
    /// An idle engine with an empty cache.
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            slowdown: 1,
            running: Vec::new(),
            step_end_us: None,
            cache: IndexSet::new(),
            hits: 0,
            lookups: 0,
            evicted: Vec::new(),
        }
    }

    /// Adds a request to the batch and starts a step when the engine is idle.
    pub fn admit(&mut self, sequence: Sequence, now_us: u64) {
        let cached = self.look_up(&sequence.prefix_hashes);
        let saved = cached * self.model.prefix_tokens;
        let prompt_left = sequence.prompt_tokens.saturating_sub(saved);
        self.running.push(Running {
            sequence,
            prompt_left,
            generated: 0,
        });
        if self.step_end_us.is_none() {
            self.begin_step(now_us);
        }
    }

    fn look_up(&mut self, hashes: &[u64]) -> u64 {
        let found = hashes
            .iter()
            .take_while(|hash| self.cache.contains(*hash))
            .count() as u64;
        self.hits += found;
        self.lookups += hashes.len() as u64;
        for hash in hashes {
            self.cache.shift_remove(hash);
            self.cache.insert(*hash);
        }
        while self.cache.len() > self.model.cached_prefixes {
            self.evicted.extend(self.cache.shift_remove_index(0));
        }
        found
    }

    /// Removes and returns the prefixes evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    fn begin_step(&mut self, now_us: u64) {
        if self.running.is_empty() {
            self.step_end_us = None;
            return;
        }
        let mut chunk = self.model.prompt_chunk;
        for running in &mut self.running {
            let taken = running.prompt_left.min(chunk);
            running.prompt_left -= taken;
            chunk -= taken;
        }
        let prompt_us = (self.model.prompt_chunk - chunk) * self.model.prompt_token_us;
        let batch_us = self.running.len() as u64 * self.model.sequence_us;
        self.step_end_us = Some(now_us + (self.model.base_us + batch_us + prompt_us) * self.slowdown);
    }

    /// Completes the steps that end at or before `now_us` and passes each event with its time to `sink`.
    pub fn advance(&mut self, now_us: u64, mut sink: impl FnMut(StepEvent, u64)) {
        while let Some(end_us) = self.step_end_us.filter(|end_us| *end_us <= now_us) {
            self.running.retain_mut(|running| {
                if running.prompt_left > 0 {
                    return true;
                }
                running.generated += 1;
                let request = running.sequence.request;
                let ended = running.generated >= running.sequence.answer_tokens;
                let event = if ended {
                    StepEvent::End(request)
                } else {
                    StepEvent::Token(request)
                };
                sink(event, end_us);
                !ended
            });
            self.begin_step(end_us);
        }
    }

    /// Simulates a crash: clears the batch and the cache and returns the lost requests.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.step_end_us = None;
        self.cache.clear();
        self.running
            .drain(..)
            .map(|running| running.sequence.request)
            .collect()
    }

    /// Prompt tokens and generated tokens in the batch, as a load report counts them.
    pub fn tokens(&self) -> u64 {
        self.running
            .iter()
            .map(|running| running.sequence.prompt_tokens + running.generated)
            .sum()
    }

    /// Current number of requests in the batch.
    pub fn batch(&self) -> usize {
        self.running.len()
    }
}
