//! An inference engine: continuous batching without priorities, a prefix cache, weight versions and faults.

mod cache;
mod generate;
mod handler;
mod load;
mod orders;
mod pace;
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
    front::{Front, RECORDED_BYTES, any_loopback_port},
    notify::lock,
    plan::FaultPlan,
    recording::Recording,
    relay::RelayControl,
};
use cache::PrefixCache;
pub use cache::{BLOCK_BYTES, CacheEvent, CacheEventKind, CacheEvents, prefix_hash};
pub use generate::{FinalLine, GenerateRequest, Segment, TokenLine};
use load::LoadHistory;
pub use load::{Load, Role};
pub use orders::{Order, OrderAnswer, OrderKind, ReceivedOrder};
use pace::Pace;
pub use token::{expected_text, expected_token, prompt_tokens};

/// Requests whose KV cache can be exported.
const KEPT_KV_REQUESTS: usize = 256;

/// Requests whose sent tokens are kept.
const KEPT_SENT_REQUESTS: usize = 4_096;

/// How an engine is started.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Seed of the generated tokens. Engines with the same seed give the same answer.
    pub seed: u64,
    /// Models that are loaded at the start, and their versions.
    pub models: BTreeMap<ModelId, WeightVersion>,
    /// Size of the prefix cache in blocks of [`BLOCK_BYTES`].
    pub cache_blocks: usize,
    /// Most bytes of received requests that are recorded.
    pub max_recorded_bytes: usize,
    /// Behaviour that can be changed later.
    pub settings: EngineSettings,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            seed: 0,
            models: BTreeMap::new(),
            cache_blocks: 4_096,
            max_recorded_bytes: RECORDED_BYTES,
            settings: EngineSettings::default(),
        }
    }
}

/// Behaviour that can be changed while the engine runs.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Tokens a second that all streams share.
    pub tokens_per_s: Rate,
    /// Most tokens a second of one stream.
    pub stream_tokens_per_s: Rate,
    /// How long after it happened a cache event can be read.
    pub cache_event_delay_ms: DurationMs,
    /// Every event whose sequence is a multiple of this number is never published; 0 publishes all.
    pub cache_event_gap: u64,
    /// Age of the state that the load answer shows.
    pub load_lag_ms: DurationMs,
    /// Whether orders with an older fencing number are refused; otherwise the number is ignored.
    pub check_fencing: bool,
    /// Time that an order takes.
    pub order_time_ms: DurationMs,
    /// Number of orders that will fail from now on.
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

/// What goes wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// The whole engine dies after this many tokens of the answer: all connections end, later ones are refused, and
    /// the cache is lost.
    Crash {
        /// Tokens sent before the crash; the last ones may still be under way and get lost.
        after_tokens: u64,
    },
    /// The answer ends after this many tokens, without its last line and without the end of the body.
    Cut {
        /// Tokens sent before the cut.
        after_tokens: u64,
    },
    /// The body ends as if it were whole, but after this many tokens and without its last line.
    Truncate {
        /// Tokens sent before the end.
        after_tokens: u64,
    },
    /// Nothing more is sent after this many tokens, and the connection stays open.
    Stall {
        /// Tokens sent before the stall.
        after_tokens: u64,
    },
    /// The answer names no version.
    NoVersion,
    /// The answer names this version instead of the one that produced the tokens.
    WrongVersion {
        /// The version named.
        version: WeightVersion,
    },
    /// All lines of the answer are sent a second time in the same body.
    SendTwice,
}

/// Counts of what an engine did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Streams admitted.
    pub started: u64,
    /// Streams that reached their last line.
    pub finished: u64,
    /// Streams ended by a cancellation.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// One token as an engine sent it, for comparison with the versions that samples name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentToken {
    /// Position in the whole answer, tokens that the caller already held included.
    pub index: u64,
    /// The version that the line carried.
    pub version: Option<WeightVersion>,
}

/// A running engine. Dropping it closes all connections.
pub struct Engine {
    front: Front,
    state: Arc<EngineState>,
}

