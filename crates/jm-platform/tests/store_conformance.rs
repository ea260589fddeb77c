//! Model test: the in-memory object store, the HTTP client and a simple reference model must return the same results
//! for any sequence of operations.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use std::collections::BTreeMap;

use async_std::task;
use common::remote;
use jm_platform::{Condition, MAX_VALUE_BYTES, MemoryPlatform, ObjectError, ObjectStore, ReadError, Version};
use jm_types::DurationMs;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEYS: [&str; 6] = ["a", "a/b", "a/b/c", "ab", "lease/x", "lease/y"];
const BAD_KEYS: [&str; 5] = ["", "/a", "a//b", "a/../b", "a b"];
const PREFIXES: [&str; 5] = ["", "a", "a/", "lease/", "nothing/"];

#[derive(Debug, Clone)]
enum Operation {
    Get(String),
    Put(String, Vec<u8>, Guess),
    Delete(String, Guess),
    List(String),
    Watch(String, u8),
}

/// A condition that is resolved against the current state, so that it often holds.
#[derive(Debug, Clone, Copy)]
enum Guess {
    Any,
    Absent,
    Current,
    Old(u8),
}

impl Arbitrary for Guess {
    fn arbitrary(g: &mut Gen) -> Self {
        let old = u8::arbitrary(g) % 16;
        *g.choose(&[
            Self::Any,
            Self::Absent,
            Self::Current,
            Self::Current,
            Self::Old(old),
        ])
        .unwrap()
    }
}

impl Arbitrary for Operation {
    fn arbitrary(g: &mut Gen) -> Self {
        let keys = if u8::arbitrary(g) % 16 == 0 {
            &BAD_KEYS[..]
        } else {
            &KEYS[..]
        };
        let key = (*g.choose(keys).unwrap()).to_owned();
        let prefix = (*g.choose(&PREFIXES).unwrap()).to_owned();
        match u8::arbitrary(g) % 8 {
            0 => Self::Get(key),
            1..=3 => Self::Put(key, Vec::arbitrary(g), Guess::arbitrary(g)),
            4 | 5 => Self::Delete(key, Guess::arbitrary(g)),
            6 => Self::List(prefix),
            _ => Self::Watch(prefix, u8::arbitrary(g) % 24),
        }
    }
}

/// Reference model: stores the complete history and replays it for each read.
#[derive(Default)]
struct Model {
    history: Vec<(String, Option<Vec<u8>>)>,
}

impl Model {
    fn state(&self) -> BTreeMap<String, (Vec<u8>, u64)> {
        let mut state = BTreeMap::new();
        for (version, (key, value)) in (1..).zip(&self.history) {
            match value {
                Some(value) => drop(state.insert(key.clone(), (value.clone(), version))),
                None => drop(state.remove(key)),
            }
        }
        state
    }

    fn version(&self, key: &str) -> Option<u64> {
        self.state().get(key).map(|(_, version)| *version)
    }

    fn condition(&self, key: &str, guess: Guess) -> Condition {
        match guess {
            Guess::Any => Condition::Any,
            Guess::Absent => Condition::Absent,
            Guess::Current => match self.version(key) {
                Some(version) => Condition::Version(Version::new(version)),
                None => Condition::Absent,
            },
            Guess::Old(version) => Condition::Version(Version::new(version.into())),
        }
    }

    fn conflicts(&self, key: &str, condition: Condition) -> bool {
        match condition {
            Condition::Any => false,
            Condition::Absent => self.version(key).is_some(),
            Condition::Version(version) => self.version(key) != Some(version.get()),
        }
    }

    fn apply(&mut self, operation: &Operation) -> String {
        match operation {
            Operation::Get(key) | Operation::Put(key, ..) | Operation::Delete(key, _)
                if BAD_KEYS.contains(&key.as_str()) =>
            {
                "invalid key".to_owned()
            }
            Operation::Get(key) => format!("{:?}", self.state().get(key)),
            Operation::Put(key, value, guess) => self.change(key, Some(value), *guess),
            Operation::Delete(key, guess) => self.change(key, None, *guess),
            Operation::List(prefix) => {
                let mut state = self.state();
                state.retain(|key, _| key.starts_with(prefix));
                format!("{} {state:?}", self.history.len())
            }
            Operation::Watch(_, after) if usize::from(*after) > self.history.len() => {
                format!("list again {}", self.history.len())
            }
            Operation::Watch(prefix, after) => {
                let later = (1u64..).zip(&self.history).skip((*after).into());
                let changes: Vec<_> = later.filter(|(_, (key, _))| key.starts_with(prefix)).collect();
                format!("{} {changes:?}", self.history.len())
            }
        }
    }

