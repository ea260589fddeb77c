//! Objects of the store as this host last read them, for the hosts that read them here instead of in the store.
//!
//! Load pattern: every host has to hear of a change within a second or two, and each call on the store is charged and
//! counted against a rate that grows more slowly than the fleet. A few hosts read the store; the others read from
//! them, and turn to the store themselves as soon as what they get is too old.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
};
use indexmap::IndexMap;
use jm_platform::{Change, Changes, KeyedObject, Listing, Object, Version};
use jm_types::{Clock, DurationMs, Timestamp};

use crate::ObjectSpace;

/// Changes that are kept for readers; a reader that lags further behind lists again.
const MAX_CHANGE_HISTORY: usize = 512;

/// What a reader gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CachedChanges {
    /// The changes after the reader's version, possibly none.
    Changes {
        /// The changes and the version to ask after next.
        changes: Changes,
        /// Time since the store confirmed them.
        age_ms: DurationMs,
    },
    /// The changes after the reader's version are not kept; it has to list.
    Relist,
    /// The cached is too old or does not exist.
    Stale,
}

#[derive(Default)]
struct CachedPrefix {
    objects: IndexMap<String, Object>,
    version: Version,
    /// Changes after this version are kept.
    history_start: Version,
    /// With the version of the store at which each was found, by which readers ask; that of the object is older when a
    /// listing brought the change.
    changes: VecDeque<(Version, Change)>,
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
        self.changes.push_back((observed_at, change));
        while self.changes.len() > MAX_CHANGE_HISTORY {
            if let Some((observed_at, _)) = self.changes.pop_front() {
                self.history_start = observed_at;
            }
        }
    }

    fn notify(&mut self) {
        for waiter in self.waiters.drain(..) {
            // A reader that has gone away needs no message.
            let _ = waiter.try_send(());
        }
    }

    /// Differences between the cached and a listing.
    fn differences(&self, listing: &Listing) -> Vec<Change> {
        let listed = |key: &str| listing.objects.iter().any(|object| object.key == key);
        let gone = self.objects.keys().filter(|key| !listed(key)).map(|key| Change {
            key: key.clone(),
            version: listing.version,
            value: None,
        });
        let is_new = |object: &&KeyedObject| {
            let known = self.objects.get(&object.key);
            known.is_none_or(|known| known.version != object.object.version)
        };
        let new = listing.objects.iter().filter(is_new).map(|object| Change {
            key: object.key.clone(),
            version: object.object.version,
            value: Some(object.object.value.clone()),
        });
        gone.chain(new).collect()
    }
}

/// Copies of all followed prefixes.
pub struct StoreCache {
    clock: Arc<dyn Clock>,
    prefixes: Mutex<IndexMap<(ObjectSpace, String), CachedPrefix>>,
}

impl StoreCache {
    /// No prefixes yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            prefixes: Mutex::default(),
        }
    }

    /// Takes a listing that was confirmed `age` ago; returns how many objects changed.
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
        }
        cached.version = listing.version;
        cached.confirmed_at = cached.confirmed_at.max(confirmed_at);
        cached.notify();
        count
    }

    /// Takes the changes of a watch that was confirmed `age` ago.
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

    /// All objects of a prefix with their age; none when the cached is older than `max_age`.
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

    /// Changes after a version; waits for the first one, but not until the cached is older than `max_age`.
    pub async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> CachedChanges {
        let deadline = self.clock.now().after(wait);
        loop {
            let (reply, changed) = self.changes_after(space, prefix, after, max_age);
            let CachedChanges::Changes { changes, age_ms } = &reply else {
                return reply;
            };
            let left = deadline
                .since(self.clock.now())
                .min(max_age.saturating_sub(*age_ms));
            let (true, Some(changed)) = (changes.changes.is_empty() && left.get() > 0, changed) else {
                return reply;
            };
            if timeout(left.as_std(), changed.recv()).await.is_err() {
                return self.changes_after(space, prefix, after, max_age).0;
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
        let newer = cached
            .changes
            .iter()
            .filter(|(observed_at, _)| *observed_at > after);
        let changes = Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            version: cached.version,
        };
        let (sender, receiver) = bounded(1);
        cached.waiters.push(sender);
        (CachedChanges::Changes { changes, age_ms }, Some(receiver))
    }

    fn confirmed_at(&self, age: DurationMs) -> Timestamp {
        let now = self.clock.now();
        Timestamp::new(now.get().saturating_sub(age.get()))
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<(ObjectSpace, String), CachedPrefix>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
