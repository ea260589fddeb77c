//! Guards against a stream whose software version is guessed, mistaken or forgotten too early.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use async_trait::async_trait;
use common::{Does, TestForwarder, forwarder, request, route, target};
use indexmap::IndexMap;
use jm_forward::{
    AbsentVersions, Access, CallerRequest, Catalog, ForwardRefusal, Origin, OriginSource, OriginTable,
    RecentStreams, Recorded, Resumption, RouteKind, SoftwareFilter, StoredOrigins, StreamKey, StreamRegistry,
    Streams, Target, VersionsInUse,
};
use jm_types::{DurationMs, ResultCode, SystemClock, Timestamp};
use quickcheck::{TestResult, quickcheck};

fn origin(software: &str) -> Origin {
    Origin {
        service: "desk".parse().unwrap(),
        software: Some(software.parse().unwrap()),
    }
}

fn key(id: &str) -> StreamKey {
    StreamKey::new(None, id).unwrap()
}

fn written_by(id: &str, software: &str, started_unix_ms: u64) -> Target {
    let mut target = target(id);
    target.run.started_unix_ms = started_unix_ms;
    Target {
        software: Some(software.parse().unwrap()),
        ..target
    }
}

quickcheck! {
    /// Guards against origins that are lost early, kept too long or mixed up, by comparison with a table that searches all
    /// its entries. Each step records one of eight streams.
    fn bounded_origins(steps: Vec<(u8, u8, u8)>) -> TestResult {
        const CAPACITY: usize = 4;
        let names = ["v1", "v2"];
        let mut table = OriginTable::new(CAPACITY);
        let mut naive: BTreeMap<StreamKey, (Option<Origin>, Timestamp)> = BTreeMap::new();
        let mut now = Timestamp::new(0);
        for (stream, software, life_ms) in steps {
            now = now.after(DurationMs::new(u64::from(software % 16)));
            let stream = key(&(stream % 8).to_string());
            let recorded = names.get(usize::from(software % 3)).map(|name| origin(name));
            let expires_at = now.after(DurationMs::new(u64::from(life_ms) + 1));
            table.record(stream, recorded.as_ref(), expires_at, now);
            naive.retain(|_, (_, at)| *at > now);
            let entry = naive.entry(stream).or_insert((recorded.clone(), expires_at));
            if entry.0 != recorded {
                entry.0 = None;
            }
            entry.1 = entry.1.max(expires_at);
            if naive.len() > CAPACITY {
                let first = naive.iter().min_by_key(|(key, (_, at))| (*at, **key));
                let first = *first.unwrap().0;
                naive.remove(&first);
            }
            for index in 0..8 {
                let stream = key(&index.to_string());
                let found = table.get(stream, now).map(|found| match found {
                    Recorded::Known(origin) => Some(origin.clone()),
                    Recorded::Ambiguous => None,
                });
                if found != naive.get(&stream).map(|(origin, _)| origin.clone()) {
                    return TestResult::error(format!("stream {index} at {now}: {found:?}"));
                }
            }
        }
        TestResult::passed()
    }
}

/// Guards against ids of another organisation, and against requests without an id, that match a stream.
#[test]
fn foreign_keys() {
    let (parish, abbey) = ("parish".parse().unwrap(), "abbey".parse().unwrap());
    let own = StreamKey::new(Some(&parish), "r1").unwrap();
    assert_ne!(Some(own), StreamKey::new(Some(&abbey), "r1"));
    assert_ne!(Some(own), StreamKey::new(None, "parishr1"));
    assert_eq!(StreamKey::new(Some(&parish), ""), None);
    assert_eq!(own.to_string().parse(), Ok(own));
    assert!("12".parse::<StreamKey>().is_err());
}

/// Guards against a new stream at a version that the store does not hold yet, and against a service that stands still
/// because only such a version is left.
#[test]
fn unstored_version() {
    let registry = StreamRegistry::new(Arc::new(SystemClock));
    let service = "desk".parse().unwrap();
    let both: Catalog = [written_by("t1", "v1", 1), written_by("t2", "v2", 1)]
        .into_iter()
        .collect();
    assert_eq!(registry.filter_for_new(&service, &both), SoftwareFilter::Any);
    registry.set_in_use([origin("v1")].into_iter().collect());
    let filter = registry.filter_for_new(&service, &both);
    let admitted = both.iter().filter(|target| filter.admits(target));
    assert_eq!(
        admitted.map(|target| target.run.id.as_str()).collect::<Vec<_>>(),
        ["t1"]
    );
    let new: Catalog = [written_by("t2", "v2", 1)].into_iter().collect();
    assert_eq!(registry.filter_for_new(&service, &new), SoftwareFilter::Any);
}

