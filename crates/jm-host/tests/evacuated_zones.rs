//! Guards against a host that uses an evacuated zone: after an older listing, before it has read the evacuations, or because
//! of a deletion that it misread.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use async_trait::async_trait;
use jm_batch::RoutingSource;
use jm_forward::{CallerLimits, RoutingTable, RunKey, Target, TargetState};
use jm_host::{
    CacheSource, CachedChanges, ClusterState, DecodeError, ObjectSpace, PlatformObjects, PrefixWatch,
    StoreCache, WatchHandler, WatchOptions,
};
use jm_platform::{
    Change, Changes, Condition, KeyedObject, Listing, Object, ObjectError, ObjectStore, ReadError, Version,
    WatchError,
};
use jm_types::{ByteSize, DurationMs, ManualClock, ModelId, Revision, SystemClock, WeightVersion, ZoneId};

const PREFIX: &str = "evacuations/";

/// Decodes target entries of the form `zone state`.
struct PlainObjects;

impl PlatformObjects for PlainObjects {
    fn routing_key(&self) -> &'static str {
        "routing/main"
    }
    fn targets_prefix(&self) -> &'static str {
        "targets/"
    }
    fn versions_prefix(&self) -> &'static str {
        "versions/"
    }
    fn retirements_prefix(&self) -> &'static str {
        "retirements/"
    }
    fn evacuations_prefix(&self) -> &'static str {
        PREFIX
    }
    fn evacuated_zone(&self, key: &str) -> Result<ZoneId, DecodeError> {
        let name = key.strip_prefix(PREFIX).unwrap_or(key);
        name.parse().map_err(|_| DecodeError {
            reason: "not a zone".to_owned(),
        })
    }
    fn routing(&self, _value: &[u8]) -> Result<RoutingTable, DecodeError> {
        let limits = CallerLimits {
            head_bytes: ByteSize::new(1),
            body_bytes: ByteSize::new(1),
            head_timeout_ms: DurationMs::new(1),
            idle_timeout_ms: DurationMs::new(1),
        };
        Ok(RoutingTable::new(Revision::new(1), limits))
    }
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, DecodeError> {
        let text = String::from_utf8_lossy(value);
        let (zone, state) = text.split_once(' ').unwrap();
        Ok(Target {
            run: RunKey {
                id: key.trim_start_matches("targets/").parse().unwrap(),
                started_unix_ms: 1,
            },
            service: "s".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone.parse().unwrap(),
            slots: 1,
            state: match state {
                "serving" => TargetState::Serving,
                _ => TargetState::Leaving,
            },
            models: Default::default(),
        })
    }
    fn version(&self, _value: &[u8]) -> Result<(ModelId, WeightVersion), DecodeError> {
        unreachable!("the test stores no versions")
    }
}

struct Test {
    cluster: Arc<ClusterState>,
    evacuations: Box<dyn WatchHandler>,
    targets: Box<dyn WatchHandler>,
}

fn listing(objects: &[(&str, &str)], version: u64) -> Listing {
    let version = Version::new(version);
    let objects = objects.iter().map(|(key, value)| KeyedObject {
        key: (*key).to_owned(),
        object: Object {
            value: value.as_bytes().to_vec(),
            version,
        },
    });
    Listing {
        objects: objects.collect(),
        version,
    }
}

fn start() -> Test {
    let clock = Arc::new(ManualClock::default());
    let cluster = Arc::new(ClusterState::new(Arc::new(PlainObjects), clock, Box::new(|| {})));
    cluster.require_evacuations();
    cluster.apply_routing(b"1");
    let test = Test {
        evacuations: ClusterState::evacuation_watch_handler(&cluster),
        targets: ClusterState::target_watch_handler(&cluster),
        cluster,
    };
    test.list_targets();
    test
}

impl Test {
    fn list_targets(&self) {
        let targets = [
            ("targets/t1", "a serving"),
            ("targets/t2", "b serving"),
            ("targets/t3", "b leaving"),
        ];
        self.targets.on_list(listing(&targets, 1), DurationMs::new(0));
    }

