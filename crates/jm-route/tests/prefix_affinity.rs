//! Tests of prefix affinity with bounded loads.

mod common;

use common::{at, engines, quick, request, target};
use jm_route::{CacheEvent, Class, QueuedRequest};

fn prefixed(id: u64, tokens: u64, hashes: &[u64]) -> QueuedRequest {
    let mut request = request(id, 0, Class::Live, tokens);
    request.prefix_hashes = hashes.to_vec();
    request
}

/// Guards against requests with the same prompt that go to different engines at low load.
#[test]
fn same_prefix_same_engine() {
    let mut scheduler = engines(8, 10_000);
    let mut targets = Vec::new();
    for id in 0..8 {
        scheduler.submit(prefixed(id, 100, &[1, 2, 3]), at(0)).unwrap();
        targets.push(scheduler.next(at(0)).unwrap().target);
    }
    assert!(targets.iter().all(|target| *target == targets[0]), "{targets:?}");
}

/// Guards against a placement that ignores the engine with the longest cached prefix.
#[test]
fn longest_cached_prefix_is_preferred() {
    let mut scheduler = engines(8, 10_000);
    scheduler.cache_event(&target(3), &CacheEvent::Stored(vec![1, 2]));
    scheduler.cache_event(&target(5), &CacheEvent::Stored(vec![1]));
    scheduler.submit(prefixed(1, 100, &[1, 2, 9]), at(0)).unwrap();
    assert_eq!(scheduler.next(at(0)).unwrap().target, target(3));
    scheduler.cache_event(&target(3), &CacheEvent::Evicted(vec![1, 2]));
    scheduler.cache_event(&target(3), &CacheEvent::Cleared);
    scheduler.submit(prefixed(2, 100, &[1, 7]), at(0)).unwrap();
    assert_eq!(scheduler.next(at(0)).unwrap().target, target(5));
}

/// Guards against a frequent prefix that overloads one engine, for any sequence of cache events.
#[test]
fn load_is_bounded() {
    fn check(prefixes: Vec<u8>, events: Vec<(u8, u8)>) -> bool {
        let mut scheduler = engines(4, 100_000);
        for (number, hash) in events {
            scheduler.cache_event(
                &target(u64::from(number % 4)),
                &CacheEvent::Stored(vec![u64::from(hash % 4)]),
            );
        }
        for id in 0..200 {
            let hash = prefixes.get(id as usize).copied().unwrap_or(0) % 4;
            scheduler
                .submit(prefixed(id, 1_000, &[hash.into()]), at(0))
                .unwrap();
            if scheduler.next(at(0)).is_none() {
                return false;
            }
        }
        let loads: Vec<u64> = scheduler.targets().iter().map(|state| state.in_flight).collect();
        let mean = loads.iter().sum::<u64>() / 4;
        loads.iter().all(|load| *load * 4 <= mean * 5)
    }
    quick().quickcheck(check as fn(_, _) -> _);
}
