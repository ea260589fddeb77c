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
use jm_batch::{BatchMembers, BatchPeers, BatchService, BatchState, ResultPage};
use jm_http::{Client, Connection, Handler, Limits, Method, Request, Response, Reuse, StatusCode, Url};
use jm_node::{decode, encode};
use jm_platform::{
    Change, Changes, Condition, KeyedObject, Listing, Object, ObjectError, ObjectStore, ReadError, Version,
};
use jm_route::{owner_by_key, stable_hash};
use jm_types::{BatchId, ByteSize, DurationMs, Incarnation, LogEvent, MemberId, OrganisationId};
use jm_usage::WindowId;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::{
    CopySource, Mirror, MirrorChanges,
    duty::{LeaseView, UsageBook},
    membership::{Membership, Registration},
    relay::RelayPeer,
    world::World,
};

/// Path of all calls between hosts.
const PEER_PATH: &str = "/peer";

/// Time that a call may take besides the wait that it asks for.
const CALL_MS: DurationMs = DurationMs::new(1_000);

/// Which objects a relayed call concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    LeaseHolder,
    Usage {
        host: MemberId,
        incarnation: Incarnation,
        counts: UsageCounts,
    },
    BatchState {
        state: BatchState,
        version: Version,
    },
    ListCopy {
        space: ObjectSpace,
        prefix: String,
        max_age_ms: DurationMs,
    },
    WatchCopy {
        space: ObjectSpace,
        prefix: String,
        after: Version,
        wait_ms: DurationMs,
        max_age_ms: DurationMs,
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

/// A change on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireChange {
    key: String,
    version: Version,
    #[serde(with = "serde_bytes")]
    value: Option<Vec<u8>>,
}

/// What the other host answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Page(Option<ResultPage>),
    Members(Vec<Registration>),
    Configuration(#[serde(with = "serde_bytes")] Vec<u8>),
    /// None when the host does not know it.
    LeaseHolder(Option<MemberId>),
    Taken,
    Object(Option<WireObject>),
    Put(Version),
    Conflict(Option<Version>),
    Objects {
        objects: Vec<WireObject>,
        version: Version,
    },
    Copy {
        objects: Vec<WireObject>,
        version: Version,
        age_ms: DurationMs,
    },
    CopyChanges {
        changes: Vec<WireChange>,
        version: Version,
        age_ms: DurationMs,
    },
    /// The changes after the given version are not kept.
    CopyRelist,
    /// The copy is too old or does not exist.
    CopyStale,
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
        self.call_within(address, request, wait.saturating_add(CALL_MS))
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

    async fn announce(&self, owner: &MemberId, state: &BatchState, version: Version) {
        let request = PeerRequest::BatchState {
            state: state.clone(),
            version,
        };
        // A host that does not answer hears of its batch from the store.
        self.call_member(owner, &request, DurationMs::new(0)).await;
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
                let objects = objects.into_iter().map(keyed_object).collect();
                Some(Ok(Listing { objects, version }))
            }
            _ => Some(Err(unavailable())),
        }
    }
}

/// Hosts for one that reads the store for the others.
const HOSTS_PER_READER: usize = 40;

/// The copy of the host that reads the store for this one.
pub(crate) struct ReaderCopy {
    pub(crate) client: Arc<PeerClient>,
}

impl ReaderCopy {
    /// The host that reads the store for this one; none when this one reads for itself or is not known to the others.
    fn reader(&self) -> Option<MemberId> {
        let membership = &self.client.membership;
        let live: Vec<MemberId> = membership.live().into_iter().map(|(member, _)| member).collect();
        let readers = live.len().div_ceil(HOSTS_PER_READER).max(1);
        let own = membership.own();
        let slot = stable_hash(own.as_str().as_bytes()) % readers as u64;
        let chosen: Vec<&MemberId> = (0..readers)
            .filter_map(|index| owner_by_key(&format!("store-reader/{index}"), &live))
            .collect();
        if chosen.contains(&own) {
            return None;
        }
        chosen.get(slot as usize).map(|reader| (*reader).clone())
    }

