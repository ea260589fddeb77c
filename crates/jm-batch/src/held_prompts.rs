//! Prompts that engines have cached, according to the runs that this host sent them.
//!
//! Load pattern: a step has many groups of 8 or 16 items, the items of a group share a prompt, and an engine that has the
//! prompt cached skips its prefill. The memory of an engine holds a few dozen prompts, and each prompt is on few engines.
//! The record is an estimate: an entry that is wrong costs one prefill of a few milliseconds.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;
use jm_forward::RunKey;
use jm_types::{DurationMs, Timestamp};
use serde::{Deserialize, Serialize};

/// Entries of all engines together, about 2 MB.
const MAX_ENTRIES: usize = 10_000;

/// Age from which an entry is ignored. Engines evict prompts that other hosts displace, which this host cannot see.
const MAX_AGE_MS: DurationMs = DurationMs::new(30_000);

/// Number of holders that are compared for an item. It bounds the work of a pass when all engines hold a prompt.
pub(crate) const MAX_HOLDERS: usize = 4;

/// Number of holders that are listed for a part, so that recording one does not take longer the more engines hold it.
/// The engine that is selected without the list still uses its own record.
const MAX_LISTED_HOLDERS: usize = 2 * MAX_HOLDERS;

/// Id of a part of a prompt, equal for equal parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(u64);

impl PromptPartId {
    /// Wraps the id that the submitter gave the part.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }
}

/// A part of a prompt that other items may share, after the same preceding parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Id of the part.
    pub id: PromptPartId,
    /// Number of its tokens.
    pub tokens: u64,
}

/// Identifies a part together with all parts before it, because a cached part is only usable after the same beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PrefixKey(u64);

/// The beginning of a prompt up to the end of a part.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prefix {
    key: PrefixKey,
    /// Tokens of its last part.
    tokens: u64,
    /// Tokens of all its parts.
    total_tokens: u64,
}

/// The beginnings of a prompt, shortest first.
pub(crate) fn prefixes(parts: &[PromptPart]) -> impl Iterator<Item = Prefix> + '_ {
    let first = Prefix {
        key: PrefixKey(0),
        tokens: 0,
        total_tokens: 0,
    };
    parts.iter().scan(first, |prefix, part| {
        let mut hasher = DefaultHasher::new();
        (prefix.key, part.id).hash(&mut hasher);
        *prefix = Prefix {
            key: PrefixKey(hasher.finish()),
            tokens: part.tokens,
            total_tokens: prefix.total_tokens.saturating_add(part.tokens),
        };
        Some(*prefix)
    })
}

#[derive(Debug, Clone, Copy)]
struct HeldPart {
    tokens: u64,
    used_at: Timestamp,
}

#[derive(Debug, Default)]
struct EnginePrompts {
    /// Least recently used first.
    parts: IndexMap<PrefixKey, HeldPart>,
    tokens: u64,
    /// When a response of the engine last named its weight version.
    version_seen_at: Timestamp,
}

/// The prompts of all engines.
#[derive(Debug, Default)]
pub(crate) struct HeldPrompts {
    engines: IndexMap<RunKey, EnginePrompts>,
    /// Engines of each part, most recently used last.
    holders: IndexMap<PrefixKey, Vec<RunKey>>,
    entries: usize,
}

impl HeldPrompts {
    /// Records that a run with the prompt was sent to the engine. Parts beyond `capacity_tokens` are removed, the least
    /// recently used ones first, as the engine does.
    pub(crate) fn record(
        &mut self,
        run: &RunKey,
        parts: &[PromptPart],
        capacity_tokens: u64,
        now: Timestamp,
    ) {
        // A part is unusable without the parts before it, so these are evicted after it.
        let mut new: Vec<Prefix> = prefixes(parts).collect();
        new.reverse();
        for prefix in new {
            self.remove(run, prefix.key);
            let engine = self.engines.entry(run.clone()).or_default();
            let held = HeldPart {
                tokens: prefix.tokens,
                used_at: now,
            };
            engine.parts.insert(prefix.key, held);
            engine.tokens = engine.tokens.saturating_add(prefix.tokens);
            let holders = self.holders.entry(prefix.key).or_default();
            if holders.len() == MAX_LISTED_HOLDERS {
                holders.remove(0);
            }
            holders.push(run.clone());
            self.entries += 1;
        }
        while self.tokens(run) > capacity_tokens && self.evict_oldest(run) {}
        while self.entries > MAX_ENTRIES {
            let oldest = self
                .engines
                .iter()
                .filter_map(|(run, engine)| Some((engine.parts.first()?.1.used_at, run)));
            let Some(run) = oldest
                .min_by_key(|(used_at, _)| *used_at)
                .map(|(_, run)| run.clone())
            else {
                break;
            };
            self.evict_oldest(&run);
        }
    }

