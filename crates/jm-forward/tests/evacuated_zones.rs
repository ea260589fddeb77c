//! Guards against requests to an evacuated zone, whatever the order in which a host reads the store's state.

mod common;

use std::{collections::BTreeSet, future::pending, sync::Arc};

use common::{Does, forwarder, request, route, target};
use jm_forward::{
    Access, Catalog, Evacuations, ForwardRefusal, RouteKind, Target, TargetState, evacuated_retry_after,
};
use jm_platform::Version;
use jm_types::{Execution, ResultCode, ZoneId};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn zone(index: usize) -> ZoneId {
    ZONES[index].parse().unwrap()
}

/// What happens in one run of the model.
#[derive(Debug, Clone)]
enum Step {
    /// An operator begins or ends the evacuation of a zone.
    Operator(usize, bool),
    /// The host reads a listing that lags behind the store by this number of changes.
    List(usize),
    /// The host reads the changes after the version that it has, as a watch delivers them.
    Watch,
    /// The host receives a change again that it has read or that lags behind the store by this number of changes.
    Late(usize),
    /// The host restarts and has no state.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let lag = usize::arbitrary(g) % 4;
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Operator(lag % ZONES.len(), bool::arbitrary(g)),
            3..=4 => Self::List(lag),
            5 => Self::Watch,
            6 => Self::Late(lag),
            _ => Self::Restart,
        }
    }
}

/// The store's history: the evacuated zones at each version, and the change that led to it.
struct Store {
    states: Vec<BTreeSet<usize>>,
    changes: Vec<(usize, bool)>,
}

impl Store {
    fn change(&mut self, zone: usize, is_evacuated: bool) {
        let mut state = self.states.last().unwrap().clone();
        match is_evacuated {
            true => state.insert(zone),
            false => state.remove(&zone),
        };
        self.states.push(state);
        self.changes.push((zone, is_evacuated));
    }

    fn newest(&self) -> usize {
        self.states.len() - 1
    }
}

fn version(index: usize) -> Version {
    Version::new(index as u64)
}

fn in_zone(index: usize, state: TargetState) -> Target {
    let mut target = target(ZONES[index]);
    target.zone = zone(index);
    target.state = state;
    target
}

quickcheck! {
    /// After each input, the evacuated zones are those of the newest version of the store that this run of the host has
    /// read, and exactly the running targets of other zones serve.
    fn state_of_newest_version(steps: Vec<Step>) -> bool {
        let mut store = Store { states: vec![BTreeSet::new()], changes: Vec::new() };
        let mut evacuations = Evacuations::default();
        let mut read: Option<usize> = None;
        let mut entries: Vec<Target> = (0..ZONES.len()).map(|index| in_zone(index, TargetState::Serving)).collect();
        for step in steps {
            match step {
                Step::Operator(zone, is_evacuated) => store.change(zone, is_evacuated),
                Step::List(lag) => {
                    let at = store.newest().saturating_sub(lag);
                    let zones = store.states[at].iter().map(|index| zone(*index));
                    let is_newer = read.is_none_or(|read| at >= read);
                    assert_eq!(evacuations.apply_listing(zones, version(at)), is_newer);
                    read = read.max(Some(at));
                }
                Step::Watch => {
                    let Some(after) = read else { continue };
                    let newest = store.newest();
                    for (index, is_evacuated) in &store.changes[after..] {
                        assert!(evacuations.apply_change(zone(*index), version(newest), *is_evacuated));
                    }
                    read = Some(newest);
                }
                Step::Late(lag) => {
                    let at = store.newest().saturating_sub(lag);
                    if at == 0 || read.is_none_or(|read| at >= read) {
                        continue;
                    }
                    let (index, is_evacuated) = store.changes[at - 1];
                    assert!(!evacuations.apply_change(zone(index), version(at), is_evacuated));
                }
                Step::Restart => {
                    evacuations = Evacuations::default();
                    read = None;
                }
            }
            let expected = read.map(|read| store.states[read].clone()).unwrap_or_default();
            entries = entries.into_iter().map(|entry| evacuations.apply(entry)).collect();
            for (index, entry) in entries.iter().enumerate() {
                let leaving = evacuations.apply(in_zone(index, TargetState::Leaving));
                if evacuations.is_evacuated(&zone(index)) != expected.contains(&index)
                    || entry.is_serving() == expected.contains(&index)
                    || leaving.state != TargetState::Leaving
                {
                    return false;
                }
            }
            if evacuations.zones().count() != expected.len() {
                return false;
            }
        }
        true
    }
}

