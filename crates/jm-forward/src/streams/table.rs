//! Origins of the streams that this host began or continued.
//!
//! Load pattern: hundreds of streams per second begin, each matters for about a minute, and few are ever resumed. The
//! number is bounded, because an overload must not fill the memory; the earliest to expire go first.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexSet;
use jm_types::Timestamp;

use crate::{Origin, StreamKey};

/// Maximum number of origins that a host keeps. Their keys fit into one object of the store.
pub const MAX_ORIGINS: usize = 40_000;

/// What is recorded about the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded<'a> {
    /// The target that began the stream had this origin.
    Known(&'a Origin),
    /// The entry of the target changed while the stream began, or the id was used for two streams.
    Ambiguous,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Index of the origin; `None` if it is ambiguous.
    origin: Option<usize>,
    expires_at: Timestamp,
}

/// Origins by stream, with a bound and an expiry.
#[derive(Debug)]
pub struct OriginTable {
    capacity: usize,
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Timestamp, StreamKey)>,
    /// Every origin once. There are as many as versions were seen since the start.
    origins: IndexSet<Origin>,
    changes: u64,
    dropped: u64,
}

impl OriginTable {
    /// Creates an empty table for at most `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            origins: IndexSet::new(),
            changes: 0,
            dropped: 0,
        }
    }

    /// Records the origin of a stream until `expires_at`; `None` if it is ambiguous. A stream that is recorded with two
    /// origins is ambiguous.
    pub fn record(&mut self, key: StreamKey, origin: Option<&Origin>, expires_at: Timestamp, now: Timestamp) {
        self.expire(now);
        let origin = origin.map(|origin| self.index_of(origin));
        let before = self.entries.get(&key).copied();
        let entry = match before {
            Some(before) => Entry {
                origin: before.origin.filter(|index| Some(*index) == origin),
                expires_at: before.expires_at.max(expires_at),
            },
            None => Entry { origin, expires_at },
        };
        if let Some(before) = before {
            self.by_expiry.remove(&(before.expires_at, key));
        }
        self.entries.insert(key, entry);
        self.by_expiry.insert((entry.expires_at, key));
        self.changes += 1;
        while self.entries.len() > self.capacity && self.remove_first() {
            self.dropped += 1;
        }
    }

    /// What is recorded about a stream; `None` if nothing is.
    pub fn get(&self, key: StreamKey, now: Timestamp) -> Option<Recorded<'_>> {
        let entry = self.entries.get(&key)?;
        if entry.expires_at <= now {
            return None;
        }
        let origin = entry.origin.and_then(|index| self.origins.get_index(index));
        Some(origin.map_or(Recorded::Ambiguous, Recorded::Known))
    }

    /// Streams whose origin is known and of which `is_wanted` holds, with their expiry. The first to expire come first.
    pub fn known<'a>(
        &'a self,
        now: Timestamp,
        is_wanted: impl Fn(&Origin) -> bool + 'a,
    ) -> impl DoubleEndedIterator<Item = (StreamKey, &'a Origin, Timestamp)> {
        self.by_expiry.iter().filter_map(move |(expires_at, key)| {
            let Recorded::Known(origin) = self.get(*key, now)? else {
                return None;
            };
            is_wanted(origin).then_some((*key, origin, *expires_at))
        })
    }

    /// Number of changes so far. It tells whether a copy of the table is current.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of origins that were dropped before they expired.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn index_of(&mut self, origin: &Origin) -> usize {
        match self.origins.get_index_of(origin) {
            Some(index) => index,
            None => self.origins.insert_full(origin.clone()).0,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) -> bool {
        let first = self.by_expiry.pop_first();
        first.is_some_and(|(_, key)| self.entries.remove(&key).is_some())
    }
}
