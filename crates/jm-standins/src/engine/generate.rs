//! Runs one generation, from admission to the final line.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use jm_http::{Body, BodySender, channel_body};
use jm_types::{ModelId, WeightVersion};
use serde::{Deserialize, Serialize};

use super::{
    EngineFault, EngineState, RunningStream, SentToken, cache,
    rate_limiter::RateLimiter,
    token::{self, prompt_tokens},
};

/// Cost of processing one prompt token, as a fraction of the cost of generating one token.
const PROMPT_TOKEN_COST: f64 = 0.1;

/// Shorter waits are carried over to the next token, because timers are not precise enough for them.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Interval at which a stalled stream checks whether it was cancelled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the request, used for cancellation and KV cache export.
    pub request: String,
    /// The model that generates; it has to be loaded.
    pub model: ModelId,
    /// The prompt, without previously generated tokens.
    pub prompt: String,
    /// Length of the complete answer in tokens, including `resume_tokens`.
    pub max_tokens: u64,
    /// Number of tokens that the caller already holds; generation continues after them.
    #[serde(default)]
    pub resume_tokens: u64,
}

/// One line of the response, with one token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLine {
    /// Text of the token.
    pub token: String,
    /// The version that produced the token; `None` under [`EngineFault::NoVersion`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WeightVersion>,
}

/// Consecutive tokens that the same version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version that produced the tokens.
    pub version: WeightVersion,
    /// Number of tokens.
    pub tokens: u64,
}

/// The final line of the response, after all tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalLine {
    /// Always true; distinguishes this line from a token line.
    pub done: bool,
    /// Whether a cancellation ended the stream early.
    #[serde(default)]
    pub cancelled: bool,
    /// The versions that produced the tokens of this response, without the tokens that the caller already held.
    pub segments: Vec<Segment>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}

struct Generation {
    state: Arc<EngineState>,
    request: GenerateRequest,
    fault: Option<EngineFault>,
    incarnation: u64,
    stream: u64,
    rate_limiter: RateLimiter,
    cached_tokens: u64,
    segments: Vec<Segment>,
    sent: Vec<u8>,
}

enum Progress {
    Continue,
    Cancelled,
    Aborted,
}

/// Admits a request and returns the body of its response; `None` when the model is not loaded.
pub(super) fn start(state: &Arc<EngineState>, request: GenerateRequest) -> Option<Body> {
    let generation = Generation::admit(state, request)?;
    let (sender, body) = channel_body();
    task::spawn(generation.run(sender));
    Some(body)
}

impl Generation {
    fn admit(state: &Arc<EngineState>, request: GenerateRequest) -> Option<Self> {
        let mut inner = state.inner();
        if !inner.models.contains_key(&request.model) {
            return None;
        }
        let hashes = cache::block_hashes(&request.prompt);
        let cached_tokens = inner.cache.admit(&hashes);
        inner.store_kv(&request.request, hashes);
        inner.last_stream += 1;
        let stream = inner.last_stream;
        let running = RunningStream {
            request: request.request.clone(),
            cancelled: false,
        };
        inner.running.insert(stream, running);
        inner.counts.started += 1;
        inner.admitted.push(request.request.clone());
        inner.record_load();
        Some(Self {
            state: Arc::clone(state),
            fault: inner.faults.next_fault(),
            incarnation: state.incarnation(),
            request,
            stream,
            rate_limiter: RateLimiter::default(),
            cached_tokens,
            segments: Vec::new(),
            sent: Vec::new(),
        })
    }

    async fn run(mut self, sender: BodySender) {
        let next = self.generate(&sender).await;
        self.deregister(&next);
        let ended = match next {
            Progress::Continue => self.end(sender, false).await,
            Progress::Cancelled => self.end(sender, true).await,
            Progress::Aborted => return,
        };
        // A caller that disconnects before the final line is not an error of the engine.
        drop(ended);
    }

    async fn generate(&mut self, sender: &BodySender) -> Progress {
        self.prefill().await;
        let key = token::prompt_key(self.state.seed, &self.request.prompt);
        let first = self.request.resume_tokens;
        for index in first..self.request.max_tokens {
            if let Some(next) = self.apply_fault(sender, index - first).await {
                return next;
            }
            self.wait_for_next_token().await;
            match self.check_progress(sender) {
                Progress::Continue => {}
                next => return next,
            }
            let line = self.token_line(token::token(key, index), index);
            if self.send_line(sender, &line).await.is_err() {
                return Progress::Aborted;
            }
        }
        let sent = self.request.max_tokens.saturating_sub(first);
        self.apply_fault(sender, sent).await.unwrap_or(Progress::Continue)
    }

