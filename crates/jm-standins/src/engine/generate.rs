//! One generation: from admission to the last line.

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
    pace::Pace,
    token::{self, prompt_tokens},
};

/// Reading a prompt token costs this part of generating one.
const PROMPT_COST: f64 = 0.1;

/// Waits below this are left to the next token; timers do not keep them.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// How often a stalled stream checks whether it was cancelled.
const STALL_CHECK: Duration = Duration::from_millis(10);

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the request, for cancellation and KV cache export.
    pub request: String,
    /// The model.
    pub model: ModelId,
    /// The prompt, without tokens that were generated before.
    pub prompt: String,
    /// Length of the whole answer, tokens that the caller already holds included.
    pub max_tokens: u64,
    /// Tokens that the caller already holds; generation continues after them.
    #[serde(default)]
    pub resume_tokens: u64,
}

/// One line of the answer, with one token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLine {
    /// The token.
    pub token: String,
    /// The version that produced it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WeightVersion>,
}

/// A run of tokens from one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version.
    pub version: WeightVersion,
    /// Number of tokens.
    pub tokens: u64,
}

/// The last line of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalLine {
    /// Always true.
    pub done: bool,
    /// Whether the stream ended early by a cancellation.
    #[serde(default)]
    pub cancelled: bool,
    /// The versions that produced the tokens of this answer; tokens that the caller already held are not included.
    pub segments: Vec<Segment>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
}

struct Generation {
    state: Arc<EngineState>,
    request: GenerateRequest,
    fault: Option<EngineFault>,
    incarnation: u64,
    stream: u64,
    pace: Pace,
    cached_tokens: u64,
    segments: Vec<Segment>,
    sent: Vec<u8>,
}

enum Next {
    Continue,
    Cancelled,
    Gone,
}

/// Admits a request and returns the body of its answer. None when the model is not loaded.
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
        let names = cache::block_names(&request.prompt);
        let cached_tokens = inner.cache.admit(&names);
        inner.keep_kv(&request.request, names);
        inner.last_stream += 1;
        let stream = inner.last_stream;
        let running = RunningStream {
            request: request.request.clone(),
            cancelled: false,
        };
        inner.running.insert(stream, running);
        inner.counts.started += 1;
        inner.admitted.push(request.request.clone());
        inner.note_load();
        Some(Self {
            state: Arc::clone(state),
            fault: inner.faults.take(),
            incarnation: state.incarnation(),
            request,
            stream,
            pace: Pace::default(),
            cached_tokens,
            segments: Vec::new(),
            sent: Vec::new(),
        })
    }

    async fn run(mut self, sender: BodySender) {
        let next = self.generate(&sender).await;
        self.leave(&next);
        let ended = match next {
            Next::Continue => self.end(sender, false).await,
            Next::Cancelled => self.end(sender, true).await,
            Next::Gone => return,
        };
        // A caller that went away before the last line is not an error of the engine.
        drop(ended);
    }

    async fn generate(&mut self, sender: &BodySender) -> Next {
        self.read_prompt().await;
        let key = token::prompt_key(self.state.seed, &self.request.prompt);
        let first = self.request.resume_tokens;
        for index in first..self.request.max_tokens {
            if let Some(next) = self.meet_fault(sender, index - first).await {
                return next;
            }
            self.wait_for_turn().await;
            match self.check(sender) {
                Next::Continue => {}
                next => return next,
            }
            let piece = self.piece(token::token(key, index), index);
            if self.send_line(sender, &piece).await.is_err() {
                return Next::Gone;
            }
        }
        let sent = self.request.max_tokens.saturating_sub(first);
        self.meet_fault(sender, sent).await.unwrap_or(Next::Continue)
    }

    async fn read_prompt(&mut self) {
        let tokens = prompt_tokens(&self.request.prompt).saturating_sub(self.cached_tokens);
        self.wait_for(tokens as f64 * PROMPT_COST).await;
    }

    async fn wait_for_turn(&mut self) {
        let rate = self.state.inner().settings.stream_tokens_per_s;
        let own = self.pace.take(1.0, rate, Instant::now());
        if own >= SHORTEST_WAIT {
            task::sleep(own).await;
        }
        self.wait_for(1.0).await;
    }

    async fn wait_for(&self, tokens: f64) {
        let wait = {
            let mut inner = self.state.inner();
            let rate = inner.settings.tokens_per_s;
            inner.pace.take(tokens, rate, Instant::now())
        };
        if wait >= SHORTEST_WAIT {
            task::sleep(wait).await;
        }
    }

    fn check(&self, sender: &BodySender) -> Next {
        if sender.is_closed() || self.state.incarnation() != self.incarnation {
            return Next::Gone;
        }
        let inner = self.state.inner();
        let cancelled = inner
            .running
            .get(&self.stream)
            .is_none_or(|running| running.cancelled);
        if cancelled {
            Next::Cancelled
        } else {
            Next::Continue
        }
    }

    /// Applies the fault of this answer once `sent_tokens` are sent.
    async fn meet_fault(&mut self, sender: &BodySender, sent_tokens: u64) -> Option<Next> {
        match self.fault? {
            EngineFault::Crash { after_tokens } if after_tokens == sent_tokens => {
                self.state.crash().await;
                Some(Next::Gone)
            }
            EngineFault::Cut { after_tokens } if after_tokens == sent_tokens => Some(Next::Gone),
            EngineFault::Stall { after_tokens } if after_tokens == sent_tokens => {
                Some(self.stall(sender).await)
            }
            EngineFault::Truncate { after_tokens } if after_tokens == sent_tokens => Some(Next::Continue),
            _ => None,
        }
    }

    async fn stall(&self, sender: &BodySender) -> Next {
        loop {
            match self.check(sender) {
                Next::Continue => task::sleep(STALL_CHECK).await,
                next => return next,
            }
        }
    }

    fn piece(&mut self, token: String, index: u64) -> TokenLine {
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
        self.state.inner().keep_sent(&self.request.request, sent);
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

    fn leave(&self, next: &Next) {
        let mut inner = self.state.inner();
        inner.running.remove(&self.stream);
        match next {
            Next::Continue => inner.counts.finished += 1,
            Next::Cancelled => inner.counts.cancelled += 1,
            Next::Gone => {}
        }
        inner.note_load();
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