    /// Number of tokens at the start of the prompt that the engine has cached.
    pub(crate) fn cached_tokens(&self, run: &RunKey, prefixes: &[Prefix], now: Timestamp) -> u64 {
        let Some(engine) = self.engines.get(run).filter(|_| !prefixes.is_empty()) else {
            return 0;
        };
        let is_held = |prefix: &&Prefix| {
            let held = engine.parts.get(&prefix.key);
            held.is_some_and(|held| now.since(held.used_at) < MAX_AGE_MS)
        };
        let held = prefixes.iter().take_while(is_held).last();
        held.map_or(0, |prefix| prefix.total_tokens)
    }

    /// At most [`MAX_HOLDERS`] engines that hold the beginning of the prompt, those with the longest one first. Of these,
    /// the least recently used ones come first, because their runs have probably ended.
    pub(crate) fn holders(&self, prefixes: &[Prefix]) -> Vec<&RunKey> {
        let mut found: Vec<&RunKey> = Vec::new();
        for prefix in prefixes.iter().rev() {
            for run in self.holders.get(&prefix.key).into_iter().flatten() {
                if found.len() == MAX_HOLDERS {
                    return found;
                }
                if !found.contains(&run) {
                    found.push(run);
                }
            }
        }
        found
    }

    /// Removes the parts beyond the first `cached_tokens` tokens, because the run that was to prefill them did not run.
    pub(crate) fn remove_uncached(&mut self, run: &RunKey, parts: &[PromptPart], cached_tokens: u64) {
        for prefix in prefixes(parts).filter(|prefix| prefix.total_tokens > cached_tokens) {
            self.remove(run, prefix.key);
        }
    }

    /// Records that a response named the same weight version as before.
    pub(crate) fn version_confirmed(&mut self, run: &RunKey, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(run) {
            engine.version_seen_at = now;
        }
    }

    /// Records that the engine reported another weight version. Prompts that were sent since its last response of the
    /// earlier version were prefilled by the new weights: at the start of a step, all items of the first wave are sent
    /// before the first response.
    pub(crate) fn version_changed(&mut self, run: &RunKey, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(run) else {
            return;
        };
        let seen_at = std::mem::replace(&mut engine.version_seen_at, now);
        let old = engine.parts.iter().filter(|(_, held)| held.used_at <= seen_at);
        let old: Vec<PrefixKey> = old.map(|(key, _)| *key).collect();
        for key in old {
            self.remove(run, key);
        }
    }

    /// Removes all prompts of an engine.
    pub(crate) fn clear(&mut self, run: &RunKey) {
        while self.evict_oldest(run) {}
        self.engines.swap_remove(run);
    }

    /// Removes the prompts of engines that are not listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&RunKey) -> bool) {
        let gone = self.engines.keys().filter(|run| !is_listed(run));
        let gone: Vec<RunKey> = gone.cloned().collect();
        for run in gone {
            self.clear(&run);
        }
    }

    fn tokens(&self, run: &RunKey) -> u64 {
        self.engines.get(run).map_or(0, |engine| engine.tokens)
    }

    fn evict_oldest(&mut self, run: &RunKey) -> bool {
        let engine = self.engines.get(run);
        let oldest = engine.and_then(|engine| engine.parts.first().map(|(key, _)| *key));
        oldest.is_some_and(|key| self.remove(run, key))
    }

    fn remove(&mut self, run: &RunKey, key: PrefixKey) -> bool {
        let Some(engine) = self.engines.get_mut(run) else {
            return false;
        };
        let Some(held) = engine.parts.shift_remove(&key) else {
            return false;
        };
        engine.tokens = engine.tokens.saturating_sub(held.tokens);
        self.entries -= 1;
        if let Some(holders) = self.holders.get_mut(&key) {
            holders.retain(|holder| holder != run);
            if holders.is_empty() {
                self.holders.swap_remove(&key);
            }
        }
        true
    }
}