    fn list(&self, zones: &[&str], version: u64) {
        let keys: Vec<String> = zones.iter().map(|zone| format!("{PREFIX}{zone}")).collect();
        let objects: Vec<(&str, &str)> = keys.iter().map(|key| (key.as_str(), "{}")).collect();
        self.evacuations
            .on_list(listing(&objects, version), DurationMs::new(0));
    }

    fn serving(&self) -> Vec<String> {
        let service = "s".parse().unwrap();
        let catalog = self.cluster.catalog();
        let serving = catalog.serving(&service);
        serving.map(|target| target.run.id.to_string()).collect()
    }
}

/// Guards against requests, and against the state "ready", while a restarted host does not know the evacuations.
#[test]
fn nothing_before_the_first_listing() {
    let test = start();
    assert!(test.serving().is_empty());
    assert!(!test.cluster.is_complete());
    test.list(&["b"], 7);
    assert_eq!(test.serving(), ["t1"]);
    assert!(test.cluster.is_complete());
}

/// Guards against targets that are listed again, in an outage or not, and then serve in an evacuated zone, and against
/// targets that leave and serve again after the evacuation.
#[test]
fn begin_and_end() {
    let test = start();
    test.list(&[], 5);
    assert_eq!(test.serving(), ["t1", "t2"]);
    test.list(&["b"], 7);
    test.list_targets();
    assert_eq!(test.serving(), ["t1"]);
    let entry = Change {
        key: "targets/t4".to_owned(),
        version: Version::new(8),
        value: Some(b"b serving".to_vec()),
    };
    test.targets.on_change(entry, Version::new(8));
    assert_eq!(test.serving(), ["t1"]);
    test.list(&[], 6);
    assert_eq!(test.serving(), ["t1"], "an older listing");
    // The change carries the version of the deleted object, as the store sends it.
    let deletion = Change {
        key: format!("{PREFIX}b"),
        version: Version::new(7),
        value: None,
    };
    test.evacuations.on_change(deletion, Version::new(9));
    assert_eq!(test.serving(), ["t1", "t2", "t4"]);
    assert!(test.cluster.evacuated_zones().is_empty());
}

/// Guards against one unreadable name that undoes the other evacuations.
#[test]
fn unreadable_name() {
    let test = start();
    test.list(&["", "b", "no zone!"], 7);
    assert_eq!(test.serving(), ["t1"]);
    assert_eq!(test.cluster.evacuated_zones().len(), 1);
}

/// Store that answers with one listing, or with none while it is down.
struct OneListing {
    listing: Mutex<Listing>,
    is_down: AtomicBool,
    /// Number of listings that were returned.
    listed: AtomicUsize,
}

#[async_trait]
impl ObjectStore for OneListing {
    async fn get(&self, _: &str) -> Result<Option<Object>, ReadError> {
        unreachable!("a watch reads no single objects")
    }
    async fn put(&self, _: &str, _: Vec<u8>, _: Condition) -> Result<Version, ObjectError> {
        unreachable!("a watch writes nothing")
    }
    async fn delete(&self, _: &str, _: Condition) -> Result<(), ObjectError> {
        unreachable!("a watch deletes nothing")
    }
    async fn list(&self, _: &str) -> Result<Listing, ReadError> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(ReadError::ReadUnavailable {
                reason: "scripted".to_owned(),
            }),
            false => {
                self.listed.fetch_add(1, Ordering::SeqCst);
                Ok(self.listing.lock().unwrap().clone())
            }
        }
    }
    async fn watch(&self, _: &str, _: Version, _: DurationMs) -> Result<Changes, WatchError> {
        unreachable!("the prefix is polled")
    }
}

/// Cache of another host that cannot reach the store.
struct CutOffHost(Option<Listing>);

#[async_trait]
impl CacheSource for CutOffHost {
    async fn list(&self, _: ObjectSpace, _: &str, _: DurationMs) -> Option<(Listing, DurationMs)> {
        None
    }
    async fn list_at_any_age(&self, _: ObjectSpace, _: &str) -> Option<(Listing, DurationMs)> {
        Some((self.0.clone()?, DurationMs::new(90_000)))
    }
    async fn watch(
        &self,
        _: ObjectSpace,
        _: &str,
        _: Version,
        _: DurationMs,
        _: DurationMs,
    ) -> CachedChanges {
        CachedChanges::Stale
    }
}

