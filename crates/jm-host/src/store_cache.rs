//! Cache of the watched store prefixes. Peers read from this cache instead of from the store.
//!
//! Load pattern: every host must receive a change within one or two seconds, and each store call is charged and
//! counts against a rate limit that grows more slowly than the number of hosts. One host therefore reads the store,
//! and a few hosts serve the others from their caches. A host falls back to the store as soon as the cached data is too
//! old.

use std::{
    collections::{HashSet, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
    task,
};
use indexmap::IndexMap;
use jm_platform::{Change, Changes, KeyedObject, Listing, Object, Version};
use jm_types::{Clock, DurationMs, Timestamp};

use crate::ObjectSpace;

/// Minimum number of changes kept per prefix. A reader that lags further behind than the history has to list again. The
/// history also holds one change of each object, because all of them may change at once.
const MIN_CHANGE_HISTORY: usize = 512;

/// Maximum size of the changes that are kept of a prefix. A reader that lags further behind lists again, which costs the values of
/// the objects once instead of once for each change.
const MAX_HISTORY_BYTES: usize = 8_000_000;

/// Number of waiting readers, over all prefixes, above which changes are collected before they are sent, so that a burst of
/// changes does not cause one reply each to every reader.
const MAX_IMMEDIATE_READERS: usize = 170;

/// Time for which changes are collected.
const COLLECT_MS: DurationMs = DurationMs::new(50);

/// Counts a waiting reader until it is dropped.
struct WaitingReader<'a>(&'a AtomicUsize);

impl<'a> WaitingReader<'a> {
    fn new(readers: &'a AtomicUsize) -> Self {
        readers.fetch_add(1, Ordering::Relaxed);
        Self(readers)
    }
}

impl Drop for WaitingReader<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of reading the changes of a prefix from a cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CachedChanges {
    /// The changes after the reader's version; may be empty.
    Changes {
        /// The changes, and the version to pass as `after` in the next call.
        changes: Changes,
        /// Time since the store last confirmed the cached data.
        age_ms: DurationMs,
    },
    /// The history no longer reaches back to the reader's version; the reader has to list.
    Relist,
    /// The cached data is too old or behind the reader's version, or the prefix is not cached.
    Stale,
}

#[derive(Default)]
struct CachedPrefix {
    objects: IndexMap<String, Object>,
    version: Version,
    /// The history contains all changes after this version.
    history_start: Version,
    /// History, with the store version at which each change was observed. Readers resume from that version. The
    /// object's own version is older when a listing revealed the change.
    changes: VecDeque<(Version, Change)>,
    /// Size of `changes`.
    changes_bytes: usize,
    confirmed_at: Timestamp,
    waiters: Vec<Sender<()>>,
}

impl CachedPrefix {
    fn set(&mut self, observed_at: Version, change: Change) {
        match &change.value {
            Some(value) => {
                let object = Object {
                    value: value.clone(),
                    version: change.version,
                };
                self.objects.insert(change.key.clone(), object);
            }
            None => {
                self.objects.swap_remove(&change.key);
            }
        }
        self.changes_bytes += size_of_change(&change);
        self.changes.push_back((observed_at, change));
        let limit = self.objects.len().max(MIN_CHANGE_HISTORY);
        while self.changes.len() > limit || self.changes_bytes > MAX_HISTORY_BYTES {
            let Some((observed_at, change)) = self.changes.pop_front() else {
                return;
            };
            self.changes_bytes -= size_of_change(&change);
            self.history_start = observed_at;
        }
    }

    /// Returns a receiver for the next change. Readers that have stopped waiting are forgotten here, because a prefix without
    /// changes may notify none for hours.
    fn add_waiter(&mut self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.waiters.retain(|waiter| !waiter.is_closed());
        self.waiters.push(sender);
        receiver
    }

    fn notify(&mut self) {
        for waiter in self.waiters.drain(..) {
            // Fails when the reader has stopped waiting.
            let _ = waiter.try_send(());
        }
    }

    /// Returns the changes that turn the cached objects into those of `listing`.
    fn differences(&self, listing: &Listing) -> Vec<Change> {
        let listed = listing.objects.iter().map(|object| object.key.as_str());
        let listed: HashSet<&str> = listed.collect();
        let gone = self.objects.keys().filter(|key| !listed.contains(key.as_str()));
        let removed = gone.map(|key| Change {
            key: key.clone(),
            version: listing.version,
            value: None,
        });
        let is_new = |object: &&KeyedObject| {
            let cached = self.objects.get(&object.key);
            cached.is_none_or(|cached| cached.version != object.object.version)
        };
        let new = listing.objects.iter().filter(is_new).map(|object| Change {
            key: object.key.clone(),
            version: object.object.version,
            value: Some(object.object.value.clone()),
        });
        removed.chain(new).collect()
    }
}

fn size_of_change(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, Vec::len)
}

/// Cached objects and recent changes of all watched prefixes.
pub struct StoreCache {
    clock: Arc<dyn Clock>,
    /// Number of readers that wait for changes, in all prefixes.
    readers: AtomicUsize,
    prefixes: Mutex<IndexMap<(ObjectSpace, String), CachedPrefix>>,
}

