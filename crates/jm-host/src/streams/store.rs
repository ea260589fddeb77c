//! Reads and writes the objects about streams. Resumptions share listings.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use async_std::task;
use async_trait::async_trait;
use futures::lock::Mutex;
use indexmap::IndexMap;
use jm_batch::MembershipView;
use jm_forward::{Origin, OriginSource, StoredOrigins, StreamKey, StreamRegistry, Streams, VersionsInUse};
use jm_platform::{Condition, Listing, Object, ObjectError, ObjectStore, Version};
use jm_types::{Clock, DurationMs, LogEvent, ServiceId, Timestamp};
use rand::Rng;

use super::{StreamRecord, flush_interval, listing_interval, stored_origins};
use crate::{
    ListingRequests, StoreCache,
    membership::Membership,
    peer::{ObjectSpace, PeerClient, PeerReply, PeerRequest},
};

/// Prefix of all objects about streams. One listing of it reads them at one revision of the store.
const STREAM_PREFIX: &str = "stream/";
/// Object with the versions in use.
const VERSIONS_KEY: &str = "stream/versions";
/// Time that a write of origins takes in addition to its interval.
const WRITE_MS: DurationMs = DurationMs::new(150);
/// Maximum number of hosts in a fleet whose hosts ask each other, and the store for the targets, when a stream is resumed. In a larger one
/// too many calls would follow a lost target.
const MAX_ASKED_HOSTS: usize = 32;
/// Maximum number of resumptions for which a host asks the others at the same time.
const MAX_ASKING: usize = 32;
/// Time within which the hosts of a fleet store the version of a first stream, for each host, so that a few do it for all.
const SPREAD_MS_PER_HOST: u64 = 1;
/// Time from one try to store versions for a stream to the next, while the store does not answer. The keeper goes on to try.
const STORE_RETRY_MS: DurationMs = DurationMs::new(5_000);
/// Time for which a host waits for the others.
const ASK_TIMEOUT_MS: DurationMs = DurationMs::new(300);
/// Time after the last origin of an object expired until the object is deleted. Clocks of hosts may differ by less.
const RECORD_MARGIN_MS: u64 = 60_000;

/// The objects about streams in the store of the product.
pub(crate) struct StreamStore {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) registry: Arc<StreamRegistry>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) clock: Arc<dyn Clock>,
    targets: CachedTargets,
    /// Number of listings that were started.
    started: AtomicU64,
    reads: Mutex<Reads>,
    written: Mutex<Condition>,
    /// Resumptions for which the other hosts are being asked.
    asking: AtomicUsize,
    /// Held while versions are stored for a stream: the time before which it is not tried again.
    store_again_at: Mutex<Timestamp>,
}

/// The cached listing of the targets.
pub(crate) struct CachedTargets {
    pub(crate) cache: Arc<StoreCache>,
    /// Prefix of the keys of targets.
    pub(crate) prefix: &'static str,
    /// Requests for a new listing.
    pub(crate) requests: Arc<ListingRequests>,
}

/// Result of the last listing.
#[derive(Default)]
struct Reads {
    /// Number of the listing.
    number: u64,
    is_complete: bool,
    started_at: Timestamp,
    versions: Option<(Version, VersionsInUse)>,
    records: IndexMap<String, ReadRecord>,
}

#[derive(Clone)]
struct ReadRecord {
    version: Version,
    origins: Arc<StoredOrigins>,
    until_unix_ms: u64,
}