/// Versions of the listings that reached the handler.
#[derive(Default)]
struct Versions(Mutex<Vec<u64>>);

impl WatchHandler for Versions {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        self.0.lock().unwrap().push(listing.version.get());
    }
    fn on_change(&self, _change: Change, _version: Version) {}
}

struct Watched {
    store: Arc<OneListing>,
    versions: Arc<Versions>,
}

fn watch(listing: Listing, is_down: bool, peer: Option<Listing>) -> Watched {
    let store = Arc::new(OneListing {
        listing: Mutex::new(listing),
        is_down: AtomicBool::new(is_down),
        listed: AtomicUsize::new(0),
    });
    let versions = Arc::new(Versions::default());
    let watch = PrefixWatch {
        store: Arc::clone(&store) as _,
        space: ObjectSpace::Platform,
        prefix: PREFIX,
        options: WatchOptions {
            watch_ms: DurationMs::new(0),
            relist_ms: DurationMs::new(20),
            max_age_ms: DurationMs::new(1_300),
            retry_ms: DurationMs::new(5),
            max_retry_ms: DurationMs::new(20),
            starts_at_any_age: true,
        },
        clock: Arc::new(SystemClock),
        cache: Arc::new(StoreCache::new(Arc::new(SystemClock))),
        source: Arc::new(CutOffHost(peer)),
        handler: Arc::clone(&versions) as _,
    };
    task::spawn(watch.run());
    Watched { store, versions }
}

impl Watched {
    async fn wait_for(&self, expected: &[u64]) {
        let seen = async {
            while *self.versions.0.lock().unwrap() != expected {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let limit = Duration::from_secs(20);
        if async_std::future::timeout(limit, seen).await.is_err() {
            panic!("{:?} instead of {expected:?}", self.versions.0.lock().unwrap());
        }
    }
}

/// Guards against an older listing that reaches the handler because the last confirmation is more than a second ago.
#[async_std::test]
async fn older_listing_after_a_gap() {
    let watched = watch(listing(&[("evacuations/b", "{}")], 7), false, None);
    watched.wait_for(&[7]).await;
    watched.store.is_down.store(true, Ordering::SeqCst);
    task::sleep(Duration::from_millis(1_200)).await;
    *watched.store.listing.lock().unwrap() = listing(&[], 6);
    watched.store.listed.store(0, Ordering::SeqCst);
    watched.store.is_down.store(false, Ordering::SeqCst);
    while watched.store.listed.load(Ordering::SeqCst) < 3 {
        task::sleep(Duration::from_millis(5)).await;
    }
    watched.wait_for(&[7]).await;
    *watched.store.listing.lock().unwrap() = listing(&[], 8);
    watched.wait_for(&[7, 8]).await;
}

/// Guards against a host that restarts while the store is down and learns nothing, or that keeps a peer's older state after
/// the store has returned.
#[async_std::test]
async fn restart_while_store_is_down() {
    let peer = listing(&[("evacuations/b", "{}")], 7);
    let watched = watch(listing(&[], 9), true, Some(peer));
    watched.wait_for(&[7]).await;
    watched.store.is_down.store(false, Ordering::SeqCst);
    watched.wait_for(&[7, 9]).await;
}

/// Guards against a peer that restarted as well, has read no evacuations, and counts as a peer without evacuations.
#[async_std::test]
async fn peer_without_listing() {
    let cache = StoreCache::new(Arc::new(SystemClock));
    let any_age = DurationMs::new(u64::MAX);
    assert!(cache.listing(ObjectSpace::Platform, PREFIX, any_age).is_none());
    let watched = watch(listing(&[("evacuations/b", "{}")], 7), true, None);
    task::sleep(Duration::from_millis(100)).await;
    watched.wait_for(&[]).await;
    watched.store.is_down.store(false, Ordering::SeqCst);
    watched.wait_for(&[7]).await;
}
