//! Guards against targets that are ordered twice, released while requests still run, or used while they are leaving.

mod common;

use std::collections::BTreeMap;

use common::{Daemon, WallClock, faulty::Fault, store_config, wait_until};
use jm_config::TargetState as MergedState;
use jm_control::ControlDuty;
use jm_node::{ORDERED_KEY, OrderedState, OrderedTargets, OrderedTargetsCache, decode, encode};
use jm_platform::{
    Host, HostState, MAX_VALUE_BYTES, MemoryOptions, MemoryPlatform, ObjectStore, SpareTarget, TargetKind,
    TargetOrder, TargetOrders,
};
use jm_types::{DurationMs, TargetId};

const MIN_ORDERED: usize = 3;

const CONFIG: &str = "\
[zone riga-a]
region = baltic-north
[zone riga-b]
region = baltic-north
[zone riga-c]
region = baltic-north
[service drafts]
kind = engine
model = rack-small
access = keyed
timeout = 2m
[target static-a]
service = drafts
zone = riga-a
address = 10.9.0.1:8000
kind = regular
checks_orders = yes
[capacity drafts]
service = drafts
regular_min = 1
regular_max = 4
cheap_min = 3
cheap_max = 6
";

const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];

fn add_spares(platform: &MemoryPlatform) {
    for (index, zone) in (1..).zip(ZONES) {
        for number in 0..6 {
            platform.add_spare(SpareTarget {
                id: format!("cheap-{zone}-{number}").parse().unwrap(),
                zone: zone.parse().unwrap(),
                kind: TargetKind::Cheap,
                address: format!("10.{index}.0.{number}:8000").parse().unwrap(),
            });
        }
    }
}

async fn new_platform() -> MemoryPlatform {
    platform_with(MemoryOptions::default()).await
}

async fn platform_with(options: MemoryOptions) -> MemoryPlatform {
    let platform = MemoryPlatform::new(options);
    store_config(&platform, CONFIG).await;
    add_spares(&platform);
    platform
}

async fn new_daemon(id: &str, platform: &MemoryPlatform) -> Daemon {
    let daemon = Daemon::new(id, platform, &WallClock::default());
    daemon.load_config().await;
    daemon
}

async fn published(platform: &MemoryPlatform) -> OrderedTargets {
    let object = platform.get(ORDERED_KEY).await.unwrap().unwrap();
    decode(&object.value).unwrap()
}

/// Returns the published state of each target.
async fn states(platform: &MemoryPlatform) -> BTreeMap<TargetId, OrderedState> {
    let groups = published(platform).await.groups;
    let entries = groups.into_iter().flat_map(|group| group.targets);
    entries.map(|entry| (entry.id, entry.state)).collect()
}

async fn check_min_ordered(platform: &MemoryPlatform, case: &str) {
    let listed = platform.targets().await.unwrap();
    assert_eq!(listed.len(), MIN_ORDERED, "{case}: {listed:?}");
    let ids: Vec<TargetId> = listed.iter().map(|target| target.id.clone()).collect();
    let published: Vec<TargetId> = states(platform).await.into_keys().collect();
    assert_eq!(published, ids, "{case}");
}

/// Guards against orders that put all targets into one zone.
#[async_std::test]
async fn least_numbers() {
    let platform = new_platform().await;
    let daemon = new_daemon("control-a", &platform).await;
    daemon.control.run_once(ControlDuty::Targets).await;
    check_min_ordered(&platform, "first plan").await;
    let listed = platform.targets().await.unwrap();
    let zones: Vec<&str> = listed.iter().map(|target| target.zone.as_str()).collect();
    assert_eq!(zones, ZONES);
}

/// Guards against a second target for an order whose sender crashed or whose answer was lost.
#[async_std::test]
async fn fault_at_every_call() {
    for fault in [Fault::CrashBefore, Fault::CrashAfter, Fault::AnswerLost] {
        for call in 1.. {
            let platform = new_platform().await;
            let first = new_daemon("control-a", &platform).await;
            first.platform.set_fault(call, fault);
            first.control.run_once(ControlDuty::Targets).await;
            if !first.platform.fault_occurred() {
                assert!(call > 8, "the round made only {call} calls");
                break;
            }
            let second = match fault {
                Fault::AnswerLost => first,
                _ => new_daemon("control-b", &platform).await,
            };
            second.take_over(ControlDuty::Targets).await;
            check_min_ordered(&platform, &format!("{fault:?} at call {call}")).await;
        }
    }
}

/// Guards against duplicate orders of two daemons that both assume that they hold the lease, including on a platform
/// that does not check fencing numbers.
#[async_std::test]
async fn two_holders() {
    for check_fencing in [true, false] {
        for call in 1.. {
            let options = MemoryOptions {
                check_fencing,
                ..MemoryOptions::default()
            };
            let platform = platform_with(options).await;
            if !frozen_at(call, &platform).await {
                break;
            }
            let case = format!("frozen at call {call}, fencing checked: {check_fencing}");
            check_min_ordered(&platform, &case).await;
        }
    }
}

