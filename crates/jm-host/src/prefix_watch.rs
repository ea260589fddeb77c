//! Lists and watches all objects below a prefix, in another host's cache or in the store itself.

use std::sync::Arc;

use async_std::task;
use async_trait::async_trait;
use futures::future::{Either, select};
use jm_platform::{Change, Changes, Listing, ObjectStore, ReadError, Version, WatchError};
use jm_types::{Clock, DurationMs, LogEvent, Timestamp};

use crate::{CachedChanges, ListingRequests, ObjectSpace, StoreCache, late_answer::with_pause};

/// Intervals and limits of one prefix watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchOptions {
    /// Maximum duration of one watch call. It also bounds the time to detect a silent connection. Zero disables
    /// watches and polls with listings, which are not affected by lost watch events.
    pub watch_ms: DurationMs,
    /// Interval at which the prefix is listed again even while watches succeed.
    pub relist_ms: DurationMs,
    /// Maximum accepted age of another host's cached data.
    pub max_age_ms: DurationMs,
    /// Initial backoff after a failed listing; doubles up to `max_retry_ms`.
    pub retry_ms: DurationMs,
    /// Maximum backoff after a failed listing.
    pub max_retry_ms: DurationMs,
    /// Whether the first listing may be another host's cached data of any age if the store does not answer.
    pub starts_at_any_age: bool,
}

/// Receives the objects of a watched prefix.
pub trait WatchHandler: Send + Sync {
    /// Receives all objects as of one version of the store, which is never older than the version of the previous call of
    /// either method. `gap` is the time for which the store had not confirmed the previous state.
    fn on_list(&self, listing: Listing, gap: DurationMs);

    /// Receives one change after the last listing. `version` is the store version up to which the changes were read. The
    /// version in `change` may be older if the object was deleted, and also if a listing revealed the change.
    fn on_change(&self, change: Change, version: Version);
}

/// Access to another host's cache of the store.
#[async_trait]
pub trait CacheSource: Send + Sync {
    /// Returns a listing with its age, or `None` when this host has to read the store itself: it is the store reader,
    /// or the other host has no data within `max_age`.
    async fn list(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)>;

    /// Returns the newest listing that other hosts have, with its age, or `None` when none of them answers with one.
    async fn list_at_any_age(&self, space: ObjectSpace, prefix: &str) -> Option<(Listing, DurationMs)>;

    /// Returns the changes after a version, waiting up to `wait` for the first one.
    async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> CachedChanges;
}

/// Watch of one prefix, with the handler that receives its objects.
pub struct PrefixWatch {
    /// Store to read when no peer has recent data.
    pub store: Arc<dyn ObjectStore>,
    /// Whether `store` holds the product's or the platform's objects.
    pub space: ObjectSpace,
    /// Prefix of the keys to watch.
    pub prefix: &'static str,
    /// Intervals and limits.
    pub options: WatchOptions,
    /// Monotonic clock that measures ages and intervals.
    pub clock: Arc<dyn Clock>,
    /// This host's own cache, updated with every listing and change.
    pub cache: Arc<StoreCache>,
    /// Cache of the peer that this host reads from.
    pub source: Arc<dyn CacheSource>,
    /// Receives listings and changes.
    pub handler: Arc<dyn WatchHandler>,
    /// Requests for listings of the store that start at once.
    pub requests: Arc<ListingRequests>,
}

/// Maximum wait for changes in another host's cache. It is shorter than most waits on the store, because it bounds
/// the time to detect that the other host stopped.
const CACHE_WATCH_WAIT_MS: DurationMs = DurationMs::new(800);

/// Exponential backoff of store listings. During an outage all caches are stale and every host falls back to the
/// store. Without a backoff the store would receive a number of calls proportional to the number of hosts.
#[derive(Default)]
struct StoreBackoff {
    next_at: Timestamp,
    failures: u32,
}

impl StoreBackoff {
    /// Starts the backoff after a failed listing, which lasts at least `min_backoff`.
    fn record_failure(&mut self, now: Timestamp, min_backoff: DurationMs) {
        let factor = 1_u64 << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = DurationMs::new(INITIAL_STORE_BACKOFF_MS.get() * factor);
        self.next_at = now.after(backoff.max(min_backoff));
        self.failures += 1;
    }
}

/// Minimum backoff after a listing that failed with `error` after `took`. A store that answers in a faulty way receives many calls
/// before a listing fails late. One that does not answer receives few, and `took` is then mostly the time limits of the calls.
fn min_backoff(error: &ReadError, took: DurationMs) -> DurationMs {
    match error {
        ReadError::FaultyListing { .. } => took,
        _ => DurationMs::new(0),
    }
}

/// Minimum interval of requested listings. The store limits the rate of all reads.
const REQUEST_INTERVAL_MS: DurationMs = DurationMs::new(250);

