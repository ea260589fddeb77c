//! Keeps up with all objects below a prefix: a listing, then watches, and a new listing whenever there may be a gap.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_std::task;
use jm_platform::{Change, KeyedObject, ObjectStore, Version, WatchError};
use jm_types::{Clock, DurationMs, LogEvent, Timestamp};

/// Settings of a follower.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
    /// Longest wait of one watch. It also bounds how long a connection that went silent goes unnoticed.
    pub watch_ms: DurationMs,
    /// First wait after a call failed; doubles up to the largest one.
    pub retry_ms: DurationMs,
    /// Largest wait after a call failed.
    pub max_retry_ms: DurationMs,
}

/// Receives what is followed.
pub trait Follower: Send + Sync {
    /// All objects, as of one version of the store. `gap` tells how long the store did not answer before.
    fn listed(&self, objects: Vec<KeyedObject>, gap: DurationMs);

    /// One change after the listing.
    fn changed(&self, change: Change);
}

/// When the store last answered this host.
#[derive(Debug, Default)]
pub struct StoreContact {
    answered_at_ms: AtomicU64,
}

impl StoreContact {
    /// The store answered.
    pub fn answered(&self, now: Timestamp) {
        self.answered_at_ms.fetch_max(now.get(), Ordering::Relaxed);
    }

    /// When it last did.
    pub fn answered_at(&self) -> Timestamp {
        Timestamp::new(self.answered_at_ms.load(Ordering::Relaxed))
    }
}

/// Follows a prefix until the future is dropped.
pub async fn follow(
    store: Arc<dyn ObjectStore>,
    prefix: &'static str,
    options: FollowOptions,
    clock: Arc<dyn Clock>,
    contact: Arc<StoreContact>,
    follower: Arc<dyn Follower>,
) {
    let mut last_answer = clock.now();
    let mut retry = options.retry_ms;
    loop {
        match store.list(prefix).await {
            Ok(listing) => {
                let now = clock.now();
                let gap = now.since(last_answer);
                if retry > options.retry_ms {
                    LogEvent::StoreAvailable.write(format_args!("{prefix} listed again after {gap}"));
                }
                last_answer = now;
                contact.answered(now);
                retry = options.retry_ms;
                follower.listed(listing.objects, gap);
                last_answer = watch(
                    &*store,
                    prefix,
                    listing.version,
                    options,
                    &*clock,
                    &contact,
                    &*follower,
                )
                .await
                .max(last_answer);
            }
            Err(error) => {
                if retry == options.retry_ms {
                    LogEvent::StoreUnavailable.write(format_args!("{prefix} cannot be listed: {error}"));
                }
                task::sleep(retry.as_std()).await;
                retry = DurationMs::new(retry.get() * 2).min(options.max_retry_ms);
            }
        }
    }
}

/// Watches until a listing is needed; returns when the store last answered.
async fn watch(
    store: &dyn ObjectStore,
    prefix: &str,
    mut after: Version,
    options: FollowOptions,
    clock: &dyn Clock,
    contact: &StoreContact,
    follower: &dyn Follower,
) -> Timestamp {
    let mut last_answer = clock.now();
    loop {
        match store.watch(prefix, after, options.watch_ms).await {
            Ok(changes) => {
                last_answer = clock.now();
                contact.answered(last_answer);
                after = changes.version;
                for change in changes.changes {
                    follower.changed(change);
                }
            }
            Err(error) => {
                if let WatchError::Watch { source } = &error {
                    LogEvent::StoreUnavailable.write(format_args!("the watch of {prefix} ended: {source}"));
                }
                return last_answer;
            }
        }
    }
}
