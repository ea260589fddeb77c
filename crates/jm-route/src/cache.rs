//! An approximate index of the prompt prefixes that engines have cached.

use indexmap::IndexMap;

use crate::hash::mix;

/// Maximum number of targets per service in the prefix index. Further targets are chosen by hash alone.
pub(crate) const INDEXED_TARGETS: usize = 128;

/// A change of an engine's prefix cache, as the engine reports it. Events may be late, duplicated or lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine added these prefix hashes to its cache.
    Stored(Vec<u64>),
    /// The engine removed these prefix hashes from its cache.
    Evicted(Vec<u64>),
    /// The engine emptied its cache, for example because it restarted or changed weights.
    Cleared,
}

/// Maps a prefix hash to the set of targets that probably cache it, with one bit per slot.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: IndexMap<u64, u128>,
    evictions: u64,
}

/// The bit of a slot, or 0 for a slot at or above [`INDEXED_TARGETS`].
pub(crate) const fn bit(slot: usize) -> u128 {
    if slot < INDEXED_TARGETS { 1 << slot } else { 0 }
}

impl PrefixIndex {
    /// Records that a target caches the prefixes, and evicts entries beyond `limit`.
    pub(crate) fn store(&mut self, slot: usize, hashes: &[u64], limit: usize) {
        let bit = bit(slot);
        if bit == 0 {
            return;
        }
        for hash in hashes {
            *self.holders.entry(*hash).or_default() |= bit;
        }
        while self.holders.len() > limit {
            self.evict_random();
        }
    }

    /// Removes a pseudo-random prefix in O(1). Without a use count per prefix, no other choice is better.
    fn evict_random(&mut self) {
        self.evictions += 1;
        let index = mix(self.evictions) as usize % self.holders.len();
        self.holders.swap_remove_index(index);
    }

    /// Removes a target from the holders of the prefixes.
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

    /// Removes a target from the holders of every prefix.
    pub(crate) fn clear(&mut self, slot: usize) {
        self.holders.retain(|_, holders| {
            *holders &= !bit(slot);
            *holders != 0
        });
    }

    /// The targets in the mask `among` that cache the longest run of the prefixes, and the number of prefixes in it.
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