/// Replays, by seed, one evacuation that a host reads from the store and from caches that lag behind it by up to three
/// changes. Counts the reads after which a zone that the host had evacuated before serves again, for the module and for a
/// host that believes the last read.
#[test]
fn zone_stays_evacuated() {
    let (mut by_version, mut by_last_read) = (0, 0);
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut evacuations = Evacuations::default();
        let mut was_evacuated = false;
        for newest in 10..40_u64 {
            let at = newest - random.random_range(0..=3);
            let zones = (at >= 20).then(|| zone(0));
            let is_in_last_read = zones.is_some();
            evacuations.apply_listing(zones, Version::new(at));
            by_version += usize::from(was_evacuated && !evacuations.is_evacuated(&zone(0)));
            by_last_read += usize::from(was_evacuated && !is_in_last_read);
            was_evacuated |= is_in_last_read;
        }
    }
    assert_eq!(by_version, 0);
    assert!(by_last_read > 0, "the load has reads that bring the zone back");
}

/// Replays 1,000 callers that are refused together, and compares the most that return within 100 ms with that of callers
/// that all wait for the same time.
#[test]
fn callers_return_spread() {
    let mut random = StdRng::seed_from_u64(1);
    let busiest = |delays: Vec<u64>| {
        let windows = delays.iter().map(|begin| {
            delays
                .iter()
                .filter(|at| (*begin..begin + 100).contains(at))
                .count()
        });
        windows.max().unwrap()
    };
    let spread = (0..1_000)
        .map(|_| evacuated_retry_after(random.random()).get())
        .collect();
    assert!(busiest(spread) < 60);
    assert_eq!(busiest(vec![250; 1_000]), 1_000);
}

async fn refused(
    rules: Vec<(&'static str, Does)>,
    catalogs: [Catalog; 2],
    kind: RouteKind,
) -> ForwardRefusal {
    let test = forwarder(&[], rules);
    let [first, later] = catalogs.map(Arc::new);
    let calls = std::sync::atomic::AtomicUsize::new(0);
    let catalog = || match calls.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => Arc::clone(&first),
        _ => Arc::clone(&later),
    };
    let (route, request) = (route(kind), request("/orders/1", Some("key-1")));
    let access = Access::Organisation("parish".parse().unwrap());
    let forwarded = test
        .forwarder
        .forward(&request, &route, &access, &catalog, pending())
        .await;
    let sent = test.targets.attempts.lock().unwrap();
    assert!(
        sent.iter().all(|(id, _)| id == "a"),
        "evacuated targets get nothing"
    );
    forwarded.unwrap_err()
}

fn catalog(state_of_a: TargetState) -> Catalog {
    [in_zone(0, state_of_a), in_zone(1, TargetState::Evacuated)]
        .into_iter()
        .collect()
}

/// Guards against a refusal that leaves open whether the request ran or that is retried at once.
#[async_std::test]
async fn all_evacuated() {
    let all = || catalog(TargetState::Evacuated);
    let refusal = refused(Vec::new(), [all(), all()], RouteKind::NonIdempotent).await;
    assert_eq!(refusal.code, ResultCode::Evacuated);
    assert_eq!(refusal.code.execution(), Execution::NotRun);
    let delay = refusal.retry_after_ms.unwrap().get();
    assert!((1_000..=5_000).contains(&delay), "{delay}");
}

/// Guards against a retry in a zone that was evacuated while the first attempt was rejected.
#[async_std::test]
async fn evacuated_while_request_waits() {
    let before = catalog(TargetState::Serving);
    let after = catalog(TargetState::Evacuated);
    let rules = vec![("a", Does::RejectAfter(10))];
    let refusal = refused(rules, [before, after], RouteKind::NonIdempotent).await;
    assert_eq!(refusal.code, ResultCode::Evacuated);
}

/// Guards against the refusal "not run" of a request whose first attempt may have run before the evacuation.
#[async_std::test]
async fn lost_before_evacuation() {
    let before = catalog(TargetState::Serving);
    let after = catalog(TargetState::Evacuated);
    let refusal = refused(vec![("a", Does::Lose)], [before, after], RouteKind::Idempotent).await;
    assert_eq!(refusal.code.execution(), Execution::Unknown);
    assert_eq!(refusal.retry_after_ms, None);
}
