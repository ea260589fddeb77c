//! Guards against daemons whose configurations differ after snapshots were written and old changes deleted.

mod common;

use common::{Daemon, WallClock, faulty::Fault, wait_until};
use jm_config::{Author, Change, Edit, RETAINED_CHANGE_IDS};
use jm_control::ControlDuty;
use jm_node::{CHANGE_PREFIX, SNAPSHOT_PREFIX, change_key, encode};
use jm_platform::{Condition, MAX_VALUE_BYTES, MemoryPlatform, ObjectStore};
use jm_types::{ResultCode, Revision};

/// Number of changes that the duty deletes.
const DELETED_CHANGES: u64 = 6;

/// Revision of the first snapshot in `crash_at_every_call`.
const OLDER_SNAPSHOT: u64 = 3_800;

/// Returns the change that leads to `revision`. It writes one of 300 organisations, with a note of `note_bytes + 1`
/// bytes.
fn change(revision: u64, note_bytes: usize) -> Change {
    let body = format!(
        "name = number {revision}\nnote = {}\n",
        "n".repeat(note_bytes + 1)
    );
    Change {
        change_id: format!("change-{revision}").parse().unwrap(),
        author: Author {
            actor: "test".to_owned(),
            team: None,
        },
        base: Revision::new(revision - 1),
        edits: vec![Edit {
            section: format!("organisation o{}", revision % 300).parse().unwrap(),
            expected: (revision > 300).then(|| Revision::new(revision - 300)),
            body: Some(body.parse().unwrap()),
        }],
    }
}

async fn store_changes(platform: &MemoryPlatform, revisions: std::ops::RangeInclusive<u64>, bytes: usize) {
    for revision in revisions {
        let key = change_key(Revision::new(revision));
        let value = encode(&change(revision, bytes));
        platform.put(&key, value, Condition::Absent).await.unwrap();
    }
}

async fn keys(platform: &MemoryPlatform, prefix: &str) -> Vec<String> {
    let listing = platform.list(prefix).await.unwrap();
    listing.objects.into_iter().map(|object| object.key).collect()
}

async fn loaded(id: &str, platform: &MemoryPlatform) -> Daemon {
    let daemon = Daemon::new(id, platform, &WallClock::default());
    daemon.load_config().await;
    daemon
}

#[track_caller]
fn assert_same(daemon: &Daemon, other: &Daemon, case: &str) {
    let (config, other) = (daemon.node.config.active(), other.node.config.active());
    assert_eq!(config.revision(), other.revision(), "{case}");
    assert!(
        config.document() == other.document(),
        "{case}: the documents differ"
    );
}

/// Guards against an interrupted snapshot or deletion that leaves an unreadable log.
#[async_std::test]
async fn crash_at_every_call() {
    let last = RETAINED_CHANGE_IDS + DELETED_CHANGES + 1;
    let filled = MemoryPlatform::default();
    // The reference daemon reads every change. An older snapshot lets the other daemons skip most of the log, which
    // shortens the test.
    let reference = loaded("reference", &filled).await;
    for revisions in [1..=OLDER_SNAPSHOT, OLDER_SNAPSHOT + 1..=last] {
        let newest = Revision::new(*revisions.end());
        store_changes(&filled, revisions, 0).await;
        wait_until("the changes are applied", || {
            reference.node.config.revision() == newest
        })
        .await;
        if newest == Revision::new(OLDER_SNAPSHOT) {
            reference.control.run_once(ControlDuty::Members).await;
        }
    }
    for fault in [Fault::CrashBefore, Fault::CrashAfter, Fault::AnswerLost] {
        for call in 1.. {
            let platform = copy(&filled).await;
            let first = loaded("control-a", &platform).await;
            first.platform.set_fault(call, fault);
            first.control.run_once(ControlDuty::Members).await;
            let case = format!("{fault:?} at call {call}");
            let fresh = loaded("fresh", &platform).await;
            assert_same(&fresh, &reference, &case);
            if !first.platform.fault_occurred() {
                assert!(call > DELETED_CHANGES + 5, "the round made only {call} calls");
                break;
            }
            fresh.take_over(ControlDuty::Members).await;
            let left = keys(&platform, CHANGE_PREFIX).await;
            assert_eq!(left.len() as u64, last - DELETED_CHANGES, "{case}");
            assert_same(&loaded("later", &platform).await, &reference, &case);
        }
    }
}

/// Returns a platform with the same objects except leases.
async fn copy(platform: &MemoryPlatform) -> MemoryPlatform {
    let other = MemoryPlatform::default();
    let objects = platform.list("").await.unwrap().objects;
    for object in objects
        .into_iter()
        .filter(|object| !object.key.starts_with("lease/"))
    {
        let put = other.put(&object.key, object.object.value, Condition::Absent);
        put.await.unwrap();
    }
    other
}

/// Guards against snapshots that exceed the value size limit of the platform, and against old snapshots that
/// accumulate.
#[async_std::test]
async fn split_snapshot() {
    let platform = MemoryPlatform::default();
    let mut last = 0;
    let daemon = loaded("control-a", &platform).await;
    for _ in 0..4 {
        store_changes(&platform, last + 1..=last + 260, 5_000).await;
        last += 260;
        let revision = Revision::new(last);
        wait_until("the changes are applied", || {
            daemon.node.config.revision() == revision
        })
        .await;
        daemon.control.run_once(ControlDuty::Members).await;
    }
    let listing = platform.list(SNAPSHOT_PREFIX).await.unwrap();
    let bytes: usize = listing
        .objects
        .iter()
        .map(|object| object.object.value.len())
        .sum();
    assert!(
        bytes > 2 * MAX_VALUE_BYTES,
        "{bytes} bytes fit into one value, so the snapshot was not split"
    );
    let manifests: Vec<String> = keys(&platform, SNAPSHOT_PREFIX).await;
    let manifests = manifests.iter().filter(|key| key.split('/').count() == 3);
    assert_eq!(manifests.count(), 2, "old snapshots were not deleted");
    let fresh = loaded("fresh", &platform).await;
    assert_same(&fresh, &daemon, "from the snapshot");
    assert_eq!(
        fresh.node.config.history().len(),
        daemon.node.config.history().len(),
        "history"
    );
}

/// Guards against a daemon that is far behind and accepts a change at a revision that was deleted.
#[async_std::test]
async fn proposal_far_behind() {
    let platform = MemoryPlatform::default();
    store_changes(&platform, 1..=RETAINED_CHANGE_IDS + 21, 0).await;
    let current = loaded("control-a", &platform).await;
    current.control.run_once(ControlDuty::Members).await;
    let behind = Daemon::new("control-b", &platform, &WallClock::default());
    for revision in 1..=10 {
        let applied = behind
            .node
            .config
            .apply(Revision::new(revision), &change(revision, 0));
        applied.unwrap();
    }
    let error = behind.node.propose(&change(11, 3)).await.unwrap_err();
    assert_eq!(error.code(), ResultCode::NotFresh);
    assert_eq!(behind.node.config.revision(), Revision::new(10));
    let first = keys(&platform, CHANGE_PREFIX).await.remove(0);
    assert_eq!(first, change_key(Revision::new(21)));
    behind.load_config().await;
    assert_same(&behind, &current, "after it caught up");
}
