//! Exchange of revisions and load summaries with the other daemons.

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

/// Interval between two exchanges with the same daemon; several fit into the freshness time.
const HELLO_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Time after which an exchange is given up.
const HELLO_TIMEOUT_MS: DurationMs = DurationMs::new(1_500);

/// What a daemon answers besides its revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HelloAnswer {
    /// The answering run.
    incarnation: Incarnation,
    /// Whether the daemon is about to stop.
    leaving: bool,
    /// What it owns.
    owned: OwnedLoad,
}

/// What a dispatch daemon tells of its targets. Its size grows with services and versions, not with engines.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OwnedLoad {
    /// Load of the services whose targets it owns.
    pub summaries: Vec<ServiceSummary>,
    /// Weight versions of its engines.
    pub versions: Vec<VersionCapacity>,
}

/// Room for drafts on the engines of one service that report one weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// The service.
    pub service: ServiceId,
    /// The version that the engines report.
    pub version: WeightVersion,
    /// Sum of their windows.
    pub window: TokenCount,
}

/// Exchanges revisions and summaries with every registered daemon until the process ends.
pub async fn exchange_hellos(node: Arc<Node>) {
    loop {
        let own = node.peers.own_id().clone();
        let now = node.now();
        let others = node
            .peers
            .all(now)
            .into_iter()
            .filter(|peer| peer.record.id != own);
        let exchanges = others.map(|peer| exchange_one(Arc::clone(&node), peer.record));
        join_all(exchanges).await;
        node.peers.set_own_revision(node.config.revision());
        task::sleep(HELLO_INTERVAL_MS.as_std()).await;
    }
}

async fn exchange_one(node: Arc<Node>, record: MemberRecord) {
    let Some(address) = &record.link_address else {
        return;
    };
    let asked = node.now();
    let request = PeerRequest::Hello {
        member: node.peers.own_id().clone(),
        incarnation: node.incarnation,
        revision: node.config.revision(),
    };
    let Ok(Some((revision, answer))) = ask(&node, address, request).await else {
        return;
    };
    if answer.incarnation != record.incarnation {
        return;
    }
    let now = node.now();
    node.peers
        .record_answer(&record.id, revision, answer.leaving, asked, now);
    node.router.update(&record.id, answer.owned, now);
    if revision > node.config.revision() {
        read_changes(&node, address).await;
    }
}

async fn ask(
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

/// Takes changes from a daemon that is ahead, which keeps this one current while the store is down.
async fn read_changes(node: &Node, address: &str) {
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

/// The replies to `Hello`: the own revision, then run, stop and load.
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

/// The replies to `ReadConfig`: the changes after a revision, or a refusal when older ones are no longer held.
pub fn answer_read_config(node: &Node, after: Revision) -> Vec<PeerReply> {
    let Some(changes) = node.config.changes_after(after) else {
        let code = ResultCode::Internal;
        node.metrics.count_refusal(code);
        return vec![PeerReply::refused(code, "older changes are no longer held")];
    };
    let changes = changes.iter();
    changes
        .map(|change| PeerReply::Message(codec::encode(change).into()))
        .collect()
}
