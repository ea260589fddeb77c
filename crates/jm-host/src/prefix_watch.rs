//! Keeps up with all objects below a prefix, through another host's copy or in the store itself.

use std::sync::Arc;

use async_std::task;
use async_trait::async_trait;
use jm_platform::{Change, Changes, KeyedObject, Listing, ObjectStore, Version, WatchError};
use jm_types::{Clock, DurationMs, LogEvent, Timestamp};

use crate::{CachedChanges, ObjectSpace, StoreCache};

/// Settings of a handler.
#[derive(Debug, Clone, Copy)]
pub struct WatchOptions {
    /// Longest wait of one watch. It also bounds how long a connection that went silent goes unnoticed. Zero polls
    /// with listings alone, which no lost watch event can mislead.
    pub watch_ms: DurationMs,
    /// Time after which the prefix is listed again although watches go on.
    pub relist_ms: DurationMs,
    /// Age up to which another host's copy is good enough.
    pub max_age_ms: DurationMs,
    /// First wait after a call failed; doubles up to the largest one.
    pub retry_ms: DurationMs,
    /// Largest wait after a call failed.
    pub max_retry_ms: DurationMs,
}

/// Receives what is followed.
pub trait WatchHandler: Send + Sync {
    /// All objects, as of one version of the store. `gap` tells how long the store had not confirmed any before.
    fn on_list(&self, objects: Vec<KeyedObject>, gap: DurationMs);

    /// One change after the listing.
    fn on_change(&self, change: Change);
}

/// Another host's copy of the store.
#[async_trait]
pub trait CacheSource: Send + Sync {
    /// A listing with its age; none when this host is to read the store itself, or the copy is too old.
    async fn list(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)>;

    /// Changes after a version.
    async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> CachedChanges;
}

/// What one handler works with.
pub struct PrefixWatch {
    /// The store.
    pub store: Arc<dyn ObjectStore>,
    /// Which objects the store holds.
    pub space: ObjectSpace,
    /// The prefix.
    pub prefix: &'static str,
    /// Settings.
    pub options: WatchOptions,
    /// The boot clock.
    pub clock: Arc<dyn Clock>,
    /// Where this host keeps its own copy.
    pub cache: Arc<StoreCache>,
    /// The copy of another host.
    pub source: Arc<dyn CacheSource>,
    /// Receives the objects.
    pub handler: Arc<dyn WatchHandler>,
}

/// Longest wait for changes in another host's copy. Shorter than most waits on the store, because a host that stopped
/// must be noticed within it.
const CACHE_WATCH_WAIT_MS: DurationMs = DurationMs::new(800);

/// When the store may be called again. During an outage every host finds all copies old; without a growing wait the
/// calls of a fleet would grow with its size just then.
#[derive(Default)]
struct StoreBackoff {
    next_at: Timestamp,
    failures: u32,
}

impl StoreBackoff {
    fn record_failure(&mut self, now: Timestamp) {
        let factor = 1_u64 << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.next_at = now.after(DurationMs::new(INITIAL_STORE_BACKOFF_MS.get() * factor));
        self.failures += 1;
    }
}

/// Wait before the second call on a store that does not answer.
const INITIAL_STORE_BACKOFF_MS: DurationMs = DurationMs::new(200);
/// Doublings of that wait.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// What was reached, and when the store confirmed it.
struct Position {
    version: Version,
    listed_at: Timestamp,
    confirmed_at: Timestamp,
}

impl PrefixWatch {
    /// Follows until the future is dropped.
    pub async fn run(self) {
        let mut confirmed_at = self.clock.now();
        let mut retry = self.options.retry_ms;
        let mut store_backoff = StoreBackoff::default();
        loop {
            match self.list(confirmed_at, &mut store_backoff).await {
                Ok(position) => {
                    if retry > self.options.retry_ms {
                        LogEvent::StoreAvailable
                            .write_fields("a prefix is listed again", &[("prefix", &self.prefix)]);
                    }
                    retry = self.options.retry_ms;
                    confirmed_at = self.watch(position).await;
                }
                Err(reason) => {
                    if retry == self.options.retry_ms {
                        LogEvent::StoreUnavailable
                            .write_fields(&reason, &[("prefix", &self.prefix), ("call", &"list")]);
                    }
                    task::sleep(retry.as_std()).await;
                    retry = DurationMs::new(retry.get() * 2).min(self.options.max_retry_ms);
                }
            }
        }
    }

