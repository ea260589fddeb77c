//! Guards against store calls that grow with the number of hosts, against one host that serves its cache to all
//! others, and against stale caches after the primary reader stops.

use std::collections::HashMap;

use jm_host::{StoreSource, WatchOptions, second_reader, store_source, time_until_relist};
use jm_types::{DurationMs, MemberId};

fn hosts(count: usize) -> Vec<MemberId> {
    (0..count)
        .map(|index| format!("host-{index}").parse().unwrap())
        .collect()
}

/// In deployments up to the target size, exactly one host reads the store and no cache serves too many hosts.
#[test]
fn one_host_reads_the_store() {
    for count in [1, 2, 40, 41, 66, 120, 350] {
        let live = hosts(count);
        let sources: Vec<StoreSource> = live
            .iter()
            .map(|own| store_source(own, live.len(), &live))
            .collect();
        let reads_store = |source: &&StoreSource| **source == StoreSource::Store;
        assert_eq!(sources.iter().filter(reads_store).count(), 1, "{count} hosts");
        let mut served: HashMap<&MemberId, usize> = HashMap::new();
        for source in &sources {
            if let StoreSource::PrimaryReader(reader) | StoreSource::Reader(reader) = source {
                *served.entry(reader).or_default() += 1;
            }
        }
        let most = served.values().max().copied().unwrap_or(0);
        assert!(most <= 80, "{count} hosts, {most} of them read from one cache");
    }
}

/// A host whose reader stops must not have to list all targets in the store, as hundreds of hosts then do so at once.
#[test]
fn second_readers() {
    let live = hosts(300);
    for own in &live {
        let StoreSource::Reader(first) = store_source(own, live.len(), &live) else {
            continue;
        };
        let second = second_reader(own, live.len(), &live).expect("there are several readers");
        assert!(second != first && second != *own);
        assert_ne!(
            store_source(&second, live.len(), &live),
            StoreSource::Reader(first)
        );
    }
    let few = hosts(30);
    assert!(
        few.iter()
            .all(|own| second_reader(own, few.len(), &few).is_none())
    );
}

/// Data must pass through at most one secondary reader, because each one adds to its age.
#[test]
fn readers_use_the_primary_cache() {
    let live = hosts(350);
    let first = live
        .iter()
        .find(|own| store_source(own, live.len(), &live) == StoreSource::Store);
    let first = first.unwrap();
    for own in &live {
        let StoreSource::Reader(reader) = store_source(own, live.len(), &live) else {
            continue;
        };
        let of_reader = store_source(&reader, live.len(), &live);
        assert!(reader == *first || of_reader == StoreSource::PrimaryReader(first.clone()));
    }
}

/// When the primary reader stopped, a leaving target still received requests 3.0 s later: hosts waited a full
/// interval after the last answer of their reader, although its data was already old by then.
#[test]
fn reader_stops() {
    let ms = DurationMs::new;
    let options = WatchOptions {
        watch_ms: ms(0),
        relist_ms: ms(750),
        max_age_ms: ms(1_300),
        retry_ms: ms(150),
        max_retry_ms: ms(600),
        starts_at_any_age: false,
    };
    let wait = |listed, confirmed| time_until_relist(&options, ms(listed), ms(confirmed)).get();
    assert_eq!(wait(0, 0), 750, "fresh data: wait for the full interval");
    assert_eq!(wait(0, 700), 150, "the data was 0.7 s old");
    assert_eq!(wait(0, 1_300), 150);
    assert_eq!(wait(700, 1_300), 50);
    assert_eq!(wait(900, 1_300), 0);
}
