//! The prompt-prefix cache and its events.
//!
//! A prompt is divided into blocks of [`BLOCK_BYTES`]; a cached block is named by the hash of the prompt up to its end.
//! A last block that is not full is not cached.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

use jm_types::DurationMs;
use serde::{Deserialize, Serialize};

use super::EngineSettings;

/// Size of a block of the cache.
pub const BLOCK_BYTES: usize = 64;

/// Tokens of a block.
pub(super) const BLOCK_TOKENS: u64 = 16;

/// Events that are kept for readers; older ones are lost.
const KEPT_EVENTS: usize = 10_000;

/// What happened to a block.
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
    /// Position of the event; numbers can be missing.
    pub sequence: u64,
    /// What happened.
    pub event: CacheEventKind,
    /// The prompt up to the end of the block, as [`prefix_hash`] in hexadecimal digits.
    pub prefix: String,
}

/// Answer to `GET /v1/cache-events?after=N`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after `N` that are published by now.
    pub events: Vec<CacheEvent>,
}

/// Name of the block that ends at `end_bytes` of `prompt`.
pub fn prefix_hash(prompt: &[u8], end_bytes: usize) -> u64 {
    fnv1a(0, &prompt[..end_bytes.min(prompt.len())])
}

/// The 64-bit FNV-1a hash, continued from `state`; 0 starts anew.
pub(super) fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let start = if state == 0 { OFFSET } else { state };
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(start, step)
}

/// The names of all full blocks of a prompt, shortest prefix first.
pub(super) fn block_names(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let extend = |hash: &mut u64, block: &[u8]| {
        *hash = fnv1a(*hash, block);
        Some(*hash)
    };
    blocks.scan(0, extend).collect()
}

/// An exported KV cache: the names of its blocks, eight bytes each. Other programs treat it as opaque.
pub(super) fn to_bytes(names: &[u64]) -> Vec<u8> {
    names.iter().flat_map(|name| name.to_le_bytes()).collect()
}

/// Reads an exported KV cache; none when it is cut.
pub(super) fn from_bytes(bytes: &[u8]) -> Option<Vec<u64>> {
    let (names, rest) = bytes.as_chunks::<8>();
    rest.is_empty()
        .then(|| names.iter().map(|name| u64::from_le_bytes(*name)).collect())
}

pub(super) struct PrefixCache {
    capacity_blocks: usize,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Number of blocks held.
    pub(super) fn blocks(&self) -> usize {
        self.used_at.len()
    }

    /// Looks up the longest cached prefix, stores all blocks, and returns the number of tokens that were cached.
    pub(super) fn admit(&mut self, names: &[u64]) -> u64 {
        let is_cached = |name: &&u64| self.used_at.contains_key(*name);
        let hits = names.iter().take_while(is_cached).count() as u64;
        // The longest prefix is used first, so that it is also evicted before the shorter ones that it extends.
        for name in names.iter().rev() {
            self.use_block(*name);
        }
        self.evict();
        hits * BLOCK_TOKENS
    }

    fn use_block(&mut self, name: u64) {
        self.uses += 1;
        match self.used_at.insert(name, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.record(CacheEventKind::Stored, name),
        }
        self.by_use.insert(self.uses, name);
    }

    fn evict(&mut self) {
        while self.used_at.len() > self.capacity_blocks {
            let Some((_, name)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&name);
            self.record(CacheEventKind::Evicted, name);
        }
    }

    fn record(&mut self, event: CacheEventKind, name: u64) {
        self.last_sequence += 1;
        let event = CacheEvent {
            sequence: self.last_sequence,
            event,
            prefix: format!("{name:016x}"),
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
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
