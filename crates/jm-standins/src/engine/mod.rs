//! Inference engine with continuous batching without priorities, a prefix cache, weight versions and fault injection.

mod cache;
mod generate;
mod handler;
mod load;
mod orders;
mod rate_limiter;
mod token;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use async_std::io;
use indexmap::IndexMap;
use jm_types::{DurationMs, FencingNumber, ModelId, Rate, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{
    fault_plan::FaultPlan,
    notify::lock,
    recording::Recording,
    relay::RelayControl,
    server::{DEFAULT_RECORDED_BYTES, RelayedServer, any_loopback_port},
};
use cache::PrefixCache;
pub use cache::{BLOCK_BYTES, CacheEvent, CacheEventKind, CacheEvents, prefix_hash};
pub use generate::{FinalLine, GenerateRequest, Segment, TokenLine};
use load::LoadHistory;
pub use load::{Load, Role};
pub use orders::{Order, OrderAnswer, OrderKind, ReceivedOrder};
use rate_limiter::RateLimiter;
pub use token::{expected_text, expected_token, prompt_tokens};

/// Maximum number of requests whose KV cache can be exported; the oldest request is dropped first.
const MAX_KV_REQUESTS: usize = 256;

/// Maximum number of requests whose sent tokens are retained; the oldest request is dropped first.
const MAX_SENT_REQUESTS: usize = 4_096;

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Seed of the generated tokens. Engines with the same seed generate the same answer for a prompt.
    pub seed: u64,
    /// Models that are loaded at the start, with their versions.
    pub models: BTreeMap<ModelId, WeightVersion>,
    /// Size of the prefix cache in blocks of [`BLOCK_BYTES`].
    pub cache_blocks: usize,
    /// Maximum number of received bytes that are recorded, over all connections.
    pub max_recorded_bytes: usize,
    /// Initial settings; see [`Engine::configure`].
    pub settings: EngineSettings,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            seed: 0,
            models: BTreeMap::new(),
            cache_blocks: 4_096,
            max_recorded_bytes: DEFAULT_RECORDED_BYTES,
            settings: EngineSettings::default(),
        }
    }
}

/// Settings that can be changed while the engine runs.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Tokens per second shared by all streams.
    pub tokens_per_s: Rate,
    /// Maximum tokens per second of one stream.
    pub stream_tokens_per_s: Rate,
    /// Delay before a cache event is published.
    pub cache_event_delay_ms: DurationMs,
    /// Cache events whose sequence number is a multiple of this value are never published; 0 publishes all.
    pub cache_event_gap: u64,
    /// Minimum age of the state that the load report shows; 0 reports the current state.
    pub load_lag_ms: DurationMs,
    /// Whether orders with an older fencing number are rejected; when false, the number is ignored.
    pub check_fencing: bool,
    /// Processing time of an order.
    pub order_time_ms: DurationMs,
    /// Number of following orders that fail.
    pub failing_orders: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            tokens_per_s: Rate::new(1_000_000.0),
            stream_tokens_per_s: Rate::new(1_000_000.0),
            cache_event_delay_ms: DurationMs::new(0),
            cache_event_gap: 0,
            load_lag_ms: DurationMs::new(0),
            check_fencing: true,
            order_time_ms: DurationMs::new(0),
            failing_orders: 0,
        }
    }
}

/// Fault injected into one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// The engine crashes after `after_tokens` tokens of the response: all connections are closed, new ones are
    /// refused, and the cache is lost.
    Crash {
        /// Number of tokens sent before the crash; the last tokens may be in flight and get lost.
        after_tokens: u64,
    },
    /// The connection is closed after `after_tokens` tokens, without the final line and without the end of the body.
    Cut {
        /// Number of tokens sent before the connection is closed.
        after_tokens: u64,
    },
    /// The body ends without a transport error after `after_tokens` tokens, but without the final line.
    Truncate {
        /// Number of tokens sent before the end of the body.
        after_tokens: u64,
    },
    /// Nothing is sent after `after_tokens` tokens, and the connection stays open.
    Stall {
        /// Number of tokens sent before the stall.
        after_tokens: u64,
    },
    /// The response names no version.
    NoVersion,
    /// The response names `version` instead of the version that produced the tokens.
    WrongVersion {
        /// The version in the response.
        version: WeightVersion,
    },
    /// All lines of the response are sent twice in the same body.
    SendTwice,
}

/// Counters of an engine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Number of admitted streams.
    pub started: u64,
    /// Number of streams that generated all their tokens or were ended by [`EngineFault::Truncate`].
    pub finished: u64,
    /// Number of streams ended by a cancellation.
    pub cancelled: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// A token that an engine sent, for comparison with the versions in samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentToken {
    /// Position in the complete answer, counting the tokens that the caller already held.
    pub index: u64,
    /// The version in the token's line; `None` under [`EngineFault::NoVersion`].
    pub version: Option<WeightVersion>,
}

/// A running engine. Dropping it closes the listener and all connections.
pub struct Engine {
    server: RelayedServer,
    state: Arc<EngineState>,
}

pub(crate) struct EngineState {
    seed: u64,
    cache_blocks: usize,
    relay: RelayControl,
    /// Incremented by each crash, so that streams that started before the crash end.
    incarnation: AtomicU64,
    inner: Mutex<EngineInner>,
}