/// Backoff after the first failed store listing.
const INITIAL_STORE_BACKOFF_MS: DurationMs = DurationMs::new(200);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Version that the watch has reached, with the times of the last listing and of the last confirmation by the store.
struct Position {
    version: Version,
    listed_at: Timestamp,
    confirmed_at: Timestamp,
}

impl PrefixWatch {
    /// Watches the prefix until the future is dropped.
    pub async fn run(self) {
        let mut confirmed_at = self.clock.now();
        let mut retry = self.options.retry_ms;
        let mut store_backoff = StoreBackoff::default();
        let mut is_first = true;
        // Number of the listing if it was requested.
        let mut requested = None;
        let mut requested_at = Timestamp::default();
        loop {
            let listed = self.list(confirmed_at, is_first, requested.is_some(), &mut store_backoff);
            let listed = listed.await;
            if let Some(number) = requested.take() {
                self.requests.finish(number, listed.is_ok());
            }
            match listed {
                Ok(position) => {
                    is_first = false;
                    if retry > self.options.retry_ms {
                        LogEvent::StoreAvailable
                            .write_fields("listing the prefix succeeded again", &[("prefix", &self.prefix)]);
                    }
                    retry = self.options.retry_ms;
                    (confirmed_at, requested) = self.watch_until_request(position, &mut requested_at).await;
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

    /// Watches until a listing is due or requested. Returns the time at which the store last confirmed the state, and the number
    /// of the listing if it was requested.
    async fn watch_until_request(
        &self,
        position: Position,
        requested_at: &mut Timestamp,
    ) -> (Timestamp, Option<u64>) {
        let confirmed_at = position.confirmed_at;
        let watched = std::pin::pin!(self.watch(position));
        let request = std::pin::pin!(self.next_request(requested_at));
        match select(watched, request).await {
            Either::Left((confirmed_at, _)) => (confirmed_at, None),
            Either::Right((number, _)) => (self.last_confirmation(confirmed_at), Some(number)),
        }
    }

    /// Waits for the end of the interval since the last request and for the next one, and returns the number of the listing.
    async fn next_request(&self, requested_at: &mut Timestamp) -> u64 {
        let next_at = requested_at.after(REQUEST_INTERVAL_MS);
        task::sleep(next_at.since(self.clock.now()).as_std()).await;
        self.requests.requested().await;
        *requested_at = self.clock.now();
        self.requests.start()
    }

    /// Time at which the store last confirmed the cached objects, at least `earlier`.
    fn last_confirmation(&self, earlier: Timestamp) -> Timestamp {
        let age_ms = self
            .cache
            .age(self.space, self.prefix)
            .unwrap_or(DurationMs::new(u64::MAX));
        let confirmed_ms = self.clock.now().get().saturating_sub(age_ms.get());
        Timestamp::new(confirmed_ms).max(earlier)
    }

    /// Lists the prefix, and passes the listing to the handler when it is the first one, contains changes or follows a
    /// notable gap. A listing that is older than the cached state and differs from it is dropped: the host read it from a
    /// peer that lags behind. If it does not differ, the host follows the peer from the older version on, because a prefix
    /// without changes may keep its version for long.
    async fn list(
        &self,
        confirmed_at: Timestamp,
        is_first: bool,
        is_requested: bool,
        store_backoff: &mut StoreBackoff,
    ) -> Result<Position, String> {
        let (listing, age) = self.read_listing(is_first, is_requested, store_backoff).await?;
        let now = self.clock.now();
        let newest = self.cache.version(self.space, self.prefix);
        let is_lagging = listing.version < newest;
        if is_lagging && !self.cache.has_same_objects(self.space, self.prefix, &listing) {
            return Ok(Position {
                version: newest,
                listed_at: now,
                confirmed_at,
            });
        }
        let gap = now.since(confirmed_at).saturating_sub(age);
        let position = Position {
            version: listing.version,
            listed_at: now,
            confirmed_at: Timestamp::new(now.get().saturating_sub(age.get())),
        };
        let changed = self.cache.apply_listing(self.space, self.prefix, &listing, age);
        if is_first || changed > 0 || gap >= NOTABLE_GAP_MS {
            self.handler.on_list(listing, gap);
        }
        Ok(position)
    }

    /// Reads a listing from another host's cache, or from the store if none has recent data or if the listing was requested, and
    /// returns it with its age.
    async fn read_listing(
        &self,
        is_first: bool,
        is_requested: bool,
        store_backoff: &mut StoreBackoff,
    ) -> Result<(Listing, DurationMs), String> {
        if !is_requested {
            let cached = self.source.list(self.space, self.prefix, self.options.max_age_ms);
            let (cached, waited) = with_pause(&*self.clock, cached).await;
            if let Some((listing, age)) = cached {
                return Ok((listing, age.saturating_add(waited)));
            }
        }
        let (listed, waited) = with_pause(&*self.clock, self.list_store(store_backoff)).await;
        match listed {
            Ok(listing) => Ok((listing, waited)),
            Err(reason) if is_first && self.options.starts_at_any_age => {
                let any = self.source.list_at_any_age(self.space, self.prefix).await;
                any.ok_or(reason)
            }
            Err(reason) => Err(reason),
        }
    }

    /// Lists the prefix in the store, unless the backoff after a failure is not over yet.
    async fn list_store(&self, store_backoff: &mut StoreBackoff) -> Result<Listing, String> {
        if self.clock.now() < store_backoff.next_at {
            return Err(
                "no peer has recent data, and the store is not called during the backoff after a failure"
                    .to_owned(),
            );
        }
        let started = self.clock.now();
        match self.store.list(self.prefix).await {
            Ok(listing) => {
                *store_backoff = StoreBackoff::default();
                Ok(listing)
            }
            Err(error) => {
                let now = self.clock.now();
                store_backoff.record_failure(now, min_backoff(&error, now.since(started)));
                Err(error.to_string())
            }
        }
    }

    /// Watches for changes until a listing is due. Returns the time at which the store last confirmed the state.
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
            let cached = self.source.watch(
                self.space,
                self.prefix,
                position.version,
                CACHE_WATCH_WAIT_MS,
                self.options.max_age_ms,
            );
            let (cached, waited) = with_pause(&*self.clock, cached).await;
            let (changes, age) = match cached {
                CachedChanges::Changes { changes, age_ms } => {
                    // The other host performs the periodic listing. This host lists only when the other host is
                    // unreachable.
                    position.listed_at = self.clock.now();
                    (changes, age_ms.saturating_add(waited))
                }
                CachedChanges::Relist => return position.confirmed_at,
                CachedChanges::Stale => match self
                    .watch_store(position.version, self.time_until_next_list(&position))
                    .await
                {
                    Some(changes) => changes,
                    None => {
                        self.pause_since(position.listed_at).await;
                        return position.confirmed_at;
                    }
                },
            };
            if changes.version < position.version {
                // A lagging replica of the store may answer at once, so the next listing follows after a pause.
                task::sleep(self.options.retry_ms.as_std()).await;
                return position.confirmed_at;
            }
            position.version = changes.version;
            position.confirmed_at = Timestamp::new(self.clock.now().get().saturating_sub(age.get()));
            self.cache.apply_changes(self.space, self.prefix, &changes, age);
            for change in changes.changes {
                self.handler.on_change(change, position.version);
            }
        }
    }

    /// Waits until the time `retry_ms` after `earlier`, so that a store which answers at once is not called without a pause.
    async fn pause_since(&self, earlier: Timestamp) {
        let passed = self.clock.now().since(earlier);
        task::sleep(self.options.retry_ms.saturating_sub(passed).as_std()).await;
    }

    /// Time until the next listing when no peer has recent data.
    fn time_until_next_list(&self, position: &Position) -> DurationMs {
        let now = self.clock.now();
        let listed_ms = now.since(position.listed_at);
        let confirmed_ms = now.since(position.confirmed_at);
        time_until_relist(&self.options, listed_ms, confirmed_ms)
    }

    /// Returns changes from the store itself with their age, or `None` when a listing is needed.
    async fn watch_store(
        &self,
        after: Version,
        time_until_relist: DurationMs,
    ) -> Option<(Changes, DurationMs)> {
        let wait = self.options.watch_ms.min(time_until_relist);
        if wait.get() == 0 {
            task::sleep(time_until_relist.as_std()).await;
            return None;
        }
        let started = self.clock.now();
        let (watched, waited) = with_pause(&*self.clock, self.store.watch(self.prefix, after, wait)).await;
        match watched {
            Ok(changes) => {
                if changes.changes.is_empty() && self.clock.now().since(started) < wait {
                    // A store that does not wait for changes would be called without a pause.
                    self.pause_since(started).await;
                }
                Some((changes, waited))
            }
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

/// Time until the next listing of a host whose cache source has no recent data. `listed` is the time since the last
/// answer of the source, `confirmed` the time since the store last confirmed the state.
///
/// The source's data may already have been old when the source stopped, so `confirmed` counts as well. It never makes
/// the wait shorter than the time that the hosts need to elect the next reader.
pub fn time_until_relist(options: &WatchOptions, listed: DurationMs, confirmed: DurationMs) -> DurationMs {
    let by_listing = options.relist_ms.saturating_sub(listed);
    let by_age = options
        .relist_ms
        .saturating_sub(confirmed)
        .max(READER_ELECTION_MS);
    by_listing.min(by_age)
}

/// Time in which the hosts elect the next store reader.
const READER_ELECTION_MS: DurationMs = DurationMs::new(150);

/// Gap in confirmations from which the handler receives a listing even when nothing changed.
const NOTABLE_GAP_MS: DurationMs = DurationMs::new(1_000);