    async fn call(&self, request: PeerRequest, wait: DurationMs) -> Option<PeerReply> {
        let reader = self.reader()?;
        let address = self.client.membership.peer_address(&reader)?;
        self.client
            .call_within(address, &request, wait.saturating_add(COPY_CALL_MS))
            .await
    }
}

/// Time that a call on a copy may take besides its wait; the store is asked after that.
const COPY_CALL_MS: DurationMs = DurationMs::new(300);

#[async_trait]
impl CopySource for ReaderCopy {
    async fn list(
        &self,
        space: ObjectSpace,
        prefix: &str,
        max_age: DurationMs,
    ) -> Option<(Listing, DurationMs)> {
        let request = PeerRequest::ListCopy {
            space,
            prefix: prefix.to_owned(),
            max_age_ms: max_age,
        };
        match self.call(request, DurationMs::new(0)).await? {
            PeerReply::Copy {
                objects,
                version,
                age_ms,
            } => {
                let objects = objects.into_iter().map(keyed_object).collect();
                Some((Listing { objects, version }, age_ms))
            }
            _ => None,
        }
    }

    async fn watch(
        &self,
        space: ObjectSpace,
        prefix: &str,
        after: Version,
        wait: DurationMs,
        max_age: DurationMs,
    ) -> MirrorChanges {
        let request = PeerRequest::WatchCopy {
            space,
            prefix: prefix.to_owned(),
            after,
            wait_ms: wait,
            max_age_ms: max_age,
        };
        match self.call(request, wait).await {
            Some(PeerReply::CopyChanges {
                changes,
                version,
                age_ms,
            }) => {
                let changes = changes.into_iter().map(|change| Change {
                    key: change.key,
                    version: change.version,
                    value: change.value,
                });
                let changes = Changes {
                    changes: changes.collect(),
                    version,
                };
                MirrorChanges::Changes { changes, age_ms }
            }
            Some(PeerReply::CopyRelist) => MirrorChanges::Relist,
            _ => MirrorChanges::Stale,
        }
    }
}

/// Answers other hosts.
pub(crate) struct PeerHandler {
    pub(crate) membership: Arc<Membership>,
    pub(crate) world: Arc<World>,
    pub(crate) batches: Arc<BatchService>,
    pub(crate) usage: Arc<UsageBook>,
    pub(crate) mirror: Arc<Mirror>,
    pub(crate) lease: Arc<LeaseView>,
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
            PeerRequest::LeaseHolder => PeerReply::LeaseHolder(self.lease.holder()),
            PeerRequest::Usage {
                host,
                incarnation,
                counts,
            } => {
                self.usage.take(host, incarnation, counts);
                PeerReply::Taken
            }
            PeerRequest::BatchState { state, version } => {
                self.batches.apply_state(state, version);
                PeerReply::Taken
            }
            PeerRequest::ListCopy {
                space,
                prefix,
                max_age_ms,
            } => match self.mirror.listing(space, &prefix, max_age_ms) {
                Some((listing, age_ms)) => PeerReply::Copy {
                    version: listing.version,
                    objects: listing.objects.into_iter().map(wire_object).collect(),
                    age_ms,
                },
                None => PeerReply::CopyStale,
            },
            PeerRequest::WatchCopy {
                space,
                prefix,
                after,
                wait_ms,
                max_age_ms,
            } => {
                let changes = self
                    .mirror
                    .watch(space, &prefix, after, wait_ms, max_age_ms)
                    .await;
                copy_changes(changes)
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

fn copy_changes(changes: MirrorChanges) -> PeerReply {
    match changes {
        MirrorChanges::Changes { changes, age_ms } => PeerReply::CopyChanges {
            version: changes.version,
            changes: changes.changes.into_iter().map(wire_change).collect(),
            age_ms,
        },
        MirrorChanges::Relist => PeerReply::CopyRelist,
        MirrorChanges::Stale => PeerReply::CopyStale,
    }
}

fn wire_change(change: Change) -> WireChange {
    WireChange {
        key: change.key,
        version: change.version,
        value: change.value,
    }
}

fn keyed_object(object: WireObject) -> KeyedObject {
    KeyedObject {
        key: object.key,
        object: Object {
            value: object.value,
            version: object.version,
        },
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