/// Guards against a version that is forgotten while streams of it may be resumed, and against a service without a version.
#[test]
fn departed_versions() {
    let stored: VersionsInUse = [origin("v1"), origin("v2")].into_iter().collect();
    let listed: VersionsInUse = [origin("v2")].into_iter().collect();
    let mut absent = AbsentVersions::default();
    let limit = DurationMs::new(100);
    absent.update(&stored, &listed, Timestamp::new(0));
    absent.update(&stored, &listed, Timestamp::new(100));
    assert!(absent.longer_than(limit, Timestamp::new(100)).is_empty());
    assert_eq!(
        absent.longer_than(limit, Timestamp::new(101)),
        BTreeSet::from([origin("v1")])
    );
    absent.update(&stored, &stored, Timestamp::new(102));
    absent.update(&stored, &listed, Timestamp::new(103));
    assert!(
        absent.longer_than(limit, Timestamp::new(150)).is_empty(),
        "the version was back"
    );
    let all = BTreeSet::from([origin("v1"), origin("v2")]);
    assert_eq!(stored.without(&all).iter().count(), 1, "the last version stays");
}

/// Guards against a stream that is recorded under the version of a target's predecessor: the target had started again with
/// other software, and its entry was still the old one.
#[test]
fn restarted_target() {
    let mut recent = RecentStreams::default();
    let old = written_by("t1", "v1", 1);
    recent.record(key("before"), &old, Timestamp::new(1_000));
    recent.record(key("after"), &old, Timestamp::new(1_500));
    recent.record(
        key("elsewhere"),
        &written_by("t2", "v1", 1),
        Timestamp::new(1_500),
    );
    let unchanged: Catalog = [old].into_iter().collect();
    let now = Timestamp::new(2_000);
    assert!(recent.take_contradicted(&unchanged, 102_000, now).is_empty());
    let restarted: Catalog = [written_by("t1", "v2", 101_200)].into_iter().collect();
    assert_eq!(recent.take_contradicted(&restarted, 102_000, now), [key("after")]);
    assert!(recent.take_contradicted(&restarted, 102_000, now).is_empty());
}

/// What the store holds, the number of listings, and what the other hosts know of any stream.
struct Source {
    registry: Arc<StreamRegistry>,
    stored: Mutex<Option<VersionsInUse>>,
    known_elsewhere: Mutex<Option<Origin>>,
    targets_age_ms: AtomicU64,
    listings: AtomicUsize,
}

#[async_trait]
impl OriginSource for Source {
    async fn refresh(&self) -> bool {
        self.listings.fetch_add(1, Ordering::SeqCst);
        let stored = self.stored.lock().unwrap().clone();
        if stored.is_some() {
            self.registry.set_stored(IndexMap::new());
        }
        stored
            .map(|versions| self.registry.set_in_use(versions))
            .is_some()
    }

    async fn store_versions(&self, versions: &VersionsInUse) -> bool {
        if let Some(stored) = self.stored.lock().unwrap().as_mut() {
            *stored = stored.union(versions);
        }
        self.refresh().await
    }

    async fn ask(&self, _: StreamKey) -> Option<Option<Origin>> {
        self.known_elsewhere.lock().unwrap().clone().map(Some)
    }

    async fn list_targets(&self) -> bool {
        true
    }

    fn targets_age_ms(&self) -> Option<DurationMs> {
        Some(DurationMs::new(self.targets_age_ms.load(Ordering::SeqCst)))
    }

    fn store_delay_ms(&self) -> DurationMs {
        DurationMs::new(0)
    }
}

/// A forwarder, and a store that holds these versions; none for a store that does not answer.
fn fleet(rules: Vec<(&'static str, Does)>, stored: Option<&[&str]>) -> (TestForwarder, Arc<Source>) {
    let registry = Arc::new(StreamRegistry::new(Arc::new(SystemClock)));
    let stored = stored.map(|names| names.iter().map(|name| origin(name)).collect());
    let source = Arc::new(Source {
        registry: Arc::clone(&registry),
        stored: Mutex::new(stored),
        known_elsewhere: Mutex::default(),
        targets_age_ms: AtomicU64::new(0),
        listings: AtomicUsize::new(0),
    });
    let mut parts = forwarder(&[], rules);
    parts.forwarder = parts.forwarder.with_streams(Streams {
        registry,
        source: Arc::clone(&source) as _,
    });
    (parts, source)
}

fn resumption(id: &str, first: &str) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        resumption: Some(Resumption {
            first_request: Some(first.to_owned()),
        }),
        ..request("/orders/1", None)
    }
}

