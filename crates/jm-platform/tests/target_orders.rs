//! Ordering, releasing and reclaiming targets, in memory and through the HTTP client.

#[path = "common/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod common;

use common::{order, remote, spare, zone};
use jm_platform::{
    HostList, HostState, MemoryOptions, MemoryPlatform, OrderError, TargetKind, TargetOrders, TargetState,
};
use jm_types::{FencingNumber, TargetId};

fn add_spares(platform: &MemoryPlatform) {
    platform.add_spare(spare("cheap-1", "riga-a", TargetKind::Cheap));
    platform.add_spare(spare("cheap-2", "riga-a", TargetKind::Cheap));
    platform.add_spare(spare("regular-1", "riga-a", TargetKind::Regular));
    platform.add_spare(spare("cheap-3", "riga-b", TargetKind::Cheap));
}

async fn check_orders(orders: &dyn TargetOrders, platform: &MemoryPlatform) {
    add_spares(platform);
    let first = orders
        .order(&order("o1", "riga-a", TargetKind::Cheap, 3))
        .await
        .unwrap();
    assert_eq!((first.kind, &first.zone), (TargetKind::Cheap, &zone("riga-a")));
    let reused = orders.order(&order("o1", "riga-b", TargetKind::Cheap, 3)).await;
    assert_eq!(reused, Err(OrderError::OrderIdReused));
    orders
        .order(&order("o2", "riga-a", TargetKind::Regular, 3))
        .await
        .unwrap();
    let none_left = orders.order(&order("o3", "riga-a", TargetKind::Regular, 3)).await;
    assert_eq!(none_left, Err(OrderError::NoCapacity));
    let newest = FencingNumber::new(3);
    let stale = orders.order(&order("o4", "riga-b", TargetKind::Cheap, 2)).await;
    assert_eq!(stale, Err(OrderError::StaleFencing { newest }));
    let stale = orders.release(&first.id, FencingNumber::new(2)).await;
    assert_eq!(stale, Err(OrderError::StaleFencing { newest }));
    orders.release(&first.id, newest).await.unwrap();
    assert_eq!(
        orders.release(&first.id, newest).await,
        Err(OrderError::UnknownTarget)
    );
    assert_eq!(orders.targets().await.unwrap().len(), 1);
    assert_eq!(platform.orders_received(), 8);
}

/// Guards against accepting orders of a control daemon that has lost its lease, and against orders beyond the capacity.
#[async_std::test]
async fn order_and_release() {
    let memory = MemoryPlatform::default();
    check_orders(&memory, &memory).await;
    let remote = remote().await;
    check_orders(&remote.client, remote.server.platform()).await;
}

/// Guards against an ineffective option: without fencing checks, the platform must accept outdated fencing numbers.
#[async_std::test]
async fn fencing_ignored() {
    let options = MemoryOptions {
        check_fencing: false,
        ..MemoryOptions::default()
    };
    let platform = MemoryPlatform::new(options);
    add_spares(&platform);
    platform
        .order(&order("o1", "riga-a", TargetKind::Cheap, 5))
        .await
        .unwrap();
    platform
        .order(&order("o2", "riga-a", TargetKind::Cheap, 4))
        .await
        .unwrap();
}

/// Guards against a reclaim that misses targets of the zone or includes regular ones.
#[async_std::test]
async fn reclaim_zone() {
    let remote = remote().await;
    let platform = remote.server.platform();
    add_spares(platform);
    remote
        .client
        .order(&order("o1", "riga-a", TargetKind::Cheap, 1))
        .await
        .unwrap();
    remote
        .client
        .order(&order("o2", "riga-a", TargetKind::Regular, 1))
        .await
        .unwrap();
    let reclaimed = platform.reclaim(&zone("riga-a"), TargetKind::Cheap);
    assert_eq!(reclaimed, [TargetId::new("cheap-1").unwrap()]);
    let states: Vec<_> = remote
        .client
        .targets()
        .await
        .unwrap()
        .iter()
        .map(|target| target.state)
        .collect();
    assert_eq!(states, [TargetState::Leaving, TargetState::Live]);
    let none_left = remote
        .client
        .order(&order("o3", "riga-a", TargetKind::Cheap, 1))
        .await;
    assert_eq!(none_left, Err(OrderError::NoCapacity));
    platform.remove_leaving();
    assert_eq!(remote.client.targets().await.unwrap().len(), 1);
}

/// Guards against a host list that loses the leaving state in transfer.
#[async_std::test]
async fn leaving_host() {
    let remote = remote().await;
    let host = |state| jm_platform::Host {
        id: "host-1".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        state,
    };
    remote.server.platform().set_host(host(HostState::Live));
    assert_eq!(remote.client.hosts().await.unwrap(), [host(HostState::Live)]);
    remote.server.platform().set_host(host(HostState::Leaving));
    assert_eq!(remote.client.hosts().await.unwrap(), [host(HostState::Leaving)]);
    remote.server.platform().remove_host("host-1");
    assert!(remote.client.hosts().await.unwrap().is_empty());
}
