//! `GET /v1/addresses`: the addresses to which callers connect.

use jm_config::Role;
use jm_http::{Response, StatusCode};
use jm_node::{Node, Peer};
use serde::Serialize;

use crate::{input::json_response, refusal::Refusal};

/// How long callers cache the answer, in seconds, when the settings do not define it.
const DEFAULT_KEEP_S: u64 = 5;

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<String>,
    keep_s: u64,
}

/// The entry daemons that accept new requests: first those in the zone of this daemon, then those in its region, then
/// all others.
pub(crate) fn addresses(node: &Node) -> Result<Response, Refusal> {
    let mut peers = node.peers.all(node.now());
    peers.retain(|peer| serves_callers(node, peer));
    let own = node.peers.own_record();
    peers.sort_by_key(|peer| (peer.record.zone != own.zone, peer.record.region != own.region));
    let addresses = peers.into_iter().filter_map(|peer| peer.record.entry_address);
    let settings = node.settings.entry.as_ref();
    let content = Addresses {
        addresses: addresses.collect(),
        keep_s: settings.map_or(DEFAULT_KEEP_S, |entry| entry.keep_s),
    };
    json_response(StatusCode::Ok, &content)
}

fn serves_callers(node: &Node, peer: &Peer) -> bool {
    let is_own = peer.record.id == *node.peers.own_id();
    let is_available = match is_own {
        true => !node.stop.is_leaving() && node.is_fresh(),
        false => peer.live,
    };
    is_available && !peer.record.leaving && peer.record.has_role(Role::Entry)
}