impl StoreCache {
    /// Creates an empty cache.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            readers: AtomicUsize::new(0),
            prefixes: Mutex::default(),
        }
    }

    /// Applies a listing that the store confirmed `age` ago. Returns the number of changed objects, zero for a
    /// listing that is older than the cached one.
    pub fn apply_listing(
        &self,
        space: ObjectSpace,
        prefix: &str,
        listing: &Listing,
        age: DurationMs,
    ) -> usize {
        let confirmed_at = self.confirmed_at(age);
        let mut prefixes = self.lock();
        let cached = prefixes.entry((space, prefix.to_owned())).or_default();
        if listing.version < cached.version {
            return 0;
        }
        let is_first = cached.version == Version::default();
        let differences = cached.differences(listing);
        let count = differences.len();
        for change in differences {
            cached.set(listing.version, change);
        }
        if is_first {
            cached.history_start = listing.version;
            cached.changes.clear();
            cached.changes_bytes = 0;
        }
        cached.version = listing.version;
        cached.confirmed_at = cached.confirmed_at.max(confirmed_at);
        cached.notify();
        count
    }

    /// Applies the changes of a watch that the store confirmed `age` ago.
    pub fn apply_changes(&self, space: ObjectSpace, prefix: &str, changes: &Changes, age: DurationMs) {
        let confirmed_at = self.confirmed_at(age);
        let mut prefixes = self.lock();
        let cached = prefixes.entry((space, prefix.to_owned())).or_default();
        for change in &changes.changes {
            // Deletions may carry the version of the deleted object.
            cached.set(changes.version, change.clone());
        }
        cached.version = cached.version.max(changes.version);
        cached.confirmed_at = cached.confirmed_at.max(confirmed_at);
        if !changes.changes.is_empty() {
            cached.notify();
        }
    }

    /// Store version of the cached objects of a prefix; zero when the prefix is not cached.
    pub fn version(&self, space: ObjectSpace, prefix: &str) -> Version {
        let prefixes = self.lock();
        let cached = prefixes.get(&(space, prefix.to_owned()));
        cached.map_or(Version::default(), |cached| cached.version)
    }

    /// Time since the store last confirmed the cached objects of a prefix; `None` when the prefix is not cached.
    pub fn age(&self, space: ObjectSpace, prefix: &str) -> Option<DurationMs> {
        let now = self.clock.now();
        let prefixes = self.lock();
        let cached = prefixes.get(&(space, prefix.to_owned()))?;
        Some(now.since(cached.confirmed_at))
    }

    /// Whether the cached objects of a prefix are those of `listing`, each with the same version.
    pub(crate) fn has_same_objects(&self, space: ObjectSpace, prefix: &str, listing: &Listing) -> bool {
        let prefixes = self.lock();
        let cached = prefixes.get(&(space, prefix.to_owned()));
        cached.is_some_and(|cached| cached.differences(listing).is_empty())
    }

    /// Returns all objects of a prefix with their age, or `None` when they are older than `max_age` or not cached.
    pub fn listing(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)> {
        let now = self.clock.now();
        let prefixes = self.lock();
        let cached = prefixes.get(&(space, prefix.to_owned()))?;
        let age_ms = now.since(cached.confirmed_at);
        if age_ms > max_age {
            return None;
        }
        let objects = cached.objects.iter().map(|(key, object)| KeyedObject {
            key: key.clone(),
            object: object.clone(),
        });
        let listing = Listing {
            objects: objects.collect(),
            version: cached.version,
        };
        Some((listing, age_ms))
    }

    /// Returns the changes after a version. When there are none, waits for the first one until `wait` is over or the
    /// cached data reaches `max_age`.
    pub async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> CachedChanges {
        let deadline = self.clock.now().after(wait);
        let _waiting = WaitingReader::new(&self.readers);
        loop {
            let (reply, changed) = self.changes_after(space, prefix, after, max_age);
            let CachedChanges::Changes { changes, age_ms } = &reply else {
                return reply;
            };
            let remaining = deadline
                .since(self.clock.now())
                .min(max_age.saturating_sub(*age_ms));
            let (true, Some(changed)) = (changes.changes.is_empty() && remaining.get() > 0, changed) else {
                return reply;
            };
            if timeout(remaining.as_std(), changed.recv()).await.is_err() {
                return self.changes_after(space, prefix, after, max_age).0;
            }
            if self.readers.load(Ordering::Relaxed) > MAX_IMMEDIATE_READERS {
                task::sleep(COLLECT_MS.as_std()).await;
            }
        }
    }

    fn changes_after(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        max_age: DurationMs,
    ) -> (CachedChanges, Option<Receiver<()>>) {
        let now = self.clock.now();
        let mut prefixes = self.lock();
        let Some(cached) = prefixes.get_mut(&(space, prefix.to_owned())) else {
            return (CachedChanges::Stale, None);
        };
        let age_ms = now.since(cached.confirmed_at);
        if age_ms > max_age || cached.version < after {
            return (CachedChanges::Stale, None);
        }
        if after < cached.history_start {
            return (CachedChanges::Relist, None);
        }
        // The history is in the order of its versions. Many readers resume near its end with each change.
        let first = cached
            .changes
            .partition_point(|(observed_at, _)| *observed_at <= after);
        let newer = cached.changes.range(first..);
        let changes = Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            version: cached.version,
        };
        let changed = cached.add_waiter();
        (CachedChanges::Changes { changes, age_ms }, Some(changed))
    }

    fn confirmed_at(&self, age: DurationMs) -> Timestamp {
        let now = self.clock.now();
        Timestamp::new(now.get().saturating_sub(age.get()))
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<(ObjectSpace, String), CachedPrefix>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
