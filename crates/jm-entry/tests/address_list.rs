//! The list of entry daemons that callers receive.

#[path = "common/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]
mod common;

use common::{Fixture, get};
use jm_node::MemberRecord;
use jm_types::{DurationMs, Incarnation, MemberId};
use serde_json::Value;

fn record(id: &str, zone: &str, leaving: bool) -> MemberRecord {
    MemberRecord {
        id: MemberId::new(id).unwrap(),
        incarnation: Incarnation::new(1),
        roles: vec!["entry".to_owned()],
        zone: zone.parse().unwrap(),
        region: "region".parse().unwrap(),
        link_address: None,
        entry_address: Some(format!("{id}:1")),
        leaving,
    }
}

async fn addresses(fixture: &Fixture) -> Value {
    let (status, content) = fixture.json(get("/v1/addresses", None)).await;
    assert_eq!((status, &content["keep_s"]), (200, &Value::from(5)));
    content["addresses"].clone()
}

/// Guards against a list that includes daemons which are stopping, have failed or are not entry daemons.
#[async_std::test]
async fn only_available_daemons_are_listed() {
    let fixture = Fixture::start(0).await;
    let node = &fixture.node;
    let far = record("far", "zone-b", false);
    let records = vec![
        far.clone(),
        record("leaving", "zone-a", true),
        record("near", "zone-a", false),
        MemberRecord {
            roles: vec!["dispatch".to_owned()],
            ..record("dispatch", "zone-a", false)
        },
    ];
    node.peers.set_registered(records, node.now(), node.now());
    let all = addresses(&fixture).await;
    assert_eq!(all, serde_json::json!(["127.0.0.1:7000", "near:1", "far:1"]));
    fixture.clock.advance(DurationMs::new(5_000));
    node.peers
        .record_contact(&far.id, Default::default(), false, node.now());
    common::wait_until(|| node.is_fresh()).await;
    assert_eq!(
        addresses(&fixture).await,
        serde_json::json!(["127.0.0.1:7000", "far:1"])
    );
    fixture.trigger.leave();
    assert_eq!(addresses(&fixture).await, serde_json::json!(["far:1"]));
}

/// Guards against a daemon that lists itself although it refuses keyed requests.
#[async_std::test]
async fn stale_daemon_is_not_listed() {
    let fixture = Fixture::start(1).await;
    fixture.lose_freshness().await;
    assert_eq!(addresses(&fixture).await, serde_json::json!([]));
}
