//! Guards against losing targets in a store outage, and against sending work to targets that were removed.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use jm_batch::RoutingSource;
use jm_forward::{CallerLimits, RoutingTable, RunKey, Target, TargetState};
use jm_host::{ClusterState, DecodeError, PlatformObjects, WatchHandler};
use jm_platform::{Change, KeyedObject, Object, Version};
use jm_types::{ByteSize, DurationMs, ManualClock, ModelId, Revision, WeightVersion};

/// Decodes objects whose value is a number or a word.
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
    fn routing(&self, value: &[u8]) -> Result<RoutingTable, DecodeError> {
        let text = String::from_utf8_lossy(value);
        let revision = text.parse().map_err(|_| DecodeError {
            reason: "not a number".to_owned(),
        })?;
        let limits = CallerLimits {
            head_bytes: ByteSize::new(1),
            body_bytes: ByteSize::new(1),
            head_timeout_ms: DurationMs::new(1),
            idle_timeout_ms: DurationMs::new(1),
        };
        Ok(RoutingTable::new(Revision::new(revision), limits))
    }
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, DecodeError> {
        let state = match value {
            b"serving" => TargetState::Serving,
            b"leaving" => TargetState::Leaving,
            _ => {
                return Err(DecodeError {
                    reason: "not a state".to_owned(),
                });
            }
        };
        Ok(Target {
            run: RunKey {
                id: key.trim_start_matches("targets/").parse().unwrap(),
                started_unix_ms: 1,
            },
            service: "s".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".parse().unwrap(),
            slots: 1,
            state,
            models: Default::default(),
            cold_left_ms: DurationMs::new(0),
        })
    }
    fn version(&self, _value: &[u8]) -> Result<(ModelId, WeightVersion), DecodeError> {
        unreachable!("the test stores no versions")
    }
}

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

fn objects(targets: &[(&str, &str)]) -> Vec<KeyedObject> {
    let object = |(id, state): &(&str, &str)| KeyedObject {
        key: format!("targets/{id}"),
        object: Object {
            value: state.as_bytes().to_vec(),
            version: Version::new(1),
        },
    };
    targets.iter().map(object).collect()
}

impl Test {
    fn serving(&self) -> Vec<String> {
        let service = "s".parse().unwrap();
        let catalog = self.cluster.catalog();
        catalog
            .serving(&service)
            .map(|target| target.run.id.to_string())
            .collect()
    }

    fn list(&self, targets: &[(&str, &str)], gap_ms: u64) {
        self.targets.on_list(objects(targets), DurationMs::new(gap_ms));
    }

    fn change(&self, id: &str, value: Option<&str>) {
        self.targets.on_change(Change {
            key: format!("targets/{id}"),
            version: Version::new(2),
            value: value.map(|value| value.as_bytes().to_vec()),
        });
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
