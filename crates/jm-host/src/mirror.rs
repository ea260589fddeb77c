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
const KEPT_CHANGES: usize = 512;

/// What a reader gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChanges {
    /// The changes after the reader's version, possibly none.
    Changes {
        /// The changes and the version to ask after next.
        changes: Changes,
        /// Time since the store confirmed them.
        age_ms: DurationMs,
    },
    /// The changes after the reader's version are not kept; it has to list.
    Relist,
    /// The copy is too old or does not exist.
    Stale,
}

#[derive(Default)]
struct Copy {
    objects: IndexMap<String, Object>,
    version: Version,
    /// Changes after this version are kept.
    kept_after: Version,
    /// With the version of the store at which each was found, by which readers ask; that of the object is older when a
    /// listing brought the change.
    changes: VecDeque<(Version, Change)>,
    confirmed_at: Timestamp,
    waiters: Vec<Sender<()>>,
}

impl Copy {
    fn set(&mut self, found_at: Version, change: Change) {
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
        self.changes.push_back((found_at, change));
        while self.changes.len() > KEPT_CHANGES {
            if let Some((found_at, _)) = self.changes.pop_front() {
                self.kept_after = found_at;
            }
        }
    }

    fn notify(&mut self) {
        for waiter in self.waiters.drain(..) {
            // A reader that has gone away needs no message.
            let _ = waiter.try_send(());
        }
    }

    /// Differences between the copy and a listing.
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
pub struct Mirror {
    clock: Arc<dyn Clock>,
    copies: Mutex<IndexMap<(ObjectSpace, String), Copy>>,
}

impl Mirror {
    /// No copies yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            copies: Mutex::default(),
        }
    }

    /// Takes a listing that was confirmed `age` ago; returns how many objects changed.
    pub fn list(&self, space: ObjectSpace, prefix: &str, listing: &Listing, age: DurationMs) -> usize {
        let confirmed_at = self.confirmed_at(age);
        let mut copies = self.lock();
        let copy = copies.entry((space, prefix.to_owned())).or_default();
        if listing.version < copy.version {
            return 0;
        }
        let is_first = copy.version == Version::default();
        let differences = copy.differences(listing);
        let count = differences.len();
        for change in differences {
            copy.set(listing.version, change);
        }
        if is_first {
            copy.kept_after = listing.version;
            copy.changes.clear();
        }
        copy.version = listing.version;
        copy.confirmed_at = copy.confirmed_at.max(confirmed_at);
        copy.notify();
        count
    }

    /// Takes the changes of a watch that was confirmed `age` ago.
    pub fn change(&self, space: ObjectSpace, prefix: &str, changes: &Changes, age: DurationMs) {
        let confirmed_at = self.confirmed_at(age);
        let mut copies = self.lock();
        let copy = copies.entry((space, prefix.to_owned())).or_default();
        for change in &changes.changes {
            // Deletions may carry the version of the deleted object.
            copy.set(changes.version, change.clone());
        }
        copy.version = copy.version.max(changes.version);
        copy.confirmed_at = copy.confirmed_at.max(confirmed_at);
        if !changes.changes.is_empty() {
            copy.notify();
        }
    }

    /// All objects of a prefix with their age; none when the copy is older than `max_age`.
    pub fn listing(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)> {
        let now = self.clock.now();
        let copies = self.lock();
        let copy = copies.get(&(space, prefix.to_owned()))?;
        let age_ms = now.since(copy.confirmed_at);
        if age_ms > max_age {
            return None;
        }
        let objects = copy.objects.iter().map(|(key, object)| KeyedObject {
            key: key.clone(),
            object: object.clone(),
        });
        let listing = Listing {
            objects: objects.collect(),
            version: copy.version,
        };
        Some((listing, age_ms))
    }

    /// Changes after a version; waits for the first one, but not until the copy is older than `max_age`.
    pub async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> MirrorChanges {
        let deadline = self.clock.now().after(wait);
        loop {
            let (reply, changed) = self.changes_after(space, prefix, after, max_age);
            let MirrorChanges::Changes { changes, age_ms } = &reply else {
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
    ) -> (MirrorChanges, Option<Receiver<()>>) {
        let now = self.clock.now();
        let mut copies = self.lock();
        let Some(copy) = copies.get_mut(&(space, prefix.to_owned())) else {
            return (MirrorChanges::Stale, None);
        };
        let age_ms = now.since(copy.confirmed_at);
        if age_ms > max_age || copy.version < after {
            return (MirrorChanges::Stale, None);
        }
        if after < copy.kept_after {
            return (MirrorChanges::Relist, None);
        }
        let newer = copy.changes.iter().filter(|(found_at, _)| *found_at > after);
        let changes = Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            version: copy.version,
        };
        let (sender, receiver) = bounded(1);
        copy.waiters.push(sender);
        (MirrorChanges::Changes { changes, age_ms }, Some(receiver))
    }

    fn confirmed_at(&self, age: DurationMs) -> Timestamp {
        let now = self.clock.now();
        Timestamp::new(now.get().saturating_sub(age.get()))
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<(ObjectSpace, String), Copy>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
