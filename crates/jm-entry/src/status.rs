//! `GET /admin/v1/status`: the state of the fleet for operators.

use futures::future::join_all;
use jm_config::Role;
use jm_link::{LinkError, PeerReply, PeerRequest};
use jm_node::{Node, Peer, RouteError};
use jm_types::{DurationMs, MemberId, Revision, ZoneId};
use serde::Serialize;
use serde_json::{Value, json};

use crate::Entry;

/// Timeout of a status request to a dispatch daemon.
const STATUS_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

#[derive(Serialize)]
pub(crate) struct Status {
    daemon: MemberId,
    revision: Revision,
    fresh: bool,
    leaving: bool,
    open_requests: usize,
    members: Vec<MemberStatus>,
    dispatch: Vec<DispatchStatus>,
}

#[derive(Serialize)]
struct MemberStatus {
    id: MemberId,
    roles: Vec<String>,
    zone: ZoneId,
    live: bool,
    leaving: bool,
    revision: Revision,
}

/// The state of the targets and queues of a dispatch daemon, or an error.
#[derive(Serialize)]
struct DispatchStatus {
    daemon: MemberId,
    status: Value,
}

pub(crate) async fn status(entry: &Entry) -> Status {
    let node = &entry.node;
    let peers = node.peers.all(node.now());
    let dispatchers = peers
        .iter()
        .filter(|peer| peer.live && peer.record.has_role(Role::Dispatch));
    let dispatch = join_all(dispatchers.map(|peer| dispatch_status(node, &peer.record.id))).await;
    Status {
        daemon: node.peers.own_id().clone(),
        revision: node.config.revision(),
        fresh: node.is_fresh(),
        leaving: node.stop.is_leaving(),
        open_requests: entry.open_requests(),
        members: peers.into_iter().map(member_status).collect(),
        dispatch,
    }
}

fn member_status(peer: Peer) -> MemberStatus {
    MemberStatus {
        id: peer.record.id,
        roles: peer.record.roles,
        zone: peer.record.zone,
        live: peer.live,
        leaving: peer.record.leaving,
        revision: peer.revision,
    }
}

async fn dispatch_status(node: &Node, member: &MemberId) -> DispatchStatus {
    let status = match fetch_status(node, member).await {
        Ok(status) => status,
        Err(reason) => json!({ "error": reason }),
    };
    DispatchStatus {
        daemon: member.clone(),
        status,
    }
}

async fn fetch_status(node: &Node, member: &MemberId) -> Result<Value, String> {
    let replies = node.call_member(member, PeerRequest::Status).await;
    let mut replies = replies.map_err(|error: RouteError| error.to_string())?;
    let reply = replies.next_within(STATUS_TIMEOUT_MS).await;
    match reply.map_err(|error: LinkError| error.to_string())? {
        Some(PeerReply::Message(bytes)) => serde_json::from_slice(&bytes).map_err(|error| error.to_string()),
        Some(PeerReply::Refused { code, message }) => Err(format!("{code}: {message}")),
        _ => Err("the daemon did not send its status".to_owned()),
    }
}
