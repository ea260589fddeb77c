//! Calls between hosts: one CBOR request and one CBOR reply over HTTP.
//!
//! Most of these calls forward a caller's request to the host that can answer it. Like such a request they are short,
//! have one reply, and are cancelled when the caller disconnects. The framed links of `jm-link` are meant for
//! long-lived connections.

mod cache_source;
mod message;
mod relay;
mod status_call;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::future::timeout;
use async_trait::async_trait;
use futures::{
    FutureExt,
    future::{join_all, select_ok},
};
use jm_batch::{
    BatchPeers, BatchState, Handover, HandoverReply, ItemText, OwnerNotice, ProgressReport, ResultPage,
};
use jm_http::{BufferBudget, Client, Limits, Method, Request, Reuse, StatusCode, Url};
use jm_node::{decode, encode};
use jm_platform::Version;
use jm_types::{BatchId, ByteSize, DurationMs, LogEvent, MemberId};
use rand::seq::IndexedRandom;
use serde_bytes::ByteBuf;

use crate::{cluster_state::ClusterState, membership::Membership};

pub(crate) use cache_source::PeerCacheSource;
pub use cache_source::{StoreSource, second_reader, store_source};
pub use message::{ObjectSpace, UsageCounts};
pub(crate) use message::{PeerReply, PeerRequest, WireCondition, wire_change, wire_object};
pub(crate) use relay::PeerRelay;
pub use status_call::{StatusError, fetch_status};

/// Path of all calls between hosts.
pub(crate) const PEER_PATH: &str = "/peer";

/// Timeout of a call, in addition to the wait that it requests.
const CALL_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// HTTP client for calls to other hosts.
pub(crate) struct PeerClient {
    client: Client,
    membership: Arc<Membership>,
}

impl PeerClient {
    pub(crate) fn new(membership: Arc<Membership>, buffers: BufferBudget) -> Self {
        let limits = Limits {
            body_bytes: ByteSize::new(64_000_000),
            connect_timeout_ms: DurationMs::new(300),
            idle_timeout_ms: DurationMs::new(5_000),
            answer_timeout_ms: DurationMs::new(4_000),
            ..Limits::default()
        };
        Self {
            client: Client::new(limits).with_budget(buffers),
            membership,
        }
    }

    /// Calls one host. Returns `None` when the call fails or times out.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        wait: DurationMs,
    ) -> Option<PeerReply> {
        self.call_within(address, request, wait.saturating_add(CALL_TIMEOUT_MS))
            .await
    }

    /// Like [`Self::call`], with `limit` as the timeout of the whole call.
    async fn call_within(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        limit: DurationMs,
    ) -> Option<PeerReply> {
        let result = timeout(limit.as_std(), self.exchange(address, request)).await;
        let failure = match result {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(reason)) => reason,
            Err(_) => "no answer in time".to_owned(),
        };
        LogEvent::ConnectionFailed.write(format_args!("call to the host at {address} failed: {failure}"));
        None
    }

    async fn exchange(&self, address: SocketAddr, request: &PeerRequest) -> Result<PeerReply, String> {
        let url = Url::parse(&format!("http://{address}{PEER_PATH}")).map_err(|error| error.to_string())?;
        let mut call = Request::new(Method::Post, url);
        call.set_body(encode(request));
        let reuse = match request {
            PeerRequest::PutObject { .. } => Reuse::Fresh,
            _ => Reuse::Pooled,
        };
        let sent = self.client.send_to(address.to_string(), call, reuse).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        if response.status() != StatusCode::Ok {
            return Err(format!("status {}", response.status()));
        }
        let body = self.client.read_body(&mut response).await;
        let body = body.map_err(|error| error.to_string())?;
        decode(&body).map_err(|error| error.to_string())
    }

    pub(crate) async fn call_member(
        &self,
        member: &MemberId,
        request: &PeerRequest,
        wait: DurationMs,
    ) -> Option<PeerReply> {
        let address = self.membership.peer_address(member)?;
        self.call(address, request, wait).await
    }

    /// Calls all live hosts at once, each for up to `limit`, and returns the replies that arrived.
    pub(crate) async fn call_all(&self, request: &PeerRequest, limit: DurationMs) -> Vec<PeerReply> {
        let others = self.membership.live_peers();
        let addresses = others
            .iter()
            .filter_map(|(member, _)| self.membership.peer_address(member));
        let calls = addresses.map(|address| self.call_within(address, request, limit));
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Calls up to two random live hosts, one after the other, and returns the first usable reply.
    async fn call_any(&self, request: &PeerRequest) -> Option<PeerReply> {
        let others = self.membership.live_peers();
        let chosen: Vec<MemberId> = {
            let mut random = rand::rng();
            let chosen = others.choose_multiple(&mut random, MAX_RELAY_ATTEMPTS);
            chosen.map(|(member, _)| member.clone()).collect()
        };
        for member in chosen {
            match self.call_member(&member, request, DurationMs::new(500)).await {
                None | Some(PeerReply::StoreUnavailable) => {}
                reply => return reply,
            }
        }
        None
    }
}

