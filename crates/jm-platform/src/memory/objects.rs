//! Objects, their change history and waiting watches.

use std::collections::{BTreeMap, VecDeque};

use async_std::future::timeout;
use async_trait::async_trait;
use futures::channel::oneshot;
use jm_types::DurationMs;
use snafu::ensure;

use super::MemoryPlatform;
use crate::{
    Change, Changes, Condition, KeyedObject, Listing, MAX_VALUE_BYTES, Object, ObjectError, ObjectStore,
    ReadError, Version, WatchError, is_valid_key, is_valid_prefix,
    object::{ConflictSnafu, InvalidKeySnafu, InvalidReadKeySnafu, RelistSnafu, TooLargeSnafu},
};

/// Maximum number of changes in one watch result. The caller receives further changes with its next watch.
const MAX_CHANGES: usize = 256;

#[derive(Default)]
pub(super) struct ObjectState {
    objects: BTreeMap<String, Object>,
    version: Version,
    history: VecDeque<Change>,
    waiting: Vec<oneshot::Sender<()>>,
}

enum WatchStep {
    Ready(Changes),
    Wait(oneshot::Receiver<()>),
}

impl ObjectState {
    fn check(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        let current = self.objects.get(key).map(|object| object.version);
        ensure!(condition.holds(current), ConflictSnafu { current });
        Ok(())
    }

    fn change(&mut self, key: &str, value: Option<Vec<u8>>, history_changes: usize) -> Version {
        self.version = self.version.next();
        let version = self.version;
        match &value {
            Some(value) => {
                let value = value.clone();
                self.objects.insert(key.to_owned(), Object { value, version });
            }
            None => {
                self.objects.remove(key);
            }
        }
        let key = key.to_owned();
        self.history.push_back(Change { key, version, value });
        while self.history.len() > history_changes {
            self.history.pop_front();
        }
        self.waiting.clear();
        version
    }

    fn list(&self, prefix: &str) -> Listing {
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| KeyedObject {
                key: key.clone(),
                object: object.clone(),
            })
            .collect();
        Listing {
            objects,
            version: self.version,
        }
    }

    /// Version of the newest change that has been removed from the history.
    fn compacted_version(&self) -> Version {
        let retained = u64::try_from(self.history.len()).unwrap_or(u64::MAX);
        Version::new(self.version.get().saturating_sub(retained))
    }

    fn changes(&self, prefix: &str, after: Version) -> Result<Changes, WatchError> {
        let current = self.version;
        ensure!(
            after >= self.compacted_version() && after <= current,
            RelistSnafu { current }
        );
        let first = self.history.partition_point(|change| change.version <= after);
        let changes: Vec<_> = self
            .history
            .range(first..)
            .filter(|change| change.key.starts_with(prefix))
            .take(MAX_CHANGES)
            .cloned()
            .collect();
        let version = match changes.last() {
            Some(last) if changes.len() == MAX_CHANGES => last.version,
            _ => current,
        };
        Ok(Changes { changes, version })
    }

    fn watch(&mut self, prefix: &str, after: Version) -> Result<WatchStep, WatchError> {
        let found = self.changes(prefix, after)?;
        if !found.changes.is_empty() {
            return Ok(WatchStep::Ready(found));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.retain(|waiting| !waiting.is_canceled());
        self.waiting.push(sender);
        Ok(WatchStep::Wait(receiver))
    }
}

impl MemoryPlatform {
    /// Returns the version of the store, which is the version of its last change.
    pub fn version(&self) -> Version {
        self.objects().version
    }

    /// Returns the number of watches that are waiting for a change.
    pub fn waiting_watches(&self) -> usize {
        let objects = self.objects();
        objects
            .waiting
            .iter()
            .filter(|waiting| !waiting.is_canceled())
            .count()
    }

    async fn next_changes(&self, prefix: &str, after: Version) -> Result<Changes, WatchError> {
        loop {
            let step = self.objects().watch(prefix, after)?;
            match step {
                WatchStep::Ready(changes) => return Ok(changes),
                // A change drops the sender, which wakes the receiver.
                WatchStep::Wait(receiver) => drop(receiver.await),
            }
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        ensure!(is_valid_key(key), InvalidReadKeySnafu { key });
        Ok(self.objects().objects.get(key).cloned())
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        ensure!(is_valid_key(key), InvalidKeySnafu { key });
        let bytes = value.len();
        ensure!(bytes <= MAX_VALUE_BYTES, TooLargeSnafu { bytes });
        let mut objects = self.objects();
        objects.check(key, condition)?;
        Ok(objects.change(key, Some(value), self.shared.options.history_changes))
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        ensure!(is_valid_key(key), InvalidKeySnafu { key });
        let mut objects = self.objects();
        objects.check(key, condition)?;
        if objects.objects.contains_key(key) {
            objects.change(key, None, self.shared.options.history_changes);
        }
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        ensure!(is_valid_prefix(prefix), InvalidReadKeySnafu { key: prefix });
        Ok(self.objects().list(prefix))
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        ensure!(is_valid_prefix(prefix), InvalidReadKeySnafu { key: prefix });
        match timeout(wait.as_std(), self.next_changes(prefix, after)).await {
            Ok(result) => result,
            Err(_) => self.objects().changes(prefix, after),
        }
    }
}
