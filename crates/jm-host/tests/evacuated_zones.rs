//! Guards against a host that uses an evacuated zone: after an older listing, before it has read the evacuations, or because
//! of a deletion that it misread. The watch itself is tested in `followed_prefix`.

mod common;

use std::sync::Arc;

use common::{PlainObjects, listing};
use jm_host::{ClusterState, WatchHandler};
use jm_platform::{Change, Version};
use jm_types::{DurationMs, ManualClock};

const PREFIX: &str = "evacuations/";

struct Test {
    cluster: Arc<ClusterState>,
    evacuations: Box<dyn WatchHandler>,
    targets: Box<dyn WatchHandler>,
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
            ("targets/t1", "serving a"),
            ("targets/t2", "serving b"),
            ("targets/t3", "leaving b"),
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
        common::serving(&self.cluster)
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
        value: Some(b"serving b".to_vec()),
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
