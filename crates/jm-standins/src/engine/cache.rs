//! The prompt-prefix cache and its events.
//!
//! A prompt is divided into blocks of [`BLOCK_BYTES`]. A cached block is identified by the hash of the prompt up to the
//! end of the block. A partial last block is not cached.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use jm_types::DurationMs;
use serde::{Deserialize, Serialize};

use super::EngineSettings;

/// Size of a cache block in bytes of the prompt.
pub const BLOCK_BYTES: usize = 64;

/// Number of prompt tokens per block.
pub(super) const BLOCK_TOKENS: u64 = 16;

/// Maximum number of events retained for readers. When the bound is exceeded, the oldest event is dropped.
const MAX_EVENTS: usize = 10_000;

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One event of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position of the event, starting at 1. Numbers are missing where events were lost.
    pub sequence: u64,
    /// Kind of the event.
    pub event: CacheEventKind,
    /// The [`prefix_hash`] of the prompt up to the end of the block, as 16 hexadecimal digits.
    pub prefix: String,
}

/// Body of the response to `GET /v1/cache-events?after=N`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The published events with a sequence number above `N`.
    pub events: Vec<CacheEvent>,
}

/// Hash that identifies the block that ends at byte `end_bytes` of `prompt`.
pub fn prefix_hash(prompt: &[u8], end_bytes: usize) -> u64 {
    fnv1a(0, &prompt[..end_bytes.min(prompt.len())])
}

/// The 64-bit FNV-1a hash, continued from `state`; 0 starts a new hash.
pub(super) fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let start = if state == 0 { OFFSET } else { state };
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(start, step)
}

/// The hashes of all full blocks of a prompt, shortest prefix first.
pub(super) fn block_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let extend = |hash: &mut u64, block: &[u8]| {
        *hash = fnv1a(*hash, block);
        Some(*hash)
    };
    blocks.scan(0, extend).collect()
}

/// Encodes an exported KV cache: the hashes of its blocks, eight bytes each. Other programs treat it as opaque.
pub(super) fn to_bytes(hashes: &[u64]) -> Vec<u8> {
    hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect()
}

/// Decodes an exported KV cache; `None` when its length is not a multiple of eight bytes.
pub(super) fn from_bytes(bytes: &[u8]) -> Option<Vec<u64>> {
    let (hashes, rest) = bytes.as_chunks::<8>();
    rest.is_empty()
        .then(|| hashes.iter().map(|hash| u64::from_le_bytes(*hash)).collect())
}

pub(super) struct PrefixCache {
    capacity_blocks: usize,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    pub(super) fn blocks(&self) -> usize {
        self.last_use.len()
    }

    /// Looks up the longest cached prefix, stores all blocks, and returns the number of tokens cached before.
    pub(super) fn admit(&mut self, hashes: &[u64]) -> u64 {
        let is_cached = |hash: &&u64| self.last_use.contains_key(*hash);
        let hits = hashes.iter().take_while(is_cached).count() as u64;
        // The longest prefix is marked as used first, so that it is evicted before the shorter prefixes it extends.
        for hash in hashes.iter().rev() {
            self.use_block(*hash);
        }
        self.evict();
        hits * BLOCK_TOKENS
    }

    fn use_block(&mut self, hash: u64) {
        self.use_count += 1;
        match self.last_use.insert(hash, self.use_count) {
            Some(before) => {
                self.by_last_use.remove(&before);
            }
            None => self.record(CacheEventKind::Stored, hash),
        }
        self.by_last_use.insert(self.use_count, hash);
    }

    fn evict(&mut self) {
        while self.last_use.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.record(CacheEventKind::Evicted, hash);
        }
    }

    fn record(&mut self, event: CacheEventKind, hash: u64) {
        self.last_sequence += 1;
        let event = CacheEvent {
            sequence: self.last_sequence,
            event,
            prefix: format!("{hash:016x}"),
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(super) fn events(&self, after: u64, settings: &EngineSettings) -> CacheEvents {
        let delay: DurationMs = settings.cache_event_delay_ms;
        let gap = settings.cache_event_gap;
        let is_lost = |event: &CacheEvent| gap > 0 && event.sequence.is_multiple_of(gap);
        let published = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence > after && at.elapsed() >= delay.as_std())
            .filter(|(_, event)| !is_lost(event));
        CacheEvents {
            events: published.map(|(_, event)| event.clone()).collect(),
        }
    }
}