/// Freezes a holder at a call, lets another daemon take over, and resumes the holder. Returns `false` if the holder
/// made fewer calls.
async fn frozen_at(call: u64, platform: &MemoryPlatform) -> bool {
    let frozen = new_daemon("control-a", platform).await;
    let second = new_daemon("control-b", platform).await;
    frozen.platform.set_fault(call, Fault::Pause);
    let round = Box::pin(frozen.control.run_once(ControlDuty::Targets));
    let takeover = Box::pin(async {
        frozen.platform.paused().await;
        frozen.platform.block_leases();
        second.take_over(ControlDuty::Targets).await;
        frozen.platform.resume();
    });
    match futures::future::select(round, takeover).await {
        futures::future::Either::Left(_) => return false,
        futures::future::Either::Right((_, round)) => round.await,
    }
    let newest = published(platform).await.fencing;
    frozen.control.run_once(ControlDuty::Targets).await;
    let fencing = published(platform).await.fencing;
    assert_eq!(fencing, newest, "the older holder published at call {call}");
    true
}

/// Guards against new work for reclaimed targets, and against orders in a zone whose targets were just reclaimed.
#[async_std::test]
async fn reclaimed_zone() {
    let platform = new_platform().await;
    let daemon = new_daemon("control-a", &platform).await;
    daemon.control.run_once(ControlDuty::Targets).await;
    let reclaimed = platform.reclaim(&"riga-b".parse().unwrap(), TargetKind::Cheap);
    assert_eq!(reclaimed.len(), 1);
    daemon.clock.advance(DurationMs::new(1_000));
    daemon.control.run_once(ControlDuty::Targets).await;
    assert_eq!(states(&platform).await[&reclaimed[0]], OrderedState::Leaving);
    daemon.clock.advance(DurationMs::new(10_000));
    daemon.control.run_once(ControlDuty::Targets).await;
    let serving = states(&platform).await.into_iter();
    let serving: Vec<TargetId> = serving
        .filter(|(_, state)| *state == OrderedState::Serving)
        .map(|(id, _)| id)
        .collect();
    assert_eq!(serving.len(), MIN_ORDERED);
    assert!(
        serving.iter().all(|id| !id.as_str().contains("riga-b")),
        "{serving:?}"
    );
}

/// Guards against new work on a leaving host, for ordered and for configured targets.
#[async_std::test]
async fn leaving_host() {
    let platform = new_platform().await;
    let daemon = new_daemon("control-a", &platform).await;
    async_std::task::spawn(OrderedTargetsCache::follow(daemon.node.clone()));
    daemon.control.run_once(ControlDuty::Targets).await;
    let ordered = platform.targets().await.unwrap()[0].clone();
    for (id, ip) in [
        ("host-1", "10.9.0.1".parse().unwrap()),
        ("host-2", ordered.address.ip()),
    ] {
        platform.set_host(Host {
            id: id.to_owned(),
            address: (ip, 7000).into(),
            state: HostState::Leaving,
        });
    }
    daemon.clock.advance(DurationMs::new(1_000));
    daemon.control.run_once(ControlDuty::Targets).await;
    let is_leaving = |id: &str| {
        let targets = daemon.node.targets();
        let target = targets.into_iter().find(|target| target.id.as_str() == id);
        target.is_some_and(|target| target.state == MergedState::Leaving)
    };
    wait_until("both targets leave", || {
        is_leaving("static-a") && is_leaving(ordered.id.as_str())
    })
    .await;
}

/// Guards against a release while requests still run on the target, including when the holder changes during the
/// drain.
#[async_std::test]
async fn drained_before_release() {
    let platform = new_platform().await;
    let first = new_daemon("control-a", &platform).await;
    first.control.run_once(ControlDuty::Targets).await;
    let extra = TargetOrder {
        order_id: "drafts/riga-a/cheap/7".to_owned(),
        service: "drafts".parse().unwrap(),
        zone: "riga-a".parse().unwrap(),
        kind: TargetKind::Cheap,
        fencing: published(&platform).await.fencing,
    };
    let extra = platform.order(&extra).await.unwrap();
    first.clock.advance(DurationMs::new(10_000));
    first.control.run_once(ControlDuty::Targets).await;
    assert_eq!(states(&platform).await[&extra.id], OrderedState::Serving);
    first.clock.advance(DurationMs::new(600_000));
    first.control.run_once(ControlDuty::Targets).await;
    assert_eq!(states(&platform).await[&extra.id], OrderedState::Draining);
    let second = new_daemon("control-b", &platform).await;
    second.take_over(ControlDuty::Targets).await;
    assert_eq!(states(&platform).await[&extra.id], OrderedState::Draining);
    second.clock.advance(DurationMs::new(120_000));
    second.control.run_once(ControlDuty::Targets).await;
    assert_eq!(platform.targets().await.unwrap().len(), MIN_ORDERED + 1);
    second.clock.advance(DurationMs::new(10_000));
    second.control.run_once(ControlDuty::Targets).await;
    second.clock.advance(DurationMs::new(1_000));
    second.control.run_once(ControlDuty::Targets).await;
    check_min_ordered(&platform, "after the release").await;
}

/// Guards against an object that exceeds the value size limit of the platform at the target size of the fleet.
#[async_std::test]
async fn target_size() {
    let groups = (0..33).map(|group| jm_node::OrderedGroup {
        service: "drafts".parse().unwrap(),
        zone: format!("zone-{group}").parse().unwrap(),
        cheap: true,
        targets: (0..364)
            .map(|target| jm_node::OrderedEntry {
                id: format!("target-{group:02}-{target:06}").parse().unwrap(),
                address: "250.250.250.250:65000".parse().unwrap(),
                state: OrderedState::Serving,
            })
            .collect(),
    });
    let ordered = OrderedTargets {
        groups: groups.collect(),
        ..OrderedTargets::default()
    };
    assert!(encode(&ordered).len() < MAX_VALUE_BYTES);
}
