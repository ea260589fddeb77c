//! Guards against registrations of stopped daemons that are kept, and registrations of live daemons that are removed.

mod common;

use std::sync::Arc;

use async_std::task;
use common::{Daemon, WallClock, wait_until};
use jm_control::ControlDuty;
use jm_node::{MEMBER_PREFIX, MemberRecord, encode};
use jm_platform::{Condition, MemoryPlatform, ObjectStore};
use jm_types::{DurationMs, Incarnation, Revision};

const MINUTE: DurationMs = DurationMs::new(60_000);

fn record(daemon: &Daemon, id: &str) -> MemberRecord {
    MemberRecord {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(7),
        ..daemon.node.peers.own_record()
    }
}

async fn register(platform: &MemoryPlatform, record: &MemberRecord) {
    let key = format!("{MEMBER_PREFIX}{}", record.id);
    let put = platform.put(&key, encode(record), Condition::Any);
    put.await.unwrap();
}

async fn registered(platform: &MemoryPlatform) -> Vec<String> {
    let listing = platform.list(MEMBER_PREFIX).await.unwrap();
    listing.objects.into_iter().map(|object| object.key).collect()
}

/// Guards against the removal of a daemon that answers or was absent for less than ten minutes.
#[async_std::test]
async fn removed_after_ten_minutes() {
    let platform = MemoryPlatform::default();
    let daemon = Daemon::new("control-a", &platform, &WallClock::default());
    let own = daemon.node.peers.own_record();
    let records = ["alive", "dead", "restarted"].map(|id| record(&daemon, id));
    for record in records.iter().chain([&own]) {
        register(&platform, record).await;
    }
    let peers = &daemon.node.peers;
    peers.set_registered(records.to_vec(), daemon.node.now(), daemon.node.now());
    for minute in 0..=11 {
        let alive = &records[0].id;
        peers.record_contact(alive, Revision::default(), false, daemon.node.now());
        if minute == 5 {
            let restarted = MemberRecord {
                incarnation: Incarnation::new(8),
                ..records[2].clone()
            };
            register(&platform, &restarted).await;
        }
        daemon.control.run_once(ControlDuty::Members).await;
        if minute < 10 {
            assert_eq!(registered(&platform).await.len(), 4, "minute {minute}");
        }
        daemon.clock.advance(MINUTE);
    }
    let left = registered(&platform).await;
    assert_eq!(left, ["member/alive", "member/control-a", "member/restarted"]);
}

/// Guards against a running daemon that does not register again after its registration was removed.
#[async_std::test]
async fn registers_again() {
    let platform = MemoryPlatform::default();
    let daemon = Daemon::new("control-a", &platform, &WallClock::default());
    task::spawn(Arc::clone(&daemon.node).maintain_registration());
    let is_registered = || task::block_on(registered(&platform)).len() == 1;
    wait_until("the daemon is registered", is_registered).await;
    platform.delete("member/control-a", Condition::Any).await.unwrap();
    wait_until("the daemon is registered again", is_registered).await;
}