    async fn prefill(&mut self) {
        let tokens = prompt_tokens(&self.request.prompt).saturating_sub(self.cached_tokens);
        self.wait_for_tokens(tokens as f64 * PROMPT_TOKEN_COST).await;
    }

    async fn wait_for_next_token(&mut self) {
        let rate = self.state.inner().settings.stream_tokens_per_s;
        let wait = self.rate_limiter.reserve(1.0, rate, Instant::now());
        if wait >= MIN_WAIT {
            task::sleep(wait).await;
        }
        self.wait_for_tokens(1.0).await;
    }

    async fn wait_for_tokens(&self, tokens: f64) {
        let wait = {
            let mut inner = self.state.inner();
            let rate = inner.settings.tokens_per_s;
            inner.rate_limiter.reserve(tokens, rate, Instant::now())
        };
        if wait >= MIN_WAIT {
            task::sleep(wait).await;
        }
    }

    fn check_progress(&self, sender: &BodySender) -> Progress {
        if sender.is_closed() || self.state.incarnation() != self.incarnation {
            return Progress::Aborted;
        }
        let inner = self.state.inner();
        let cancelled = inner
            .running
            .get(&self.stream)
            .is_none_or(|running| running.cancelled);
        if cancelled {
            Progress::Cancelled
        } else {
            Progress::Continue
        }
    }

    /// Applies the injected fault when `sent_tokens` is the number of tokens at which it takes effect. `None` when the
    /// generation goes on.
    async fn apply_fault(&mut self, sender: &BodySender, sent_tokens: u64) -> Option<Progress> {
        match self.fault? {
            EngineFault::Crash { after_tokens } if after_tokens == sent_tokens => {
                self.state.crash().await;
                Some(Progress::Aborted)
            }
            EngineFault::Cut { after_tokens } if after_tokens == sent_tokens => Some(Progress::Aborted),
            EngineFault::Stall { after_tokens } if after_tokens == sent_tokens => {
                Some(self.stall(sender).await)
            }
            EngineFault::Truncate { after_tokens } if after_tokens == sent_tokens => Some(Progress::Continue),
            _ => None,
        }
    }

    async fn stall(&self, sender: &BodySender) -> Progress {
        loop {
            match self.check_progress(sender) {
                Progress::Continue => task::sleep(STALL_CHECK_INTERVAL).await,
                next => return next,
            }
        }
    }

    fn token_line(&mut self, token: String, index: u64) -> TokenLine {
        let mut inner = self.state.inner();
        inner.counts.tokens += 1;
        let loaded = inner.models.get(&self.request.model).copied();
        drop(inner);
        let version = match self.fault {
            Some(EngineFault::NoVersion) => None,
            Some(EngineFault::WrongVersion { version }) => Some(version),
            _ => loaded,
        };
        let sent = SentToken { index, version };
        self.state.inner().record_sent_token(&self.request.request, sent);
        if let Some(version) = version {
            self.count_segment(version);
        }
        TokenLine { token, version }
    }

    fn count_segment(&mut self, version: WeightVersion) {
        match self.segments.last_mut() {
            Some(last) if last.version == version => last.tokens += 1,
            _ => self.segments.push(Segment { version, tokens: 1 }),
        }
    }

    async fn send_line(&mut self, sender: &BodySender, line: &impl Serialize) -> std::io::Result<()> {
        let mut bytes = serde_json::to_vec(line)?;
        bytes.push(b'\n');
        if self.fault == Some(EngineFault::SendTwice) {
            self.sent.extend_from_slice(&bytes);
        }
        sender.send(bytes).await
    }

    fn deregister(&self, next: &Progress) {
        let mut inner = self.state.inner();
        inner.running.remove(&self.stream);
        match next {
            Progress::Continue => inner.counts.finished += 1,
            Progress::Cancelled => inner.counts.cancelled += 1,
            Progress::Aborted => {}
        }
        inner.record_load();
    }

    async fn end(&mut self, sender: BodySender, cancelled: bool) -> std::io::Result<()> {
        if matches!(self.fault, Some(EngineFault::Truncate { .. })) {
            return sender.finish().await;
        }
        let done = FinalLine {
            done: true,
            cancelled,
            segments: self.segments.clone(),
            prompt_tokens: prompt_tokens(&self.request.prompt),
            cached_tokens: self.cached_tokens,
        };
        self.send_line(&sender, &done).await?;
        sender.send(std::mem::take(&mut self.sent)).await?;
        sender.finish().await
    }
}
