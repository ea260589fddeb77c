//! Guards against acting on stale cached data, and against missing a change when reading through another host's
//! cache.

use std::sync::Arc;

use async_std::task;
use jm_host::{CachedChanges, ObjectSpace, StoreCache};
use jm_platform::{Change, Changes, KeyedObject, Listing, Object, Version};
use jm_types::{DurationMs, ManualClock};

const SPACE: ObjectSpace = ObjectSpace::Product;
const PREFIX: &str = "batch-state/";
const NO_AGE: DurationMs = DurationMs::new(0);
const MAX_AGE: DurationMs = DurationMs::new(1_000);

fn listing(version: u64, objects: &[(&str, u64)]) -> Listing {
    let objects = objects.iter().map(|(key, version)| KeyedObject {
        key: format!("{PREFIX}{key}"),
        object: Object {
            value: version.to_string().into_bytes(),
            version: Version::new(*version),
        },
    });
    Listing {
        objects: objects.collect(),
        version: Version::new(version),
    }
}

fn cache() -> (StoreCache, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    clock.advance(DurationMs::new(10_000));
    (StoreCache::new(Arc::clone(&clock) as _), clock)
}

fn watch(cache: &StoreCache, after: u64) -> CachedChanges {
    let after = Version::new(after);
    task::block_on(cache.watch(SPACE, PREFIX, after, NO_AGE, MAX_AGE))
}

fn changed_keys(reply: &CachedChanges) -> Vec<(String, u64, bool)> {
    let CachedChanges::Changes { changes, .. } = reply else {
        panic!("expected changes: {reply:?}");
    };
    let keys = changes.changes.iter().map(|change| {
        let key = change.key.trim_start_matches(PREFIX).to_owned();
        (key, change.version.get(), change.value.is_some())
    });
    keys.collect()
}

#[test]
fn difference_of_listings() {
    let (cache, _clock) = cache();
    assert_eq!(
        cache.apply_listing(SPACE, PREFIX, &listing(10, &[("a", 5), ("b", 6)]), NO_AGE),
        2
    );
    assert_eq!(
        cache.apply_listing(
            SPACE,
            PREFIX,
            &listing(20, &[("a", 5), ("b", 15), ("c", 16)]),
            NO_AGE
        ),
        2
    );
    let reply = watch(&cache, 10);
    // A reader needs the object's own version for conditional updates.
    assert_eq!(
        changed_keys(&reply),
        [("b".to_owned(), 15, true), ("c".to_owned(), 16, true)]
    );
    assert_eq!(
        cache.apply_listing(SPACE, PREFIX, &listing(30, &[("a", 5), ("c", 16)]), NO_AGE),
        1
    );
    assert_eq!(changed_keys(&watch(&cache, 20)), [("b".to_owned(), 30, false)]);
    assert!(changed_keys(&watch(&cache, 30)).is_empty());
}

/// A deletion may carry the version of the deleted object, which is older than the version that readers resume from.
#[test]
fn deletion_with_an_old_version() {
    let (cache, _clock) = cache();
    cache.apply_listing(SPACE, PREFIX, &listing(10, &[("a", 5)]), NO_AGE);
    let deletion = Change {
        key: format!("{PREFIX}a"),
        version: Version::new(5),
        value: None,
    };
    let changes = Changes {
        changes: vec![deletion],
        version: Version::new(12),
    };
    cache.apply_changes(SPACE, PREFIX, &changes, NO_AGE);
    assert_eq!(changed_keys(&watch(&cache, 10)), [("a".to_owned(), 5, false)]);
}

/// When the primary reader loses its connection to the store, its cache must be reported as stale, so that other
/// hosts fall back to the store.
#[test]
fn stale_cache() {
    let (cache, clock) = cache();
    cache.apply_listing(SPACE, PREFIX, &listing(10, &[]), NO_AGE);
    clock.advance(DurationMs::new(1_001));
    assert_eq!(watch(&cache, 10), CachedChanges::Stale);
    assert!(cache.listing(SPACE, PREFIX, MAX_AGE).is_none());
    cache.apply_listing(SPACE, PREFIX, &listing(11, &[]), NO_AGE);
    assert!(cache.listing(SPACE, PREFIX, MAX_AGE).is_some());
}

/// Data read from another host's cache has at least the age that it had there.
#[test]
fn age_adds_up() {
    let (cache, clock) = cache();
    cache.apply_listing(SPACE, PREFIX, &listing(10, &[]), DurationMs::new(900));
    clock.advance(DurationMs::new(200));
    assert_eq!(watch(&cache, 10), CachedChanges::Stale);
}

/// A reader that is ahead of the cache, or behind its history, gets no changes.
#[test]
fn reader_outside_history() {
    let (cache, _clock) = cache();
    cache.apply_listing(SPACE, PREFIX, &listing(10, &[("a", 5)]), NO_AGE);
    assert_eq!(watch(&cache, 11), CachedChanges::Stale);
    assert_eq!(watch(&cache, 4), CachedChanges::Relist);
    assert_eq!(
        task::block_on(cache.watch(SPACE, "other/", Version::new(1), NO_AGE, MAX_AGE)),
        CachedChanges::Stale
    );
}

/// Guards against a listing of thousands of objects to each host whenever all of them change at once, as the entries of
/// all engines do when they load new weights.
#[test]
fn all_objects_change() {
    let (cache, _clock) = cache();
    let names: Vec<String> = (0..2_000).map(|index| format!("e{index}")).collect();
    let objects = |version: u64| -> Vec<(&str, u64)> {
        names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_str(), version + index as u64))
            .collect()
    };
    cache.apply_listing(SPACE, PREFIX, &listing(3_000, &objects(1)), NO_AGE);
    let changed = cache.apply_listing(SPACE, PREFIX, &listing(6_000, &objects(3_001)), NO_AGE);
    assert_eq!(changed, 2_000);
    assert_eq!(changed_keys(&watch(&cache, 3_000)).len(), 2_000);
}

/// Guards against a history of large values, such as configurations in quick succession, that fills the memory of a host.
#[test]
fn history_of_large_values() {
    let (cache, _clock) = cache();
    cache.apply_listing(SPACE, PREFIX, &listing(10, &[("a", 5)]), NO_AGE);
    for version in 11..=110 {
        let change = Change {
            key: format!("{PREFIX}a"),
            version: Version::new(version),
            value: Some(vec![b'x'; 1_000_000]),
        };
        let changes = Changes {
            changes: vec![change],
            version: Version::new(version),
        };
        cache.apply_changes(SPACE, PREFIX, &changes, NO_AGE);
    }
    let replies = (10..=110).map(|after| watch(&cache, after));
    let held = replies.filter(|reply| *reply != CachedChanges::Relist);
    let most = held.map(|reply| changed_keys(&reply).len()).max();
    assert!(most <= Some(8), "the history holds {most:?} values of 1 MB");
    let (listing, _) = cache.listing(SPACE, PREFIX, MAX_AGE).unwrap();
    assert_eq!(listing.objects[0].object.version, Version::new(110));
}
