//! What is known about the prefixes cached by engines.

use indexmap::IndexMap;

use crate::hash::mix;

/// Most targets per service for which cached prefixes are remembered; others are placed by hash alone.
pub(crate) const INDEXED_TARGETS: usize = 128;

/// A report by an engine about its prefix cache. Reports may be late, repeated or missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine holds these prefixes now.
    Stored(Vec<u64>),
    /// The engine dropped these prefixes.
    Evicted(Vec<u64>),
    /// The engine dropped everything, for example because it restarted or changed weights.
    Cleared,
}

/// Maps a prefix hash to the set of targets (a bit per slot) believed to hold it.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: IndexMap<u64, u128>,
    evictions: u64,
}

/// The bit of a slot, or nothing for a slot beyond [`INDEXED_TARGETS`].
pub(crate) const fn bit(slot: usize) -> u128 {
    if slot < INDEXED_TARGETS { 1 << slot } else { 0 }
}

impl PrefixIndex {
    /// Remembers that a target holds the prefixes.
    pub(crate) fn store(&mut self, slot: usize, hashes: &[u64], limit: usize) {
        let bit = bit(slot);
        if bit == 0 {
            return;
        }
        for hash in hashes {
            *self.holders.entry(*hash).or_default() |= bit;
        }
        while self.holders.len() > limit {
            self.forget_one();
        }
    }

    /// Forgets a pseudo-random prefix: as good as any choice without a use count per prefix, and O(1).
    fn forget_one(&mut self) {
        self.evictions += 1;
        let index = mix(self.evictions) as usize % self.holders.len();
        self.holders.swap_remove_index(index);
    }

    /// Forgets that a target holds the prefixes.
    pub(crate) fn evict(&mut self, slot: usize, hashes: &[u64]) {
        for hash in hashes {
            if let Some(holders) = self.holders.get_mut(hash) {
                *holders &= !bit(slot);
                if *holders == 0 {
                    self.holders.swap_remove(hash);
                }
            }
        }
    }

    /// Forgets everything about a target.
    pub(crate) fn clear(&mut self, slot: usize) {
        self.holders.retain(|_, holders| {
            *holders &= !bit(slot);
            *holders != 0
        });
    }

    /// The targets out of `among` that hold the longest part of the prefixes, and how many prefixes that is.
    pub(crate) fn longest(&self, hashes: &[u64], among: u128) -> (u128, usize) {
        let mut best = among;
        for (depth, hash) in hashes.iter().enumerate() {
            let holders = best & self.holders.get(hash).copied().unwrap_or(0);
            if holders == 0 {
                return (best, depth);
            }
            best = holders;
        }
        (best, hashes.len())
    }
}
