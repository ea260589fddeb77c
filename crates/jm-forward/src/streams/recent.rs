//! Streams that began a short time ago, until the entry of their target is known to be current.
//!
//! Load pattern: a target that starts again under its id with other software answers requests for up to two seconds before
//! hosts read its new entry. What it answered in this time is recorded under the version of its predecessor.

use std::collections::VecDeque;

use jm_types::{DurationMs, SoftwareVersion, Timestamp};

use crate::{Catalog, RunKey, StreamKey, Target};

/// Time after which the entry of a target that has started again is listed by all hosts in touch with the store.
const ENTRY_DELAY_MS: DurationMs = DurationMs::new(10_000);
/// Maximum number of streams that are kept.
const MAX_STREAMS: usize = 4_096;

#[derive(Debug, Clone)]
struct RecentStream {
    key: StreamKey,
    run: RunKey,
    software: Option<SoftwareVersion>,
    began_at: Timestamp,
}

/// The streams of the last seconds, with the run and the version of the entry with which their target was chosen.
#[derive(Debug, Default)]
pub struct RecentStreams {
    streams: VecDeque<RecentStream>,
}

impl RecentStreams {
    /// Records a stream that began at `chosen`.
    pub fn record(&mut self, key: StreamKey, chosen: &Target, now: Timestamp) {
        let is_old = |stream: &RecentStream| now.since(stream.began_at) > ENTRY_DELAY_MS;
        while self.streams.len() >= MAX_STREAMS || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
        self.streams.push_back(RecentStream {
            key,
            run: chosen.run.clone(),
            software: chosen.software.clone(),
            began_at: now,
        });
    }

    /// Removes and returns the streams that began after their target had started again with other software. `unix_ms` is
    /// the wall-clock time at `now`.
    pub fn take_contradicted(&mut self, catalog: &Catalog, unix_ms: u64, now: Timestamp) -> Vec<StreamKey> {
        let mut contradicted = Vec::new();
        self.streams.retain(|stream| {
            let is_sound = !stream.is_contradicted(catalog, unix_ms, now);
            if !is_sound {
                contradicted.push(stream.key);
            }
            is_sound
        });
        contradicted
    }
}

impl RecentStream {
    fn is_contradicted(&self, catalog: &Catalog, unix_ms: u64, now: Timestamp) -> bool {
        let listed = catalog.get(&self.run.id);
        let is_other = |listed: &&Target| listed.run != self.run && listed.software != self.software;
        listed.filter(is_other).is_some_and(|listed| {
            let age_ms = unix_ms.saturating_sub(listed.run.started_unix_ms);
            now.since(self.began_at) <= DurationMs::new(age_ms)
        })
    }
}
