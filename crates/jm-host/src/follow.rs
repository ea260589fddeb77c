//! Keeps up with all objects below a prefix, through another host's copy or in the store itself.

use std::sync::Arc;

use async_std::task;
use async_trait::async_trait;
use jm_platform::{Change, Changes, KeyedObject, Listing, ObjectStore, Version, WatchError};
use jm_types::{Clock, DurationMs, LogEvent, Timestamp};

use crate::{Mirror, MirrorChanges, ObjectSpace};

/// Settings of a follower.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
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
pub trait Follower: Send + Sync {
    /// All objects, as of one version of the store. `gap` tells how long the store had not confirmed any before.
    fn listed(&self, objects: Vec<KeyedObject>, gap: DurationMs);

    /// One change after the listing.
    fn changed(&self, change: Change);
}

/// Another host's copy of the store.
#[async_trait]
pub trait CopySource: Send + Sync {
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
    ) -> MirrorChanges;
}

/// What one follower works with.
pub struct FollowTask {
    /// The store.
    pub store: Arc<dyn ObjectStore>,
    /// Which objects the store holds.
    pub space: ObjectSpace,
    /// The prefix.
    pub prefix: &'static str,
    /// Settings.
    pub options: FollowOptions,
    /// The boot clock.
    pub clock: Arc<dyn Clock>,
    /// Where this host keeps its own copy.
    pub mirror: Arc<Mirror>,
    /// The copy of another host.
    pub source: Arc<dyn CopySource>,
    /// Receives the objects.
    pub follower: Arc<dyn Follower>,
}

/// Longest wait for changes in another host's copy. Shorter than most waits on the store, because a host that stopped
/// must be noticed within it.
const COPY_WAIT_MS: DurationMs = DurationMs::new(800);

/// When the store may be called again. During an outage every host finds all copies old; without a growing wait the
/// calls of a fleet would grow with its size just then.
#[derive(Default)]
struct StoreCalls {
    next_at: Timestamp,
    failures: u32,
}

impl StoreCalls {
    fn failed(&mut self, now: Timestamp) {
        let factor = 1_u64 << self.failures.min(MAX_DOUBLINGS);
        self.next_at = now.after(DurationMs::new(FIRST_STORE_WAIT_MS.get() * factor));
        self.failures += 1;
    }
}

/// Wait before the second call on a store that does not answer.
const FIRST_STORE_WAIT_MS: DurationMs = DurationMs::new(200);
/// Doublings of that wait.
const MAX_DOUBLINGS: u32 = 3;

/// What was reached, and when the store confirmed it.
struct Position {
    version: Version,
    listed_at: Timestamp,
    confirmed_at: Timestamp,
}

impl FollowTask {
    /// Follows until the future is dropped.
    pub async fn run(self) {
        let mut confirmed_at = self.clock.now();
        let mut retry = self.options.retry_ms;
        let mut store_calls = StoreCalls::default();
        loop {
            match self.list(confirmed_at, &mut store_calls).await {
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

    /// Lists the prefix and tells the follower what changed.
    async fn list(&self, confirmed_at: Timestamp, store_calls: &mut StoreCalls) -> Result<Position, String> {
        let copy = self
            .source
            .list(self.space, self.prefix, self.options.max_age_ms)
            .await;
        let (listing, age) = match copy {
            Some(copy) => copy,
            None => (self.list_store(store_calls).await?, DurationMs::new(0)),
        };
        let now = self.clock.now();
        let gap = now.since(confirmed_at).saturating_sub(age);
        let position = Position {
            version: listing.version,
            listed_at: now,
            confirmed_at: Timestamp::new(now.get().saturating_sub(age.get())),
        };
        let changed = self.mirror.list(self.space, self.prefix, &listing, age);
        if changed > 0 || gap >= NOTABLE_GAP_MS {
            self.follower.listed(listing.objects, gap);
        }
        Ok(position)
    }

    /// Lists the prefix in the store, unless it failed lately.
    async fn list_store(&self, store_calls: &mut StoreCalls) -> Result<Listing, String> {
        if self.clock.now() < store_calls.next_at {
            return Err("no other host has a new copy, and the store did not answer lately".to_owned());
        }
        match self.store.list(self.prefix).await {
            Ok(listing) => {
                *store_calls = StoreCalls::default();
                Ok(listing)
            }
            Err(error) => {
                store_calls.failed(self.clock.now());
                Err(error.to_string())
            }
        }
    }

    /// Follows the changes until a listing is due; returns when the store last confirmed what is known.
    async fn watch(&self, mut position: Position) -> Timestamp {
        loop {
            let now = self.clock.now();
            let until_listing = self
                .options
                .relist_ms
                .saturating_sub(now.since(position.listed_at));
            if until_listing.get() == 0 {
                return position.confirmed_at;
            }
            let copied = self
                .source
                .watch(
                    self.space,
                    self.prefix,
                    position.version,
                    COPY_WAIT_MS,
                    self.options.max_age_ms,
                )
                .await;
            let (changes, age) = match copied {
                MirrorChanges::Changes { changes, age_ms } => {
                    // The other host lists for all; a listing here is only due when it cannot be reached.
                    position.listed_at = self.clock.now();
                    (changes, age_ms)
                }
                MirrorChanges::Relist => return position.confirmed_at,
                MirrorChanges::Stale => match self
                    .watch_store(position.version, self.until_stale(&position))
                    .await
                {
                    Some(changes) => (changes, DurationMs::new(0)),
                    None => return position.confirmed_at,
                },
            };
            position.version = changes.version;
            position.confirmed_at = Timestamp::new(self.clock.now().get().saturating_sub(age.get()));
            self.mirror.change(self.space, self.prefix, &changes, age);
            for change in changes.changes {
                self.follower.changed(change);
            }
        }
    }

    /// Time until the next listing when no copy is new enough.
    fn until_stale(&self, position: &Position) -> DurationMs {
        let now = self.clock.now();
        let listed_ms = now.since(position.listed_at);
        let confirmed_ms = now.since(position.confirmed_at);
        until_listing(&self.options, listed_ms, confirmed_ms)
    }

    /// Changes from the store itself; none when a listing is needed.
    async fn watch_store(&self, after: Version, until_listing: DurationMs) -> Option<Changes> {
        let wait = self.options.watch_ms.min(until_listing);
        if wait.get() == 0 {
            task::sleep(until_listing.as_std()).await;
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
pub fn until_listing(options: &FollowOptions, listed: DurationMs, confirmed: DurationMs) -> DurationMs {
    let by_listing = options.relist_ms.saturating_sub(listed);
    let by_age = options.relist_ms.saturating_sub(confirmed).max(NEXT_READER_MS);
    by_listing.min(by_age)
}

/// Time in which the hosts agree on the next reader.
const NEXT_READER_MS: DurationMs = DurationMs::new(150);

/// Time without a confirmation that followers hear of even when nothing changed.
const NOTABLE_GAP_MS: DurationMs = DurationMs::new(1_000);