    /// Lists the prefix and tells the handler what changed.
    async fn list(
        &self,
        confirmed_at: Timestamp,
        store_backoff: &mut StoreBackoff,
    ) -> Result<Position, String> {
        let copy = self
            .source
            .list(self.space, self.prefix, self.options.max_age_ms)
            .await;
        let (listing, age) = match copy {
            Some(copy) => copy,
            None => (self.list_store(store_backoff).await?, DurationMs::new(0)),
        };
        let now = self.clock.now();
        let gap = now.since(confirmed_at).saturating_sub(age);
        let position = Position {
            version: listing.version,
            listed_at: now,
            confirmed_at: Timestamp::new(now.get().saturating_sub(age.get())),
        };
        let changed = self.cache.apply_listing(self.space, self.prefix, &listing, age);
        if changed > 0 || gap >= NOTABLE_GAP_MS {
            self.handler.on_list(listing.objects, gap);
        }
        Ok(position)
    }

    /// Lists the prefix in the store, unless it failed lately.
    async fn list_store(&self, store_backoff: &mut StoreBackoff) -> Result<Listing, String> {
        if self.clock.now() < store_backoff.next_at {
            return Err("no other host has a new copy, and the store did not answer lately".to_owned());
        }
        match self.store.list(self.prefix).await {
            Ok(listing) => {
                *store_backoff = StoreBackoff::default();
                Ok(listing)
            }
            Err(error) => {
                store_backoff.record_failure(self.clock.now());
                Err(error.to_string())
            }
        }
    }

    /// Follows the changes until a listing is due; returns when the store last confirmed what is known.
    async fn watch(&self, mut position: Position) -> Timestamp {
        loop {
            let now = self.clock.now();
            let time_until_relist = self
                .options
                .relist_ms
                .saturating_sub(now.since(position.listed_at));
            if time_until_relist.get() == 0 {
                return position.confirmed_at;
            }
            let copied = self
                .source
                .watch(
                    self.space,
                    self.prefix,
                    position.version,
                    CACHE_WATCH_WAIT_MS,
                    self.options.max_age_ms,
                )
                .await;
            let (changes, age) = match copied {
                CachedChanges::Changes { changes, age_ms } => {
                    // The other host lists for all; a listing here is only due when it cannot be reached.
                    position.listed_at = self.clock.now();
                    (changes, age_ms)
                }
                CachedChanges::Relist => return position.confirmed_at,
                CachedChanges::Stale => match self
                    .watch_store(position.version, self.time_until_next_list(&position))
                    .await
                {
                    Some(changes) => (changes, DurationMs::new(0)),
                    None => return position.confirmed_at,
                },
            };
            position.version = changes.version;
            position.confirmed_at = Timestamp::new(self.clock.now().get().saturating_sub(age.get()));
            self.cache.apply_changes(self.space, self.prefix, &changes, age);
            for change in changes.changes {
                self.handler.on_change(change);
            }
        }
    }

    /// Time until the next listing when no copy is new enough.
    fn time_until_next_list(&self, position: &Position) -> DurationMs {
        let now = self.clock.now();
        let listed_ms = now.since(position.listed_at);
        let confirmed_ms = now.since(position.confirmed_at);
        time_until_relist(&self.options, listed_ms, confirmed_ms)
    }

    /// Changes from the store itself; none when a listing is needed.
    async fn watch_store(&self, after: Version, time_until_relist: DurationMs) -> Option<Changes> {
        let wait = self.options.watch_ms.min(time_until_relist);
        if wait.get() == 0 {
            task::sleep(time_until_relist.as_std()).await;
            return None;
        }
        match self.store.watch(self.prefix, after, wait).await {
            Ok(changes) => Some(changes),
            Err(WatchError::Relist { .. }) => None,
            Err(error) => {
                let reason = error.to_string();
                LogEvent::StoreUnavailable
                    .write_fields(&reason, &[("prefix", &self.prefix), ("call", &"watch")]);
                None
            }
        }
    }
}

/// Time until the next listing of a host whose source has no new copy. `listed` is the time since it last heard of its source,
/// `confirmed` the time since the store last confirmed what it knows. What a copy said may have been old already when its
/// host stopped, so the second one counts; a moment is left for the other hosts to agree on the next reader.
pub fn time_until_relist(options: &WatchOptions, listed: DurationMs, confirmed: DurationMs) -> DurationMs {
    let by_listing = options.relist_ms.saturating_sub(listed);
    let by_age = options
        .relist_ms
        .saturating_sub(confirmed)
        .max(READER_ELECTION_MS);
    by_listing.min(by_age)
}

/// Time in which the hosts agree on the next reader.
const READER_ELECTION_MS: DurationMs = DurationMs::new(150);

/// Time without a confirmation that followers hear of even when nothing changed.
const NOTABLE_GAP_MS: DurationMs = DurationMs::new(1_000);
