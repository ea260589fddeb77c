//! Periodic exchange of revisions and load summaries with the other daemons.

use std::sync::Arc;

use async_std::task;
use futures::future::join_all;
use jm_link::{LinkError, PeerReply, PeerRequest};
use jm_route::ServiceSummary;
use jm_types::{
    DurationMs, Incarnation, MemberId, ResultCode, Revision, ServiceId, TokenCount, WeightVersion,
};
use serde::{Deserialize, Serialize};

use crate::{MemberRecord, Node, codec};

/// Interval between exchanges with a daemon. Several intervals fit into [`crate::FRESHNESS_MS`], so that one lost
/// exchange does not make the configuration stale.
const HELLO_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Timeout for each reply of an exchange.
const HELLO_TIMEOUT_MS: DurationMs = DurationMs::new(1_500);

/// Body of the reply to `Hello`, which follows the revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HelloAnswer {
    /// The incarnation of the replying daemon.
    incarnation: Incarnation,
    /// Whether the daemon is about to stop.
    leaving: bool,
    /// Load of the targets that the daemon owns.
    owned: OwnedLoad,
}

/// Load report of a dispatch daemon about the targets that it owns. Its size depends on the number of services and
/// weight versions, not on the number of engines.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OwnedLoad {
    /// Load per service and zone.
    pub summaries: Vec<ServiceSummary>,
    /// Capacity per service and weight version.
    pub versions: Vec<VersionCapacity>,
}

/// Capacity for drafts on those engines of a service that report the same weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// The service that the engines run.
    pub service: ServiceId,
    /// The weight version that the engines report.
    pub version: WeightVersion,
    /// Sum of the token windows of the engines.
    pub window: TokenCount,
}

/// Exchanges revisions and load summaries with every registered daemon until the process ends.
pub async fn exchange_hellos(node: Arc<Node>) {
    loop {
        let own = node.peers.own_id().clone();
        let now = node.now();
        let others = node
            .peers
            .all(now)
            .into_iter()
            .filter(|peer| peer.record.id != own);
        let exchanges = others.map(|peer| exchange_with(Arc::clone(&node), peer.record));
        join_all(exchanges).await;
        node.peers.set_own_revision(node.config.revision());
        task::sleep(HELLO_INTERVAL_MS.as_std()).await;
    }
}

async fn exchange_with(node: Arc<Node>, record: MemberRecord) {
    let Some(address) = &record.link_address else {
        return;
    };
    let requested = node.now();
    let request = PeerRequest::Hello {
        member: node.peers.own_id().clone(),
        incarnation: node.incarnation,
        revision: node.config.revision(),
    };
    let Ok(Some((revision, answer))) = send_hello(&node, address, request).await else {
        return;
    };
    if answer.incarnation != record.incarnation {
        return;
    }
    let now = node.now();
    node.peers
        .record_answer(&record.id, revision, answer.leaving, requested, now);
    node.router.update(&record.id, answer.owned, now);
    if revision > node.config.revision() {
        fetch_changes(&node, address).await;
    }
}

async fn send_hello(
    node: &Node,
    address: &str,
    request: PeerRequest,
) -> Result<Option<(Revision, HelloAnswer)>, LinkError> {
    let mut replies = node.links.call(address, request).await?;
    let Some(PeerReply::Accepted { revision }) = replies.next_within(HELLO_TIMEOUT_MS).await? else {
        return Ok(None);
    };
    let Some(PeerReply::Message(answer)) = replies.next_within(HELLO_TIMEOUT_MS).await? else {
        return Ok(None);
    };
    Ok(codec::decode(&answer).ok().map(|answer| (revision, answer)))
}

/// Fetches changes from a daemon with a newer revision. This keeps the configuration current while the store is
/// unavailable.
async fn fetch_changes(node: &Node, address: &str) {
    let request = PeerRequest::ReadConfig {
        after: node.config.revision(),
    };
    let Ok(mut replies) = node.links.call(address, request).await else {
        return;
    };
    while let Ok(Some(PeerReply::Message(message))) = replies.next_within(HELLO_TIMEOUT_MS).await {
        let Ok((revision, change)) = codec::decode(&message) else {
            return;
        };
        if node.config.apply(revision, &change).is_err() {
            return;
        }
    }
    node.peers.set_own_revision(node.config.revision());
}

/// The replies to `Hello`: first the revision of this daemon, then its incarnation, whether it is leaving, and its
/// load.
pub fn answer_hello(node: &Node, member: &MemberId, revision: Revision, owned: OwnedLoad) -> [PeerReply; 2] {
    node.peers.record_contact(member, revision, false, node.now());
    let answer = HelloAnswer {
        incarnation: node.incarnation,
        leaving: node.stop.is_leaving(),
        owned,
    };
    [
        PeerReply::Accepted {
            revision: node.config.revision(),
        },
        PeerReply::Message(codec::encode(&answer).into()),
    ]
}

/// The replies to `ReadConfig`: the changes after a revision, or a refusal when this daemon no longer holds all of
/// them.
pub fn answer_read_config(node: &Node, after: Revision) -> Vec<PeerReply> {
    let Some(changes) = node.config.changes_after(after) else {
        let code = ResultCode::Internal;
        node.metrics.count_refusal(code);
        return vec![PeerReply::refused(
            code,
            "this daemon no longer holds all changes after the requested revision",
        )];
    };
    let changes = changes.iter();
    changes
        .map(|change| PeerReply::Message(codec::encode(change).into()))
        .collect()
}