pub(crate) struct EngineState {
    seed: u64,
    cache_blocks: usize,
    relay: RelayControl,
    /// Grows with each crash, so that streams of the time before it end.
    incarnation: AtomicU64,
    inner: Mutex<EngineInner>,
}

struct EngineInner {
    settings: EngineSettings,
    faults: FaultPlan<EngineFault>,
    models: BTreeMap<ModelId, WeightVersion>,
    role: Role,
    cache: PrefixCache,
    /// The cached blocks of each request, for export.
    kv: IndexMap<String, Vec<u64>>,
    running: BTreeMap<u64, RunningStream>,
    last_stream: u64,
    pace: Pace,
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
    /// Starts an engine.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let mut started = None;
        let listen = options.listen;
        let max_recorded_bytes = options.max_recorded_bytes;
        let front = Front::start(listen, max_recorded_bytes, |relay| {
            let state = Arc::new(EngineState::new(options, relay));
            started = Some(Arc::clone(&state));
            Arc::new(handler::EngineHandler::new(state))
        })
        .await?;
        let state = started.ok_or(io::ErrorKind::Other)?;
        Ok(Self { front, state })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.front.relay().address()
    }

    /// Changes the settings. A stream that waits for a token keeps the wait that it got at the old rate.
    pub fn configure(&self, change: impl FnOnce(&mut EngineSettings)) {
        let mut inner = self.state.inner();
        change(&mut inner.settings);
        inner.pace = Pace::default();
    }

    /// Adds a fault for one later answer; answers meet these faults in the order in which they were added.
    pub fn fail_next(&self, fault: EngineFault) {
        self.state.inner().faults.push(fault);
    }

    /// Sets the fault of all answers for which no single fault is left.
    pub fn set_fault(&self, fault: Option<EngineFault>) {
        self.state.inner().faults.set_always(fault);
    }

    /// Dies as a process does: all connections end and later ones are refused until [`Engine::restart`].
    pub async fn crash(&self) {
        self.state.crash().await;
    }

    /// Accepts connections again after a crash, at the same address and with an empty cache.
    pub async fn restart(&self) -> io::Result<()> {
        self.front.relay().open().await
    }

    /// What callers have sent.
    pub fn recording(&self) -> Recording {
        self.front.relay().recording()
    }

    /// The orders received, in the order of their arrival.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.inner().orders.clone()
    }

    /// Counts of what the engine did.
    pub fn counts(&self) -> EngineCounts {
        self.state.inner().counts
    }

    /// The version of a model that is loaded now.
    pub fn version(&self, model: &ModelId) -> Option<WeightVersion> {
        self.state.inner().models.get(model).copied()
    }

    /// Loads a version at once, without an order.
    pub fn set_version(&self, model: ModelId, version: WeightVersion) {
        self.state.inner().models.insert(model, version);
    }

    /// Ids of all admitted requests in the order of their arrival.
    pub fn admitted(&self) -> Vec<String> {
        self.state.inner().admitted.clone()
    }

    /// The tokens sent for each of the last requests, by request id.
    pub fn sent_tokens(&self) -> IndexMap<String, Vec<SentToken>> {
        self.state.inner().sent.clone()
    }

    /// Number of streams that are running now.
    pub fn running(&self) -> usize {
        self.state.inner().running.len()
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.front.stop().await;
    }
}

impl EngineInner {
    /// Keeps the blocks of a request for export and forgets the oldest ones.
    fn keep_kv(&mut self, request: &str, names: Vec<u64>) {
        self.kv.insert(request.to_owned(), names);
        if self.kv.len() > KEPT_KV_REQUESTS {
            self.kv.shift_remove_index(0);
        }
    }
}

impl EngineInner {
    /// Keeps a sent token and forgets the oldest requests.
    fn keep_sent(&mut self, request: &str, token: SentToken) {
        match self.sent.get_mut(request) {
            Some(tokens) => tokens.push(token),
            None => {
                self.sent.insert(request.to_owned(), vec![token]);
            }
        }
        if self.sent.len() > KEPT_SENT_REQUESTS {
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
            pace: Pace::default(),
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
