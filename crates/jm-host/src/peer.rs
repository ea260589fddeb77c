//! Messages between hosts: one request and one reply in CBOR over HTTP.
//!
//! Most of these calls stand for a caller's request that reached the wrong host, so they have its shape: short,
//! answered once, and given up when the caller leaves. The framed links of `jm-link` serve long conversations.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::future::timeout;
use async_trait::async_trait;
use futures::FutureExt;
use futures::future::select_ok;
use indexmap::IndexMap;
use jm_batch::{BatchPeers, BatchService, ResultPage};
use jm_http::{Client, Connection, Handler, Limits, Method, Request, Response, Reuse, StatusCode, Url};
use jm_node::{decode, encode};
use jm_platform::{Condition, KeyedObject, Listing, Object, ObjectError, ObjectStore, ReadError, Version};
use jm_types::{BatchId, ByteSize, DurationMs, Incarnation, LogEvent, MemberId, OrganisationId};
use jm_usage::WindowId;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::{
    duty::UsageBook,
    membership::{Membership, Registration},
    relay::RelayPeer,
    world::World,
};

/// Path of all calls between hosts.
const PEER_PATH: &str = "/peer";

/// Time that a call may take besides the wait that it asks for.
const CALL_MS: DurationMs = DurationMs::new(1_000);

/// Which objects a relayed call concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectSpace {
    /// Objects of the product.
    Product,
    /// Objects of the platform.
    Platform,
}

/// Requests that one run of a host began, by window and organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// The counts of each window so far.
    pub windows: IndexMap<WindowId, IndexMap<OrganisationId, u64>>,
}

/// What one host asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    ReadBatch {
        batch: BatchId,
        after: usize,
        wait_ms: DurationMs,
    },
    Members,
    Configuration,
    Usage {
        host: MemberId,
        incarnation: Incarnation,
        counts: UsageCounts,
    },
    GetObject {
        space: ObjectSpace,
        key: String,
    },
    PutObject {
        space: ObjectSpace,
        key: String,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        condition: WireCondition,
    },
    ListObjects {
        space: ObjectSpace,
        prefix: String,
    },
}

/// [`Condition`] on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum WireCondition {
    Any,
    Absent,
    Version(Version),
}

impl From<Condition> for WireCondition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Any => Self::Any,
            Condition::Absent => Self::Absent,
            Condition::Version(version) => Self::Version(version),
        }
    }
}

impl From<WireCondition> for Condition {
    fn from(condition: WireCondition) -> Self {
        match condition {
            WireCondition::Any => Self::Any,
            WireCondition::Absent => Self::Absent,
            WireCondition::Version(version) => Self::Version(version),
        }
    }
}

/// An object with its key on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireObject {
    key: String,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
    version: Version,
}

/// What the other host answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Page(Option<ResultPage>),
    Members(Vec<Registration>),
    Configuration(#[serde(with = "serde_bytes")] Vec<u8>),
    Taken,
    Object(Option<WireObject>),
    Put(Version),
    Conflict(Option<Version>),
    Objects {
        objects: Vec<WireObject>,
        version: Version,
    },
    /// The store did not answer the other host either; nothing was changed.
    StoreUnavailable,
    /// The store's answer to the other host was lost.
    StoreAnswerLost,
}

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
        let limit = wait.saturating_add(CALL_MS).as_std();
        let result = timeout(limit, self.exchange(address, request)).await;
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
        let others = self.membership.others();
        let chosen: Vec<MemberId> = {
            let mut random = rand::rng();
            let chosen = others.choose_multiple(&mut random, RELAY_HOSTS);
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
const RELAY_HOSTS: usize = 2;

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
}

/// Relays the calls on one set of objects.
pub(crate) struct Relay {
    pub(crate) client: Arc<PeerClient>,
    pub(crate) space: ObjectSpace,
}

fn unavailable() -> ReadError {
    ReadError::ReadUnavailable {
        reason: "no host reached the store".to_owned(),
    }
}

