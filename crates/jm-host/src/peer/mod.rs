//! Messages between hosts: one request and one reply in CBOR over HTTP.
//!
//! Most of these calls stand for a caller's request that reached the wrong host, so they have its shape: short,
//! answered once, and given up when the caller leaves. The framed links of `jm-link` serve long conversations.

mod cache_source;
mod handler;
mod message;
mod relay;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::future::timeout;
use async_trait::async_trait;
use futures::FutureExt;
use futures::future::select_ok;
use jm_batch::{BatchPeers, BatchState, ItemText, ResultPage};
use jm_http::{Client, Limits, Method, Request, Reuse, StatusCode, Url};
use jm_node::{decode, encode};
use jm_platform::Version;
use jm_types::{BatchId, ByteSize, DurationMs, LogEvent, MemberId};
use rand::seq::IndexedRandom;
use serde_bytes::ByteBuf;

use crate::{cluster_state::ClusterState, membership::Membership};

pub(crate) use cache_source::PeerCacheSource;
pub use cache_source::{StoreSource, store_source};
pub(crate) use handler::PeerHandler;
pub use message::{ObjectSpace, UsageCounts};
pub(crate) use message::{PeerReply, PeerRequest};
pub(crate) use relay::PeerRelay;

/// Path of all calls between hosts.
pub(crate) const PEER_PATH: &str = "/peer";

/// Time that a call may take besides the wait that it asks for.
const CALL_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Calls other hosts.
pub(crate) struct PeerClient {
    client: Client,
    membership: Arc<Membership>,
}

impl PeerClient {
    pub(crate) fn new(membership: Arc<Membership>) -> Self {
        let limits = Limits {
            body_bytes: ByteSize::new(64_000_000),
            connect_timeout_ms: DurationMs::new(300),
            idle_timeout_ms: DurationMs::new(5_000),
            answer_timeout_ms: DurationMs::new(4_000),
            ..Limits::default()
        };
        Self {
            client: Client::new(limits),
            membership,
        }
    }

    /// Calls one host; none when it does not answer in time.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        wait: DurationMs,
    ) -> Option<PeerReply> {
        self.call_within(address, request, wait.saturating_add(CALL_TIMEOUT_MS))
            .await
    }

    /// Calls one host; none when it does not answer within `limit`.
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
        LogEvent::ConnectionFailed.write(format_args!("call to host at {address} failed: {failure}"));
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
        let body = response.body_bytes().await.map_err(|error| error.to_string())?;
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

    /// Asks two random live hosts and takes the first answer.
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

/// Hosts that are asked to relay one call, one after the other.
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

    async fn announce(&self, state: &BatchState, version: Version, texts: Vec<ItemText>) {
        let request = PeerRequest::BatchState {
            state: state.clone(),
            version,
            texts,
        };
        // A host that does not answer hears of its batch from the store.
        self.call_member(&state.owner, &request, DurationMs::new(0)).await;
    }
}

/// Asks seeds for the hosts and the configuration; for a start while the store does not answer.
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
        LogEvent::ConnectionFailed.write("no seed answers");
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

/// Wait between two tries to reach hosts by seeds.
pub(crate) const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