impl StreamStore {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        peers: Arc<PeerClient>,
        membership: Arc<Membership>,
        clock: Arc<dyn Clock>,
        targets: CachedTargets,
    ) -> Self {
        Self {
            store,
            registry: Arc::new(StreamRegistry::new(Arc::clone(&clock))),
            peers,
            membership,
            clock,
            targets,
            started: AtomicU64::new(0),
            reads: Mutex::default(),
            written: Mutex::new(Condition::Absent),
            asking: AtomicUsize::new(0),
            store_again_at: Mutex::default(),
        }
    }

    /// What the requests of the host use.
    pub(crate) fn streams(store: &Arc<Self>) -> Streams {
        Streams {
            registry: Arc::clone(&store.registry),
            source: Arc::clone(store) as _,
        }
    }

    async fn ask_hosts(&self, key: StreamKey) -> Option<Option<Origin>> {
        let request = PeerRequest::StreamOrigin { key: key.to_string() };
        let replies = self.peers.call_all(&request, ASK_TIMEOUT_MS).await;
        let recorded: Vec<Option<Origin>> = replies
            .into_iter()
            .filter_map(|reply| match reply {
                PeerReply::StreamOrigin {
                    is_known: true,
                    origin,
                } => Some(origin),
                _ => None,
            })
            .collect();
        let first = recorded.first()?.clone();
        let all_agree = recorded.iter().all(|other| *other == first);
        Some(first.filter(|_| all_agree))
    }

    /// Number of live hosts, with this one.
    pub(crate) fn hosts(&self) -> usize {
        self.membership.live().len().max(1)
    }

    /// The versions in use that the last listing contained, and the condition under which they may be replaced.
    pub(crate) async fn stored_versions(&self) -> (VersionsInUse, Condition) {
        match &self.reads.lock().await.versions {
            Some((version, versions)) => (versions.clone(), Condition::Version(*version)),
            None => (VersionsInUse::default(), Condition::Absent),
        }
    }

    /// Lists, and adds the versions that the store does not hold. Returns whether it holds all of them then.
    pub(crate) async fn add_versions(&self, versions: &VersionsInUse) -> bool {
        if !self.refresh().await {
            return false;
        }
        let (stored, condition) = self.stored_versions().await;
        if stored.covers(versions) {
            return true;
        }
        if self.write_versions(&stored.union(versions), condition).await {
            log_versions(
                versions.iter().filter(|origin| !stored.contains(origin)),
                "in use",
            );
            return true;
        }
        // Another host may have been faster.
        self.stored_versions().await.0.covers(versions)
    }

    /// Requests for listings of the targets.
    pub(crate) fn listing_requests(&self) -> Arc<ListingRequests> {
        Arc::clone(&self.targets.requests)
    }

    fn knows_as_stored(&self, versions: &VersionsInUse) -> bool {
        versions.iter().all(|origin| self.registry.is_in_use(&origin))
    }

    /// Replaces the versions in use under the condition of the read from which `versions` was made, and lists again. A resumption
    /// may have listed since, so the condition of the last listing would overwrite what other hosts stored in between.
    pub(crate) async fn write_versions(&self, versions: &VersionsInUse, condition: Condition) -> bool {
        let value = match serde_json::to_vec(versions) {
            Ok(value) => value,
            Err(error) => {
                LogEvent::StoreUnavailable
                    .write(format_args!("the software versions cannot be encoded: {error}"));
                return false;
            }
        };
        let result = self.store.put(VERSIONS_KEY, value, condition).await;
        if let Err(error) = &result {
            LogEvent::StoreUnavailable.write(format_args!(
                "the software versions in use were not stored: {error}"
            ));
        }
        self.refresh().await && result.is_ok()
    }

    /// Stores the origins of this host in services with several versions.
    pub(crate) async fn write_origins(&self, mixed: &BTreeSet<ServiceId>, unix_ms: u64) -> bool {
        let limit = stored_origins(self.hosts());
        let (origins, last) = self
            .registry
            .own_origins(limit, |service| mixed.contains(service));
        let until_unix_ms = unix_ms.saturating_add(last.since(self.clock.now()).get());
        let value = match serde_json::to_vec(&StreamRecord::new(&origins, until_unix_ms)) {
            Ok(value) => value,
            Err(error) => {
                LogEvent::StoreUnavailable
                    .write(format_args!("the origins of streams cannot be encoded: {error}"));
                return false;
            }
        };
        let mut condition = self.written.lock().await;
        match self.store.put(&self.own_key(), value, *condition).await {
            Ok(version) => {
                *condition = Condition::Version(version);
                true
            }
            Err(error) => {
                // Only this process writes the object, so another version is that of an earlier write of it whose
                // response was lost, or the object was deleted.
                if let ObjectError::Conflict { current } = error {
                    *condition = current.map_or(Condition::Absent, Condition::Version);
                }
                LogEvent::StoreUnavailable
                    .write(format_args!("the origins of streams were not stored: {error}"));
                false
            }
        }
    }

    /// Deletes the objects of processes whose last origin expired long ago.
    pub(crate) async fn delete_expired(&self, unix_ms: u64) {
        if !self.refresh().await {
            return;
        }
        let records = self.reads.lock().await.records.clone();
        let expired = records
            .iter()
            .filter(|(_, record)| record.until_unix_ms.saturating_add(RECORD_MARGIN_MS) < unix_ms);
        for (key, record) in expired {
            let condition = Condition::Version(record.version);
            if let Err(error) = self.store.delete(key, condition).await {
                LogEvent::UpkeepFailed.write(format_args!("{key} cannot be removed: {error}"));
            }
        }
    }

    fn own_key(&self) -> String {
        let (id, incarnation) = (self.membership.own_id(), self.membership.incarnation());
        format!("{STREAM_PREFIX}{id}.{incarnation}")
    }
}