    fn change(&mut self, key: &str, value: Option<&Vec<u8>>, guess: Guess) -> String {
        if self.conflicts(key, self.condition(key, guess)) {
            return format!("conflict {:?}", self.version(key));
        }
        if value.is_some() || self.version(key).is_some() {
            self.history.push((key.to_owned(), value.cloned()));
        }
        match value {
            Some(_) => format!("written {}", self.history.len()),
            None => "deleted".to_owned(),
        }
    }
}

fn change_error(error: &ObjectError) -> String {
    match error {
        ObjectError::Conflict { current } => format!("conflict {:?}", current.map(Version::get)),
        ObjectError::InvalidKey { .. } => "invalid key".to_owned(),
        other => format!("{other:?}"),
    }
}

fn read_error(error: &ReadError) -> String {
    match error {
        ReadError::InvalidReadKey { .. } => "invalid key".to_owned(),
        other => format!("{other:?}"),
    }
}

async fn apply(store: &dyn ObjectStore, operation: &Operation, model: &Model) -> String {
    match operation {
        Operation::Get(key) => match store.get(key).await {
            Ok(found) => format!("{:?}", found.map(|object| (object.value, object.version.get()))),
            Err(error) => read_error(&error),
        },
        Operation::Put(key, value, guess) => {
            match store.put(key, value.clone(), model.condition(key, *guess)).await {
                Ok(version) => format!("written {version}"),
                Err(error) => change_error(&error),
            }
        }
        Operation::Delete(key, guess) => match store.delete(key, model.condition(key, *guess)).await {
            Ok(()) => "deleted".to_owned(),
            Err(error) => change_error(&error),
        },
        Operation::List(prefix) => {
            let listing = store.list(prefix).await.unwrap();
            let entries = listing.objects.into_iter();
            let state: BTreeMap<_, _> = entries
                .map(|entry| (entry.key, (entry.object.value, entry.object.version.get())))
                .collect();
            format!("{} {state:?}", listing.version)
        }
        Operation::Watch(prefix, after) => watch(store, prefix, (*after).into()).await,
    }
}

async fn watch(store: &dyn ObjectStore, prefix: &str, after: u64) -> String {
    let no_wait = DurationMs::new(0);
    match store.watch(prefix, Version::new(after), no_wait).await {
        Ok(found) => {
            let changes = found.changes.into_iter();
            let changes: Vec<_> = changes
                .map(|change| (change.version.get(), (change.key, change.value)))
                .collect();
            format!("{} {changes:?}", found.version)
        }
        Err(jm_platform::WatchError::Relist { current }) => format!("list again {current}"),
        Err(other) => format!("{other:?}"),
    }
}

fn agree(operations: Vec<Operation>) -> bool {
    task::block_on(async {
        let memory = MemoryPlatform::default();
        let remote = remote().await;
        let mut model = Model::default();
        for operation in &operations {
            let in_memory = apply(&memory, operation, &model).await;
            let over_http = apply(&remote.client, operation, &model).await;
            let expected = model.apply(operation);
            assert_eq!(in_memory, expected, "in memory: {operation:?}");
            assert_eq!(over_http, expected, "over HTTP: {operation:?}");
        }
        true
    })
}

/// Guards against an implementation that differs from the contract of the trait.
#[test]
fn same_results() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(60)
        .quickcheck(agree as fn(Vec<Operation>) -> bool);
}

async fn check_size_limit(store: &dyn ObjectStore) {
    let largest = vec![b'x'; MAX_VALUE_BYTES];
    let version = store.put("big", largest.clone(), Condition::Any).await.unwrap();
    assert_eq!(store.get("big").await.unwrap().unwrap().value, largest);
    let too_large = vec![b'y'; MAX_VALUE_BYTES + 1];
    let bytes = too_large.len();
    let refused = store.put("big", too_large, Condition::Any).await;
    assert_eq!(refused, Err(ObjectError::TooLarge { bytes }));
    assert_eq!(store.get("big").await.unwrap().unwrap().version, version);
}

/// Guards against values that exceed the size limit of the platform.
#[async_std::test]
async fn size_limit() {
    check_size_limit(&MemoryPlatform::default()).await;
    check_size_limit(&remote().await.client).await;
}