/// Sends a request while the catalog changes from one listing to the next with each look at it.
async fn send(
    parts: &TestForwarder,
    request: &CallerRequest,
    listings: &[&[Target]],
) -> Result<(), ForwardRefusal> {
    let route = route(RouteKind::Streaming { is_resumable: true });
    let looks = AtomicUsize::new(0);
    let catalog = || {
        let look = looks.fetch_add(1, Ordering::SeqCst).min(listings.len() - 1);
        Arc::new(listings[look].iter().cloned().collect::<Catalog>())
    };
    let sent = parts
        .forwarder
        .forward(request, &route, &Access::Anyone, &catalog, pending());
    sent.await.map(drop)
}

fn ids(parts: &TestForwarder) -> Vec<String> {
    let attempts = parts.targets.attempts.lock().unwrap();
    attempts.iter().map(|(id, _)| id.clone()).collect()
}

/// Guards against retries of a resumption at another version when the targets of its own are full, and against a resumption of a
/// resumption at another version.
#[async_std::test]
async fn full_targets() {
    let (parts, _) = fleet(vec![("t2", Does::Reject)], Some(&["v1", "v2"]));
    let (old, new) = (written_by("t1", "v1", 1), written_by("t2", "v2", 1));
    let only_old: &[Target] = std::slice::from_ref(&old);
    send(&parts, &request("/orders/1", None), &[only_old])
        .await
        .unwrap();
    let both = [old, new.clone()];
    send(&parts, &resumption("r2", "r1"), &[&both]).await.unwrap();
    send(&parts, &resumption("r3", "r2"), &[&both]).await.unwrap();
    assert_eq!(ids(&parts), ["t1", "t1", "t1"]);
    let only_new: &[Target] = std::slice::from_ref(&new);
    let refused = send(&parts, &resumption("r4", "r1"), &[only_new])
        .await
        .unwrap_err();
    assert_eq!(refused.code, ResultCode::NoTarget);
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    assert_eq!(ids(&parts).len(), 3, "no attempt at another version");
}

/// Guards against a stream whose target changes its version between the choice and the answer: a resumption of it would be
/// joined, and the resumption itself is.
#[async_std::test]
async fn changed_entry() {
    let (parts, _) = fleet(Vec::new(), Some(&["v1", "v2"]));
    let (old, new) = (written_by("t1", "v1", 1), written_by("t1", "v2", 2));
    let old: &[Target] = std::slice::from_ref(&old);
    let new: &[Target] = std::slice::from_ref(&new);
    send(&parts, &request("/orders/1", None), &[old, new])
        .await
        .unwrap();
    let refused = send(&parts, &resumption("r2", "r1"), &[old]).await.unwrap_err();
    assert_eq!(refused.code, ResultCode::NoTarget, "ambiguous: {refused:?}");
    let sound = CallerRequest {
        id: "r5".to_owned(),
        ..request("/orders/1", None)
    };
    send(&parts, &sound, &[old]).await.unwrap();
    let lost = send(&parts, &resumption("r6", "r5"), &[old, new])
        .await
        .unwrap_err();
    assert_eq!(lost.code, ResultCode::TargetFailed, "{lost:?}");
}

/// Guards against a stream of a host that has just started at a version that the store does not hold. Other hosts would take
/// it for one of the only stored version.
#[async_std::test]
async fn versions_not_read() {
    let both = [written_by("t2", "v2", 1), written_by("t1", "v1", 1)];
    for (stored, chosen) in [(Some(&["v1"][..]), "t1"), (None, "t2")] {
        let (parts, _) = fleet(Vec::new(), stored);
        send(&parts, &request("/orders/1", None), &[&both]).await.unwrap();
        assert_eq!(ids(&parts), [chosen], "{stored:?}");
    }
}

