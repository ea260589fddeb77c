//! Guards against a cache that keeps what its readers leave behind.

use std::{fs, sync::Arc};

use async_std::task;
use jm_host::{ObjectSpace, StoreCache};
use jm_platform::{Changes, Listing, Version};
use jm_types::{DurationMs, ManualClock};

const SPACE: ObjectSpace = ObjectSpace::Product;
const PREFIX: &str = "batch-state/";
const NO_TIME: DurationMs = DurationMs::new(0);
const MAX_AGE: DurationMs = DurationMs::new(1_000);
const VERSION: Version = Version::new(10);

/// Watches of 40 readers within some 20 minutes.
const WATCHES: usize = 400_000;

fn memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against a host whose memory grows with each watch of a prefix without changes that it reads from another host.
#[test]
fn ended_watches() {
    let cache = StoreCache::new(Arc::new(ManualClock::default()));
    let listing = Listing {
        objects: Vec::new(),
        version: VERSION,
    };
    let unchanged = Changes {
        changes: Vec::new(),
        version: VERSION,
    };
    cache.apply_listing(SPACE, PREFIX, &listing, NO_TIME);
    let before = memory_kb();
    for _ in 0..WATCHES {
        task::block_on(cache.watch(SPACE, PREFIX, VERSION, NO_TIME, MAX_AGE));
        cache.apply_changes(SPACE, PREFIX, &unchanged, NO_TIME);
    }
    let grown = memory_kb().saturating_sub(before);
    assert!(grown < 10_000, "{WATCHES} watches left {grown} KB behind");
}