struct EngineInner {
    settings: EngineSettings,
    faults: FaultPlan<EngineFault>,
    models: BTreeMap<ModelId, WeightVersion>,
    role: Role,
    cache: PrefixCache,
    /// Block hashes of each request, for KV cache export.
    kv: IndexMap<String, Vec<u64>>,
    running: BTreeMap<u64, RunningStream>,
    last_stream: u64,
    rate_limiter: RateLimiter,
    load: LoadHistory,
    newest_fencing: FencingNumber,
    orders: Vec<ReceivedOrder>,
    counts: EngineCounts,
    sent: IndexMap<String, Vec<SentToken>>,
    admitted: Vec<String>,
}

struct RunningStream {
    request: String,
    cancelled: bool,
}

impl Engine {
    /// Starts an engine; fails when the address cannot be bound.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let mut started = None;
        let listen = options.listen;
        let max_recorded_bytes = options.max_recorded_bytes;
        let server = RelayedServer::start(listen, max_recorded_bytes, |relay| {
            let state = Arc::new(EngineState::new(options, relay));
            started = Some(Arc::clone(&state));
            Arc::new(handler::EngineHandler::new(state))
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { server, state })
    }

    /// Address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.relay().address()
    }

    /// Changes the settings. A stream that is waiting for a token keeps the wait computed from the old rate.
    pub fn configure(&self, change: impl FnOnce(&mut EngineSettings)) {
        let mut inner = self.state.inner();
        change(&mut inner.settings);
        inner.rate_limiter = RateLimiter::default();
    }

    /// Queues a fault for one later response. Admitted requests take the queued faults in the order of queueing.
    pub fn fail_next(&self, fault: EngineFault) {
        self.state.inner().faults.push(fault);
    }

    /// Sets the fault of all responses for which no fault is queued; `None` means no fault.
    pub fn set_fault(&self, fault: Option<EngineFault>) {
        self.state.inner().faults.set_default(fault);
    }

    /// Simulates a process crash: closes all connections and refuses new ones until [`Engine::restart`].
    pub async fn crash(&self) {
        self.state.crash().await;
    }

    /// Accepts connections again after a crash, at the same address and with an empty cache.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.relay().open().await
    }

    /// The bytes received from callers so far.
    pub fn recording(&self) -> Recording {
        self.server.relay().recording()
    }

    /// The received orders in the order of arrival, including rejected ones.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.inner().orders.clone()
    }

    /// Counters since the start; a crash does not reset them.
    pub fn counts(&self) -> EngineCounts {
        self.state.inner().counts
    }

    /// The loaded version of a model; `None` when the model is not loaded.
    pub fn version(&self, model: &ModelId) -> Option<WeightVersion> {
        self.state.inner().models.get(model).copied()
    }

    /// Loads a version immediately, without an order.
    pub fn set_version(&self, model: ModelId, version: WeightVersion) {
        self.state.inner().models.insert(model, version);
    }

    /// Ids of all admitted requests in the order of admission.
    pub fn admitted(&self) -> Vec<String> {
        self.state.inner().admitted.clone()
    }

    /// The tokens sent for the most recent requests, by request id.
    pub fn sent_tokens(&self) -> IndexMap<String, Vec<SentToken>> {
        self.state.inner().sent.clone()
    }

    /// Number of running streams.
    pub fn running(&self) -> usize {
        self.state.inner().running.len()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl EngineInner {
    /// Stores the block hashes of a request for export and drops the oldest request beyond the bound.
    fn store_kv(&mut self, request: &str, hashes: Vec<u64>) {
        self.kv.insert(request.to_owned(), hashes);
        if self.kv.len() > MAX_KV_REQUESTS {
            self.kv.shift_remove_index(0);
        }
    }
}

impl EngineInner {
    /// Records a sent token and drops the oldest request beyond the bound.
    fn record_sent_token(&mut self, request: &str, token: SentToken) {
        match self.sent.get_mut(request) {
            Some(tokens) => tokens.push(token),
            None => {
                self.sent.insert(request.to_owned(), vec![token]);
            }
        }
        if self.sent.len() > MAX_SENT_REQUESTS {
            self.sent.shift_remove_index(0);
        }
    }
}

impl EngineState {
    fn new(options: EngineOptions, relay: RelayControl) -> Self {
        let inner = EngineInner {
            settings: options.settings,
            faults: FaultPlan::default(),
            models: options.models,
            role: Role::default(),
            cache: PrefixCache::new(options.cache_blocks),
            kv: IndexMap::new(),
            running: BTreeMap::new(),
            last_stream: 0,
            rate_limiter: RateLimiter::default(),
            load: LoadHistory::default(),
            newest_fencing: FencingNumber::default(),
            orders: Vec::new(),
            counts: EngineCounts::default(),
            sent: IndexMap::new(),
            admitted: Vec::new(),
        };
        Self {
            seed: options.seed,
            cache_blocks: options.cache_blocks,
            relay,
            incarnation: AtomicU64::new(0),
            inner: Mutex::new(inner),
        }
    }

    fn inner(&self) -> MutexGuard<'_, EngineInner> {
        lock(&self.inner)
    }

    fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    async fn crash(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.relay.close().await;
        let mut inner = self.inner();
        inner.cache = PrefixCache::new(self.cache_blocks);
        inner.kv.clear();
        inner.running.clear();
    }
}
