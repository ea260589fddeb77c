//! Concurrent configuration changes of several operators through two daemons that share a store.

use std::sync::Arc;

use async_std::task;
use futures::future::join_all;
use jm_config::{Author, Change, Edit, Settings};
use jm_http::Limits;
use jm_node::{ConfigReplica, Node, NodeOptions, Platform, ProposeError, Stop};
use jm_platform::{HttpPlatform, ObjectStore};
use jm_standins::{PlatformOptions, PlatformServer};
use jm_types::{DurationMs, ManualClock, ResultCode, Revision, Timestamp};

const SETTINGS: &str = include_str!("../../../config/host-a.ini");

struct Fleet {
    server: PlatformServer,
    clock: Arc<ManualClock>,
    nodes: [Arc<Node>; 2],
}

fn node(id: &str, server: &PlatformServer, clock: &Arc<ManualClock>) -> Arc<Node> {
    let platform = Arc::new(HttpPlatform::new(server.address(), Limits::default()));
    Node::new(NodeOptions {
        settings: Settings::parse("settings.ini", &SETTINGS.replace("host-a", id)).expect("valid settings"),
        platform: Platform {
            objects: Arc::clone(&platform) as _,
            hosts: Arc::clone(&platform) as _,
            targets: Arc::clone(&platform) as _,
            usage: Arc::clone(&platform) as _,
            weights: platform,
        },
        clock: Arc::clone(clock) as _,
        stop: Stop::new().1,
    })
}

impl Fleet {
    /// Starts two nodes that read changes only while they propose their own. Each node is the only registered daemon in
    /// its list and therefore a majority.
    async fn start() -> Self {
        let server = PlatformServer::start(PlatformOptions::default()).await.unwrap();
        let clock = Arc::new(ManualClock::new(Timestamp::new(1_000_000)));
        let nodes = ["one", "two"].map(|id| node(id, &server, &clock));
        for node in &nodes {
            node.peers.set_registered(Vec::new(), node.now(), node.now());
        }
        Self { server, clock, nodes }
    }

    /// The number of changes with the given id in the stored log.
    async fn stored(&self, id: &str) -> usize {
        let objects = self
            .server
            .platform()
            .list("config/change/")
            .await
            .unwrap()
            .objects;
        let has_id = |value: &[u8]| jm_node::decode::<Change>(value).unwrap().change_id.as_str() == id;
        objects
            .iter()
            .filter(|object| has_id(&object.object.value))
            .count()
    }
}

fn change(id: &str, section: &str, expected: Option<u64>, name: &str) -> Change {
    Change {
        change_id: id.parse().unwrap(),
        author: Author {
            actor: id.to_owned(),
            team: None,
        },
        base: Revision::new(expected.unwrap_or(0)),
        edits: vec![Edit {
            section: section.parse().unwrap(),
            expected: expected.map(Revision::new),
            body: Some(format!("name = {name}\n").parse().unwrap()),
        }],
    }
}

/// Guards against a change that is lost or refused because another operator changed another section.
#[async_std::test]
async fn concurrent_changes_to_different_sections_are_accepted() {
    let fleet = Fleet::start().await;
    let changes: Vec<_> = (0..8)
        .map(|number| {
            change(
                &format!("c{number}"),
                &format!("organisation org-{number}"),
                None,
                "x",
            )
        })
        .collect();
    let proposals = changes
        .iter()
        .enumerate()
        .map(|(number, change)| fleet.nodes[number % 2].propose(change));
    let mut revisions: Vec<_> = join_all(proposals)
        .await
        .into_iter()
        .map(|accepted| accepted.unwrap().revision)
        .collect();
    revisions.sort();
    assert_eq!(revisions, (1..=8).map(Revision::new).collect::<Vec<_>>());
}

