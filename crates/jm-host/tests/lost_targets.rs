//! Guards against losing targets in a store outage, and against sending work to targets that were removed.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use common::{PlainObjects, listing};
use jm_host::{ClusterState, WatchHandler};
use jm_platform::{Change, Version};
use jm_types::{DurationMs, ManualClock, Revision};

struct Test {
    cluster: Arc<ClusterState>,
    targets: Box<dyn WatchHandler>,
    clock: Arc<ManualClock>,
}

fn start() -> Test {
    let clock = Arc::new(ManualClock::default());
    let changes = AtomicUsize::new(0);
    let on_change = Box::new(move || {
        changes.fetch_add(1, Ordering::SeqCst);
    });
    let cluster = Arc::new(ClusterState::new(
        Arc::new(PlainObjects),
        Arc::clone(&clock) as _,
        on_change,
    ));
    Test {
        targets: ClusterState::target_watch_handler(&cluster),
        cluster,
        clock,
    }
}

impl Test {
    fn serving(&self) -> Vec<String> {
        common::serving(&self.cluster)
    }

    fn list(&self, targets: &[(&str, &str)], gap_ms: u64) {
        let keys: Vec<String> = targets.iter().map(|(id, _)| format!("targets/{id}")).collect();
        let states = targets.iter().map(|(_, state)| *state);
        let objects: Vec<(&str, &str)> = keys.iter().map(String::as_str).zip(states).collect();
        self.targets
            .on_list(listing(&objects, 1), DurationMs::new(gap_ms));
    }

    fn change(&self, id: &str, value: Option<&str>) {
        let change = Change {
            key: format!("targets/{id}"),
            version: Version::new(2),
            value: value.map(|value| value.as_bytes().to_vec()),
        };
        self.targets.on_change(change, Version::new(2));
    }
}

#[test]
fn removed_at_once_without_outage() {
    let test = start();
    test.list(&[("a", "serving"), ("b", "serving"), ("c", "leaving")], 0);
    assert_eq!(test.serving(), ["a", "b"]);
    test.list(&[("a", "serving")], 700);
    assert_eq!(test.serving(), ["a"]);
    test.change("a", None);
    assert!(test.serving().is_empty());
}

/// Entries expire while the store is unavailable, and live targets register again within two seconds. A missing
/// target is removed only after that time.
#[test]
fn expired_in_an_outage() {
    let test = start();
    test.list(&[("a", "serving"), ("b", "serving")], 0);
    test.list(&[], 4_500);
    assert_eq!(
        test.serving(),
        ["a", "b"],
        "targets stay listed during the grace period"
    );
    test.clock.advance(DurationMs::new(1_000));
    test.change("a", Some("serving"));
    test.clock.advance(DurationMs::new(1_300));
    test.cluster.remove_expired_targets();
    assert_eq!(test.serving(), ["a"]);
}

/// A target whose entry says that it is leaving gets no work, even after an outage.
#[test]
fn leaving_after_an_outage() {
    let test = start();
    test.list(&[("a", "serving")], 0);
    test.list(&[("a", "leaving")], 4_500);
    assert!(test.serving().is_empty());
}

/// An entry that cannot be decoded must not affect other targets.
#[test]
fn unreadable_entry() {
    let test = start();
    test.list(&[("a", "serving"), ("b", "???")], 0);
    assert_eq!(test.serving(), ["a"]);
    test.change("a", Some("???"));
    assert!(test.serving().is_empty());
}

/// While a host runs, its configuration never reverts to an older revision.
#[test]
fn never_an_older_configuration() {
    let test = start();
    test.cluster.apply_routing(b"7");
    test.cluster.apply_routing(b"5");
    test.cluster.apply_routing(b"unreadable");
    assert_eq!(test.cluster.revision(), Revision::new(7));
    test.cluster.apply_routing(b"12");
    assert_eq!(test.cluster.revision(), Revision::new(12));
}

/// When the primary reader stopped, the first listing of its successor came 1.9 s after the last one. This gap was
/// treated as an outage, so targets that had been removed meanwhile received requests for another 2.2 s.
#[test]
fn gone_while_the_reader_changed() {
    let test = start();
    test.list(&[("a", "serving"), ("b", "serving")], 0);
    test.list(&[("a", "serving")], 1_900);
    assert_eq!(test.serving(), ["a"]);
}

/// Guards against a host that is ready before it has listed its targets. It would refuse the first requests although
/// targets are free.
#[test]
fn ready_after_targets() {
    let test = start();
    test.cluster.apply_routing(b"1");
    assert!(!test.cluster.is_complete());
    test.list(&[("t1", "serving")], 0);
    assert!(test.cluster.is_complete());
}