#[async_trait]
impl RelayPeer for Relay {
    async fn get(&self, key: &str) -> Option<Result<Option<Object>, ReadError>> {
        let request = PeerRequest::GetObject {
            space: self.space,
            key: key.to_owned(),
        };
        match self.client.call_any(&request).await? {
            PeerReply::Object(object) => Some(Ok(object.map(|object| Object {
                value: object.value,
                version: object.version,
            }))),
            _ => Some(Err(unavailable())),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: Condition,
    ) -> Option<Result<Version, ObjectError>> {
        let request = PeerRequest::PutObject {
            space: self.space,
            key: key.to_owned(),
            value: value.to_vec(),
            condition: condition.into(),
        };
        // A relayed change whose answer is lost may be made, so only one host is asked.
        let (member, _) = self
            .client
            .membership
            .others()
            .choose(&mut rand::rng())
            .cloned()?;
        let lost = || ObjectError::AnswerLost {
            reason: "the answer of the relaying host was lost".to_owned(),
        };
        let result = match self
            .client
            .call_member(&member, &request, DurationMs::new(500))
            .await
        {
            Some(PeerReply::Put(version)) => Ok(version),
            Some(PeerReply::Conflict(current)) => Err(ObjectError::Conflict { current }),
            Some(PeerReply::StoreUnavailable) => Err(ObjectError::Unavailable {
                reason: "the store did not answer the relaying host either".to_owned(),
            }),
            _ => Err(lost()),
        };
        Some(result)
    }

    async fn list(&self, prefix: &str) -> Option<Result<Listing, ReadError>> {
        let request = PeerRequest::ListObjects {
            space: self.space,
            prefix: prefix.to_owned(),
        };
        match self.client.call_any(&request).await? {
            PeerReply::Objects { objects, version } => {
                let objects = objects
                    .into_iter()
                    .map(|object| KeyedObject {
                        key: object.key,
                        object: Object {
                            value: object.value,
                            version: object.version,
                        },
                    })
                    .collect();
                Some(Ok(Listing { objects, version }))
            }
            _ => Some(Err(unavailable())),
        }
    }
}

/// Answers other hosts.
pub(crate) struct PeerHandler {
    pub(crate) membership: Arc<Membership>,
    pub(crate) world: Arc<World>,
    pub(crate) batches: Arc<BatchService>,
    pub(crate) usage: Arc<UsageBook>,
    /// The stores without a relay, so that no call goes round.
    pub(crate) product_store: Arc<dyn ObjectStore>,
    pub(crate) platform_store: Arc<dyn ObjectStore>,
}

impl PeerHandler {
    async fn reply(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::ReadBatch {
                batch,
                after,
                wait_ms,
            } => PeerReply::Page(self.batches.read_owned(&batch, after, wait_ms).await),
            PeerRequest::Members => PeerReply::Members(self.membership.registrations()),
            PeerRequest::Configuration => PeerReply::Configuration(self.world.routing_value()),
            PeerRequest::Usage {
                host,
                incarnation,
                counts,
            } => {
                self.usage.take(host, incarnation, counts);
                PeerReply::Taken
            }
            PeerRequest::GetObject { space, key } => match self.store(space).get(&key).await {
                Ok(object) => PeerReply::Object(object.map(|object| WireObject {
                    key,
                    value: object.value,
                    version: object.version,
                })),
                Err(_) => PeerReply::StoreUnavailable,
            },
            PeerRequest::PutObject {
                space,
                key,
                value,
                condition,
            } => match self.store(space).put(&key, value, condition.into()).await {
                Ok(version) => PeerReply::Put(version),
                Err(ObjectError::Conflict { current }) => PeerReply::Conflict(current),
                Err(error) if error.may_be_applied() => PeerReply::StoreAnswerLost,
                Err(_) => PeerReply::StoreUnavailable,
            },
            PeerRequest::ListObjects { space, prefix } => match self.store(space).list(&prefix).await {
                Ok(listing) => PeerReply::Objects {
                    version: listing.version,
                    objects: listing.objects.into_iter().map(wire_object).collect(),
                },
                Err(_) => PeerReply::StoreUnavailable,
            },
        }
    }

    fn store(&self, space: ObjectSpace) -> &dyn ObjectStore {
        match space {
            ObjectSpace::Product => &*self.product_store,
            ObjectSpace::Platform => &*self.platform_store,
        }
    }
}

fn wire_object(object: KeyedObject) -> WireObject {
    WireObject {
        key: object.key,
        value: object.object.value,
        version: object.object.version,
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, mut request: Request, _connection: &Connection) -> Response {
        if request.url().path() != PEER_PATH {
            return Response::new(StatusCode::NotFound);
        }
        let body = match request.body_bytes().await {
            Ok(body) => body,
            Err(error) => {
                LogEvent::ConnectionFailed.write(format_args!("a host's call cannot be read: {error}"));
                return Response::new(StatusCode::BadRequest);
            }
        };
        match decode::<PeerRequest>(&body) {
            Ok(request) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(encode(&self.reply(request).await));
                response
            }
            Err(error) => {
                LogEvent::ConnectionFailed.write(format_args!("a host's call cannot be decoded: {error}"));
                Response::new(StatusCode::BadRequest)
            }
        }
    }
}

/// Asks seeds for the hosts and the configuration; for a start while the store does not answer.
pub(crate) async fn ask_seeds(
    client: &PeerClient,
    seeds: &[SocketAddr],
    membership: &Membership,
    world: &World,
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
        membership.learn(members);
    }
    if let Some(PeerReply::Configuration(value)) = configuration
        && !value.is_empty()
    {
        world.apply_routing(&value);
    }
}

/// Wait between two tries to reach hosts by seeds.
pub(crate) const SEED_RETRY: Duration = Duration::from_secs(1);