/// Guards against a guess when the store does not answer or holds two versions, and against a refused resumption when it holds
/// one.
#[async_std::test]
async fn unknown_origin() {
    let one = [written_by("t1", "v1", 1)];
    for (stored, goes_on) in [
        (None, false),
        (Some(&["v1", "v2"][..]), false),
        (Some(&["v1"]), true),
    ] {
        let (parts, source) = fleet(Vec::new(), stored);
        let sent = send(&parts, &resumption("r2", "r1"), &[&one]).await;
        assert_eq!(sent.is_ok(), goes_on, "{stored:?}: {sent:?}");
        assert!(source.listings.load(Ordering::SeqCst) >= 1);
        if let Err(refused) = sent {
            assert_eq!(refused.code, ResultCode::NoTarget);
            assert!(ids(&parts).is_empty());
        }
    }
}

/// Guards against a joined stream that began at a version which is not stored yet: at a host that could not read the store, or
/// that listed no target of a stored version. Another host must not take the only stored version for its origin.
#[async_std::test]
async fn unstored_origin() {
    let (old, new) = (written_by("t1", "v1", 1), written_by("t2", "v2", 1));
    let (only_new, both) = ([new.clone()], [new, old]);
    for (stored, listed) in [(None, &both[..]), (Some(&["v1"][..]), &only_new)] {
        let (first, _) = fleet(Vec::new(), stored);
        send(&first, &request("/orders/1", None), &[listed])
            .await
            .unwrap();
        assert_eq!(ids(&first), ["t2"], "{stored:?}");
        let (second, _) = fleet(Vec::new(), Some(&["v1"]));
        let refused = send(&second, &resumption("r2", "r1"), &[&both]).await;
        assert!(refused.is_err(), "{stored:?}: joined at {:?}", ids(&second));
        assert!(ids(&second).is_empty(), "{stored:?}");
    }
}

/// Guards against an origin from an old listing that its host has withdrawn since, because the target had other software.
#[async_std::test]
async fn withdrawn_origin() {
    let (parts, source) = fleet(Vec::new(), Some(&["v1", "v2"]));
    let listed = StoredOrigins::from([(origin("v1"), HashSet::from([key("r1")]))]);
    let listed = IndexMap::from([("h1.1".to_owned(), Arc::new(listed))]);
    source.registry.set_stored(listed);
    let both = [written_by("t1", "v1", 1), written_by("t2", "v2", 1)];
    let refused = send(&parts, &resumption("r2", "r1"), &[&both]).await;
    assert!(refused.is_err(), "went on at {:?}", ids(&parts));
}

/// Guards against a joined stream at a host whose listing is older than that of the host that began it: the only stored version
/// had left, and the stream began at the next one.
#[async_std::test]
async fn outdated_host() {
    let (old, new) = (written_by("t1", "v1", 1), written_by("t2", "v2", 1));
    let (first, store) = fleet(Vec::new(), Some(&["v1"]));
    send(&first, &request("/orders/1", None), &[&[new]])
        .await
        .unwrap();
    let (second, source) = fleet(Vec::new(), None);
    *source.stored.lock().unwrap() = store.stored.lock().unwrap().clone();
    let refused = send(&second, &resumption("r2", "r1"), &[&[old]]).await;
    assert!(refused.is_err(), "joined at {:?}", ids(&second));
}

/// Guards against a joined stream at a host whose listing is older, while the store refuses to hold the next version: the host that
/// began the stream knows its origin.
#[async_std::test]
async fn known_elsewhere() {
    let old = written_by("t1", "v1", 1);
    let (parts, source) = fleet(Vec::new(), Some(&["v1"]));
    *source.known_elsewhere.lock().unwrap() = Some(origin("v2"));
    let refused = send(&parts, &resumption("r2", "r1"), &[&[old]]).await;
    assert!(refused.is_err(), "joined at {:?}", ids(&parts));
}

/// Guards against a joined stream at a host that is out of step, while the store refuses to hold the next version and no other host
/// answers; and against refused resumptions at a host whose listing is as old as the interval of listings allows.
#[async_std::test]
async fn listing_age() {
    for (age_ms, goes_on) in [(2_100, true), (3_000, false)] {
        let old = written_by("t1", "v1", 1);
        let (parts, source) = fleet(Vec::new(), Some(&["v1"]));
        source.targets_age_ms.store(age_ms, Ordering::SeqCst);
        let sent = send(&parts, &resumption("r2", "r1"), &[&[old]]).await;
        assert_eq!(sent.is_ok(), goes_on, "{age_ms} ms: {sent:?}");
    }
}