impl Reads {
    /// Applies a listing. Returns whether the versions in use could be read.
    fn apply(&mut self, listing: Listing) -> bool {
        let before = std::mem::take(&mut self.records);
        let mut is_complete = true;
        self.versions = None;
        for listed in listing.objects {
            if listed.key == VERSIONS_KEY {
                match serde_json::from_slice(&listed.object.value) {
                    Ok(versions) => self.versions = Some((listed.object.version, versions)),
                    Err(error) => {
                        is_complete = false;
                        log_unreadable(&listed.key, &error);
                    }
                }
                continue;
            }
            let unchanged = before.get(&listed.key);
            let unchanged = unchanged.filter(|record| record.version == listed.object.version);
            let record = unchanged
                .cloned()
                .or_else(|| read_record(&listed.key, &listed.object));
            if let Some(record) = record {
                self.records.insert(listed.key, record);
            }
        }
        is_complete
    }
}

/// An object that cannot be read hides only its own streams, whose resumptions are refused.
fn read_record(key: &str, object: &Object) -> Option<ReadRecord> {
    match StreamRecord::decode(&object.value) {
        Ok((origins, until_unix_ms)) => Some(ReadRecord {
            version: object.version,
            origins: Arc::new(origins),
            until_unix_ms,
        }),
        Err(error) => {
            log_unreadable(key, &error);
            None
        }
    }
}

fn log_unreadable(key: &str, error: &dyn std::error::Error) {
    LogEvent::ConfigUnreadable.write(format_args!("{key} cannot be read: {error}"));
}

/// Counts a resumption for which the other hosts are being asked, until it is dropped.
struct Asking<'a>(&'a AtomicUsize);

impl<'a> Asking<'a> {
    fn start(count: &'a AtomicUsize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::SeqCst);
        let asking = Self(count);
        (before < MAX_ASKING).then_some(asking)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Logs a change of the versions in use.
pub(super) fn log_versions(origins: impl Iterator<Item = Origin>, change: &str) {
    for origin in origins {
        let software = origin.software.as_ref().map_or("", |software| software.as_str());
        LogEvent::SoftwareVersionsChanged.write_fields(
            "the software versions in use have changed",
            &[
                ("service", &origin.service.as_str()),
                ("software", &software),
                ("change", &change),
            ],
        );
    }
}

#[async_trait]
impl OriginSource for StreamStore {
    async fn store_versions(&self, versions: &VersionsInUse) -> bool {
        let mut again_at = self.store_again_at.lock().await;
        if self.knows_as_stored(versions) {
            return true;
        }
        if self.clock.now() < *again_at {
            return false;
        }
        // Set before the calls, because a stream that has waited long enough drops them.
        *again_at = self.clock.now().after(STORE_RETRY_MS);
        let spread_ms = rand::rng().random_range(0..self.hosts() as u64 * SPREAD_MS_PER_HOST);
        task::sleep(DurationMs::new(spread_ms).as_std()).await;
        let is_stored = self.add_versions(versions).await;
        if is_stored {
            *again_at = self.clock.now();
        }
        is_stored
    }

    async fn ask(&self, key: StreamKey) -> Option<Option<Origin>> {
        if self.hosts() > MAX_ASKED_HOSTS {
            return None;
        }
        let _asking = Asking::start(&self.asking)?;
        self.ask_hosts(key).await
    }

    async fn refresh(&self) -> bool {
        let before = self.started.load(Ordering::SeqCst);
        let mut reads = self.reads.lock().await;
        if reads.number > before {
            return reads.is_complete;
        }
        let next_at = reads.started_at.after(listing_interval(self.hosts()));
        if reads.number > 0 {
            task::sleep(next_at.since(self.clock.now()).as_std()).await;
        }
        let number = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        reads.started_at = self.clock.now();
        let listing = self.store.list(STREAM_PREFIX).await;
        reads.number = number;
        reads.is_complete = match listing {
            Ok(listing) => reads.apply(listing),
            Err(error) => {
                LogEvent::StoreUnavailable.write(format_args!("{STREAM_PREFIX} cannot be listed: {error}"));
                false
            }
        };
        if reads.is_complete {
            let versions = reads.versions.as_ref();
            let versions = versions.map_or_else(VersionsInUse::default, |(_, versions)| versions.clone());
            self.registry.set_in_use(versions);
            let records = reads.records.iter();
            let stored = records.map(|(key, record)| (key.clone(), Arc::clone(&record.origins)));
            self.registry.set_stored(stored.collect());
        }
        reads.is_complete
    }

    async fn list_targets(&self) -> bool {
        self.hosts() <= MAX_ASKED_HOSTS && self.targets.requests.listing().await
    }

    fn targets_age_ms(&self) -> Option<DurationMs> {
        let targets = &self.targets;
        targets.cache.age(ObjectSpace::Platform, targets.prefix)
    }

    fn store_delay_ms(&self) -> DurationMs {
        flush_interval(self.hosts()).saturating_add(WRITE_MS)
    }
}
