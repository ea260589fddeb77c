//! Shared test helpers: a daemon on a platform whose calls can crash, lose answers or pause.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub(crate) mod faulty;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_std::task;
use faulty::FaultyPlatform;
use jm_config::{Author, Change, ConfigView, Document, Settings, diff};
use jm_control::{Control, ControlDuty, ControlOptions};
use jm_node::{ConfigReplica, Node, NodeOptions, Platform, Stop, change_key, encode};
use jm_platform::{
    Condition, HostList, MemoryPlatform, ObjectStore, TargetOrders, UsageReporter, WeightStore,
};
use jm_types::{Clock, DurationMs, Incarnation, ManualClock, Revision, Timestamp};
use jm_usage::{PartId, SealedWindow, TargetKind, UsageCounts, UsageKey, UsagePart, WallTime, WindowId};

const SETTINGS: &str = "\
[daemon]
id = ID
zone = riga-a
region = baltic-north
roles = control
[control]
link_listen = 127.0.0.1:7200
advertised = 127.0.0.1:7200
admin_listen = 127.0.0.1:7201
[member]
listen = 127.0.0.1:7300
advertised = 127.0.0.1:7300
[platform]
object_url = http://127.0.0.1:9000/
host_list_url = http://127.0.0.1:9000/
targets_url = http://127.0.0.1:9000/
usage_url = http://127.0.0.1:9000/
weights_url = http://127.0.0.1:9000/
[link]
secret = 0123456789abcdef0123456789abcdef
";

/// Time after which another daemon can take over a lease and send orders. It exceeds the term plus the maximum order
/// duration.
pub(crate) const TAKEOVER_MS: DurationMs = DurationMs::new(30_000);

/// A control daemon with its own clock and its own faulty connection to the platform.
pub(crate) struct Daemon {
    pub(crate) platform: Arc<FaultyPlatform>,
    pub(crate) clock: Arc<ManualClock>,
    pub(crate) node: Arc<Node>,
    pub(crate) control: Arc<Control>,
}

/// Stores the first change of the configuration, which results in the document `text`.
pub(crate) async fn store_config(platform: &MemoryPlatform, text: &str) {
    let empty = ConfigView {
        revision: Revision::new(0),
        sections: Vec::new(),
    };
    let change = Change {
        change_id: "first".parse().unwrap(),
        author: Author {
            actor: "test".to_owned(),
            team: None,
        },
        base: Revision::new(0),
        edits: diff(&empty, &Document::parse("test.ini", text).unwrap()),
    };
    let key = change_key(Revision::new(1));
    let put = platform.put(&key, encode(&change), Condition::Absent);
    put.await.unwrap();
}

/// Polls until `holds` returns `true`. Panics after about 30 s.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..15_000 {
        if holds() {
            return;
        }
        task::sleep(DurationMs::new(2).as_std()).await;
    }
    panic!("timed out: {what}");
}

/// Manual wall clock, shared by all daemons of a test.
#[derive(Clone, Default)]
pub(crate) struct WallClock(Arc<AtomicU64>);

impl WallClock {
    pub(crate) fn set(&self, unix_ms: u64) {
        self.0.store(unix_ms, Ordering::SeqCst);
    }
}

/// Creates the state of a process with the given platform and clock.
pub(crate) fn new_node(id: &str, platform: Platform, clock: Arc<dyn Clock>) -> Arc<Node> {
    let (_, stop) = Stop::new();
    Node::new(NodeOptions {
        settings: Settings::parse("test.ini", &SETTINGS.replace("ID", id)).unwrap(),
        platform,
        clock,
        stop,
    })
}

/// Uses one object for all interfaces of the platform.
pub(crate) fn platform_of<P>(platform: &Arc<P>) -> Platform
where
    P: ObjectStore + HostList + TargetOrders + UsageReporter + WeightStore + 'static,
{
    Platform {
        objects: platform.clone(),
        hosts: platform.clone(),
        targets: platform.clone(),
        usage: platform.clone(),
        weights: platform.clone(),
    }
}

impl WallClock {
    pub(crate) fn options(&self) -> ControlOptions {
        let wall_clock = self.clone();
        ControlOptions {
            wall_clock: Arc::new(move || WallTime::new(wall_clock.0.load(Ordering::SeqCst))),
        }
    }
}

impl Daemon {
    pub(crate) fn new(id: &str, platform: &MemoryPlatform, wall_clock: &WallClock) -> Self {
        let platform = Arc::new(FaultyPlatform::new(platform.clone()));
        let clock = Arc::new(ManualClock::new(Timestamp::new(1_000_000)));
        let node = new_node(id, platform_of(&platform), clock.clone());
        let control = Control::new(Arc::clone(&node), wall_clock.options());
        Self {
            platform,
            clock,
            node,
            control,
        }
    }

    /// Starts following the configuration and waits until it is loaded.
    pub(crate) async fn load_config(&self) {
        task::spawn(ConfigReplica::follow(Arc::clone(&self.node)));
        wait_until("the configuration is read", || self.node.config.is_loaded()).await;
    }

    /// Observes the lease of the previous holder, waits for the end of its term and takes the lease over.
    pub(crate) async fn take_over(&self, duty: ControlDuty) {
        self.control.run_once(duty).await;
        self.clock.advance(TAKEOVER_MS);
        self.control.run_once(duty).await;
    }
}

/// Stores a part with requests of one organisation, as a dispatch daemon does.
pub(crate) async fn store_part(platform: &MemoryPlatform, window: u64, number: u64, requests: u64) {
    store_rows(platform, window, number, &[("parish", requests)]).await;
}

/// Stores a part with requests by organisation.
pub(crate) async fn store_rows(platform: &MemoryPlatform, window: u64, number: u64, rows: &[(&str, u64)]) {
    let row = |(organisation, requests): &(&str, u64)| {
        let key = UsageKey {
            organisation: organisation.parse().unwrap(),
            service: "order-desk".parse().unwrap(),
            kind: TargetKind::Regular,
        };
        let counts = UsageCounts {
            requests: *requests,
            ..UsageCounts::default()
        };
        (key, counts)
    };
    let part = UsagePart {
        id: PartId {
            member: "dispatch-a".parse().unwrap(),
            incarnation: Incarnation::new(1),
            number,
        },
        window: WindowId::new(window),
        rows: rows.iter().map(row).collect(),
    };
    let key = part.object_key();
    let put = platform.put(&key, encode(&part), Condition::Absent);
    put.await.unwrap();
}

/// Returns the number of requests in a report.
pub(crate) fn reported_requests(body: &[u8]) -> u64 {
    let sealed = SealedWindow::decode(body).unwrap();
    sealed.rows.iter().map(|row| row.counts.requests).sum()
}
