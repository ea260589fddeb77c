//! When a host stores its origins and lists those of others.
//!
//! Load pattern: during a rollout every host of a fleet of 8 to 350 begins streams all the time, and a lost target sends
//! hundreds of resumptions at once. The intervals grow with the fleet, so that the calls of all hosts together stay far
//! within the limits of the store.

use std::collections::BTreeSet;

use jm_forward::MAX_ORIGINS;
use jm_types::{DurationMs, ServiceId, Timestamp};

/// Interval of writes for each host of the fleet: 50 writes per second together.
const FLUSH_MS_PER_HOST: u64 = 20;
/// Bounds of the interval of writes. A resumption waits for one, so it must be short for its client.
const FLUSH_INTERVAL_MS: (u64, u64) = (250, 4_000);
/// Interval of listings for each host of the fleet: 200 listings per second together.
const LISTING_MS_PER_HOST: u64 = 5;
/// Minimum interval of listings.
const MIN_LISTING_INTERVAL_MS: u64 = 25;

/// Number of origins that all hosts together store. Each host keeps those of all others in memory.
const FLEET_ORIGINS: usize = 400_000;

/// Number of origins that each host of a fleet of `hosts` stores.
pub fn stored_origins(hosts: usize) -> usize {
    MAX_ORIGINS.min(FLEET_ORIGINS / hosts.max(1))
}

/// Time between two writes of the origins of a host in a fleet of `hosts`.
pub fn flush_interval(hosts: usize) -> DurationMs {
    let (min_ms, max_ms) = FLUSH_INTERVAL_MS;
    let interval_ms = (hosts as u64).saturating_mul(FLUSH_MS_PER_HOST);
    DurationMs::new(interval_ms.clamp(min_ms, max_ms))
}

/// Time between two listings by a host in a fleet of `hosts`.
pub fn listing_interval(hosts: usize) -> DurationMs {
    let interval_ms = (hosts as u64).saturating_mul(LISTING_MS_PER_HOST);
    DurationMs::new(interval_ms.max(MIN_LISTING_INTERVAL_MS))
}

/// Decides when the origins of a host are written: at most once per interval, and only if something is new.
#[derive(Debug, Default)]
pub struct FlushSchedule {
    next_at: Timestamp,
    /// Number of changes, and services with several versions, that the last successful write contained.
    written: Option<(u64, BTreeSet<ServiceId>)>,
}

impl FlushSchedule {
    /// Whether to write now. `changes` counts the changes of the origins, `mixed` are the services with several versions in
    /// use.
    pub fn is_due(&self, changes: u64, mixed: &BTreeSet<ServiceId>, now: Timestamp) -> bool {
        let is_written = self
            .written
            .as_ref()
            .is_some_and(|(written, services)| *written == changes && mixed.is_subset(services));
        !mixed.is_empty() && !is_written && now >= self.next_at
    }

    /// Records that a write was started.
    pub fn started(&mut self, interval: DurationMs, now: Timestamp) {
        self.next_at = now.after(interval);
    }

    /// Records that a write succeeded.
    pub fn succeeded(&mut self, changes: u64, mixed: BTreeSet<ServiceId>) {
        self.written = Some((changes, mixed));
    }
}