/// Maximum number of hosts that are called in turn to relay one store call.
const MAX_RELAY_ATTEMPTS: usize = 2;

#[async_trait]
impl BatchPeers for PeerClient {
    async fn read(
        &self,
        owner: &MemberId,
        batch: &BatchId,
        after: usize,
        wait: DurationMs,
    ) -> Option<ResultPage> {
        let request = PeerRequest::ReadBatch {
            batch: batch.clone(),
            after,
            wait_ms: wait,
        };
        match self.call_member(owner, &request, wait).await? {
            PeerReply::Page(page) => page,
            _ => None,
        }
    }

    async fn body(&self, owner: &MemberId, batch: &BatchId, item: &str) -> Option<Vec<u8>> {
        let request = PeerRequest::ItemBody {
            batch: batch.clone(),
            item: item.to_owned(),
        };
        match self.call_member(owner, &request, DurationMs::new(0)).await? {
            PeerReply::ItemBody(body) => body.map(ByteBuf::into_vec),
            _ => None,
        }
    }

    async fn hand_over(&self, handover: Handover) -> HandoverReply {
        let owner = handover.state.owner.clone();
        let request = PeerRequest::Handover(Box::new(handover));
        match self.call_member(&owner, &request, DurationMs::new(0)).await {
            Some(PeerReply::RunsBatch(true)) => HandoverReply::Accepted,
            Some(_) => HandoverReply::Refused,
            None => HandoverReply::NoAnswer,
        }
    }

    async fn report(&self, owner: &MemberId, report: ProgressReport) -> bool {
        let request = PeerRequest::Progress(report);
        let reply = self.call_member(owner, &request, DurationMs::new(0)).await;
        matches!(reply, Some(PeerReply::RunsBatch(true)))
    }

    async fn notify(&self, notice: OwnerNotice) {
        let request = PeerRequest::OwnerNotice(notice);
        let others = self.membership.live_peers();
        let calls = others
            .iter()
            .map(|(member, _)| self.call_member(member, &request, DurationMs::new(0)));
        // A host that does not answer learns the owner from the store.
        join_all(calls).await;
    }

    async fn announce(&self, state: &BatchState, version: Version, texts: Vec<ItemText>) {
        let request = PeerRequest::BatchState {
            state: state.clone(),
            version,
            texts,
        };
        // A host that does not answer finds the batch state in the store.
        self.call_member(&state.owner, &request, DurationMs::new(0)).await;
    }
}

/// Fetches the registrations and the configuration from the seeds, so that a host can start while the store does not
/// answer.
pub(crate) async fn bootstrap_from_seeds(
    client: &PeerClient,
    seeds: &[SocketAddr],
    membership: &Membership,
    cluster: &ClusterState,
) {
    let calls = seeds.iter().map(|seed| {
        async move {
            let members = client
                .call(*seed, &PeerRequest::Members, DurationMs::new(0))
                .await;
            let configuration = client
                .call(*seed, &PeerRequest::Configuration, DurationMs::new(0))
                .await;
            members.map(|members| (members, configuration)).ok_or(())
        }
        .boxed()
    });
    let calls: Vec<_> = calls.collect();
    if calls.is_empty() {
        return;
    }
    let Ok(((members, configuration), _)) = select_ok(calls).await else {
        LogEvent::ConnectionFailed.write("no seed host answered");
        return;
    };
    if let PeerReply::Members(members) = members {
        membership.add_registrations(members);
    }
    if let Some(PeerReply::Configuration(value)) = configuration
        && !value.is_empty()
    {
        cluster.apply_routing(&value);
    }
}

/// Delay between two attempts to bootstrap from the seeds.
pub(crate) const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
