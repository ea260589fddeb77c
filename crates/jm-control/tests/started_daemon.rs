//! Guards against duties that work round by round in other tests but fail in a running daemon, over HTTP, with lost
//! answers and an outage of the platform.

mod common;

use std::sync::Arc;

use async_std::{net::TcpListener, task};
use common::{WallClock, new_node, platform_of, reported_requests, store_config, store_part, wait_until};
use futures::FutureExt;
use jm_control::Control;
use jm_http::Limits;
use jm_link::{FleetSecret, LinkOptions, LinkPool, LinkServer, PeerReply, PeerRequest};
use jm_node::{ConfigReplica, Node};
use jm_platform::{HttpPlatform, MemoryPlatform, SpareTarget, TargetKind, TargetOrders};
use jm_standins::{PlatformOptions, PlatformServer};
use jm_types::{DurationMs, Incarnation, Revision, SystemClock};
use jm_usage::{GRACE_MS, WINDOW_MS, WindowId};

const CONFIG: &str = "\
[zone riga-a]
region = baltic-north
[service order-desk]
kind = plain
access = keyed
timeout = 10s
[capacity order-desk]
service = order-desk
regular_min = 2
regular_max = 3
cheap_min = 0
cheap_max = 0
";

const WINDOW: u64 = 1_000;
const REQUESTS: u64 = 5;

async fn fill(platform: &MemoryPlatform) {
    store_config(platform, CONFIG).await;
    for number in 0..4 {
        platform.add_spare(SpareTarget {
            id: format!("desk-{number}").parse().unwrap(),
            zone: "riga-a".parse().unwrap(),
            kind: TargetKind::Regular,
            address: format!("10.0.0.{number}:8000").parse().unwrap(),
        });
    }
    store_part(platform, WINDOW, 1, REQUESTS).await;
}

async fn new_daemon(server: &PlatformServer) -> (Arc<Node>, Arc<Control>) {
    let platform = Arc::new(HttpPlatform::new(server.address(), Limits::default()));
    let node = new_node("control-a", platform_of(&platform), Arc::new(SystemClock));
    task::spawn(ConfigReplica::follow(Arc::clone(&node)));
    let wall_clock = WallClock::default();
    wall_clock.set((WINDOW + 1) * WINDOW_MS.get() + GRACE_MS.get());
    let control = Control::new(Arc::clone(&node), wall_clock.options());
    (node, control)
}

/// Guards against wrong usage figures or surplus targets after lost answers and an outage.
#[async_std::test]
async fn lost_answers_and_outage() {
    let server = PlatformServer::start(PlatformOptions::default()).await.unwrap();
    let platform = server.platform().clone();
    fill(&platform).await;
    server.set_faults(|faults| {
        faults.lose_every = 3;
        faults.down = true;
    });
    let (_, control) = new_daemon(&server).await;
    control.start();
    wait_until("calls are refused", || server.total_calls() > 5).await;
    server.set_faults(|faults| faults.down = false);
    wait_until("the window is reported and the targets are ordered", || {
        let ordered = task::block_on(platform.targets()).unwrap();
        platform.reports().len() == 1 && ordered.len() == 2
    })
    .await;
    let (window, body) = platform.reports().remove(0);
    assert_eq!(window, WindowId::new(WINDOW).to_string());
    assert_eq!(reported_requests(&body), REQUESTS);
}

async fn replies(pool: &LinkPool, address: &str, request: PeerRequest) -> Vec<PeerReply> {
    let mut stream = pool.call(address, request).await.unwrap();
    let mut replies = Vec::new();
    while let Some(reply) = stream.next_within(DurationMs::new(10_000)).await.unwrap() {
        replies.push(reply);
    }
    replies
}

/// Guards against a control daemon with which other daemons cannot exchange revisions or changes.
#[async_std::test]
async fn answers_calls() {
    let server = PlatformServer::start(PlatformOptions::default()).await.unwrap();
    fill(server.platform()).await;
    let (node, control) = new_daemon(&server).await;
    wait_until("the configuration is read", || node.config.is_loaded()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (secret, options) = (FleetSecret::new("secret"), LinkOptions::default());
    let link = LinkServer::new(secret, options, control.link_handler());
    let never = futures::future::pending::<()>().shared();
    task::spawn(Arc::new(link).serve(listener, never));
    let pool = LinkPool::new(FleetSecret::new("secret"), LinkOptions::default());

    let hello = PeerRequest::Hello {
        member: "entry-a".parse().unwrap(),
        incarnation: Incarnation::new(1),
        revision: Revision::new(0),
    };
    let revision = Revision::new(1);
    let answers = replies(&pool, &address, hello).await;
    assert!(
        matches!(&answers[..], [PeerReply::Accepted { revision: found }, PeerReply::Message(_)] if *found == revision)
    );
    let after = Revision::new(0);
    let answers = replies(&pool, &address, PeerRequest::ReadConfig { after }).await;
    assert!(matches!(answers[..], [PeerReply::Message(_)]));
    let answers = replies(&pool, &address, PeerRequest::Status).await;
    assert!(matches!(answers[..], [PeerReply::Message(_)]));
    let ticket = PeerRequest::IssueTicket {
        organisation: None,
        service: "order-desk".parse().unwrap(),
    };
    let answers = replies(&pool, &address, ticket).await;
    assert!(matches!(answers[..], [PeerReply::Refused { .. }]));
}