/// Guards against a change that silently overwrites a concurrent change of another operator.
#[async_std::test]
async fn one_of_two_concurrent_changes_to_a_section_is_accepted() {
    let fleet = Fleet::start().await;
    let changes = [
        change("a", "organisation x", None, "A"),
        change("b", "organisation x", None, "B"),
    ];
    let proposals = fleet
        .nodes
        .iter()
        .zip(&changes)
        .map(|(node, change)| node.propose(change));
    let (accepted, refused): (Vec<_>, Vec<_>) =
        join_all(proposals).await.into_iter().partition(Result::is_ok);
    assert_eq!((accepted.len(), refused.len()), (1, 1));
    let error = refused.into_iter().next().unwrap().unwrap_err();
    assert_eq!(error.code(), ResultCode::SectionConflict);
    assert!(error.to_string().contains("revision 1"), "{error}");
}

/// Guards against a change that is applied twice, or reported as refused, after the response of the store was lost.
#[async_std::test]
async fn lost_store_response_is_resolved_once() {
    let fleet = Fleet::start().await;
    let change = change("a", "organisation x", None, "A");
    fleet.server.set_faults(|faults| faults.lose_next = 1);
    let accepted = fleet.nodes[0].propose(&change).await.unwrap();
    assert_eq!(accepted.revision, Revision::new(1));
    let repeated = fleet.nodes[1].propose(&change).await.unwrap();
    assert_eq!(
        (repeated.revision, fleet.stored("a").await),
        (accepted.revision, 1)
    );
}

/// Guards against a retry with a used id that is stored again or replaces other edits.
#[async_std::test]
async fn retry_returns_the_accepted_revision() {
    let fleet = Fleet::start().await;
    let [first, second] = &fleet.nodes;
    let change_a = change("a", "organisation x", None, "A");
    first.propose(&change_a).await.unwrap();
    second
        .propose(&change("b", "organisation y", None, "B"))
        .await
        .unwrap();
    assert_eq!(
        second.propose(&change_a).await.unwrap().revision,
        Revision::new(1)
    );
    let reused = second
        .propose(&change("a", "organisation z", None, "Z"))
        .await
        .unwrap_err();
    assert_eq!(reused.code(), ResultCode::RequestMismatch);
    assert_eq!(fleet.stored("a").await, 1);
}

/// Guards against a change that is reported as accepted or unknown although the store was never reached.
#[async_std::test]
async fn change_is_not_stored_while_the_store_is_down() {
    let fleet = Fleet::start().await;
    let change = change("a", "organisation x", None, "A");
    fleet.server.set_faults(|faults| faults.down = true);
    let refused = fleet.nodes[0].propose(&change).await.unwrap_err();
    assert!(matches!(refused, ProposeError::Unavailable { .. }), "{refused}");
    fleet.server.set_faults(|faults| faults.down = false);
    assert_eq!(fleet.stored("a").await, 0);
    assert_eq!(
        fleet.nodes[1].propose(&change).await.unwrap().revision,
        Revision::new(1)
    );
}

/// Guards against a daemon that misses a change, returns to an older revision, or counts itself as a majority before it
/// has read the list of registered daemons.
#[async_std::test]
async fn follower_never_returns_to_an_older_revision() {
    let fleet = Fleet::start().await;
    let writer = &fleet.nodes[0];
    let follower = node("three", &fleet.server, &fleet.clock);
    let first = change("a", "organisation x", None, "A");
    writer.propose(&first).await.unwrap();
    let updates = follower.config.subscribe();
    task::spawn(ConfigReplica::follow(Arc::clone(&follower)));
    updates.recv().await.unwrap();
    let second = change("b", "organisation x", Some(1), "B");
    writer.propose(&second).await.unwrap();
    updates.recv().await.unwrap();
    follower.config.apply(Revision::new(1), &first).unwrap();
    assert_eq!(follower.config.view(), writer.config.view());
    let history = follower.config.history().into_iter();
    let ids: Vec<_> = history.map(|entry| entry.change_id.to_string()).collect();
    assert_eq!(ids, ["a", "b"]);
    assert!(follower.is_fresh());
    fleet.server.set_faults(|faults| faults.down = true);
    fleet.clock.advance(DurationMs::new(3_001));
    assert!(!follower.is_fresh());
    assert!(!follower.peers.majority_applied(Revision::new(1)));
}
