//! Handles the calls of other hosts.

mod host_status;

use std::sync::Arc;

use async_trait::async_trait;
use jm_batch::BatchService;
use jm_http::{Connection, Handler, Request, Response, SharedBytes, StatusCode};
use jm_node::{decode, encode};
use jm_platform::{KeyedObject, ObjectError, ObjectStore};
use jm_types::{LogEvent, WallClock};
use serde_bytes::ByteBuf;

use self::host_status::host_status;
use crate::{
    CachedChanges, RelayedStore, StoreCache,
    cluster_state::ClusterState,
    duty::{LeaseView, UsageAggregator},
    membership::Membership,
    peer::{ObjectSpace, PEER_PATH, PeerReply, PeerRequest, WireCondition, wire_change, wire_object},
    streams::StreamStore,
};

/// HTTP handler for the calls of other hosts.
pub(crate) struct PeerHandler {
    pub(crate) membership: Arc<Membership>,
    pub(crate) cluster: Arc<ClusterState>,
    pub(crate) batches: Arc<BatchService>,
    pub(crate) usage: Arc<UsageAggregator>,
    pub(crate) cache: Arc<StoreCache>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) wall: Arc<dyn WallClock>,
    pub(crate) product_store: Arc<RelayedStore>,
    pub(crate) platform_store: Arc<RelayedStore>,
    pub(crate) streams: Arc<StreamStore>,
}

impl PeerHandler {
    async fn reply(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::ReadBatch {
                batch,
                after,
                wait_ms,
            } => PeerReply::Page(self.batches.read_owned(&batch, after, wait_ms).await),
            PeerRequest::ItemBody { batch, item } => {
                PeerReply::ItemBody(self.batches.owned_body(&batch, &item).map(ByteBuf::from))
            }
            PeerRequest::Members => PeerReply::Members(self.membership.registrations()),
            PeerRequest::Configuration => PeerReply::Configuration(self.cluster.routing_value()),
            PeerRequest::Status => {
                let (membership, cluster) = (&self.membership, &self.cluster);
                let now_unix_ms = self.wall.unix_ms();
                let status = host_status(membership, cluster, &self.batches, &self.lease, now_unix_ms);
                PeerReply::Status(status)
            }
            PeerRequest::LeaseHolder => PeerReply::LeaseHolder(self.lease.holder()),
            PeerRequest::Usage {
                host,
                incarnation,
                counts,
            } => {
                self.usage.record(host, incarnation, counts);
                PeerReply::Taken
            }
            PeerRequest::BatchState {
                state,
                version,
                texts,
            } => {
                self.batches.receive_handover(state, version, texts);
                PeerReply::Taken
            }
            PeerRequest::Handover(handover) => PeerReply::RunsBatch(self.batches.accept_handover(*handover)),
            PeerRequest::OwnerNotice(notice) => {
                self.batches.receive_notice(notice);
                PeerReply::Taken
            }
            PeerRequest::Progress(report) => PeerReply::RunsBatch(self.batches.receive_report(report)),
            PeerRequest::ListCopy {
                space,
                prefix,
                max_age_ms,
            } => match self.cache.listing(space, &prefix, max_age_ms) {
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
                let changes = self.cache.watch(space, &prefix, after, wait_ms, max_age_ms).await;
                cached_changes_reply(changes)
            }
            PeerRequest::StreamOrigin { key } => {
                let key = key.parse().ok();
                let recorded = key.and_then(|key| self.streams.registry.own_origin(key));
                PeerReply::StreamOrigin {
                    is_known: recorded.is_some(),
                    origin: recorded.flatten(),
                }
            }
            PeerRequest::GetObject { space, key } => match self.direct_store(space) {
                Some(store) => relay_get(store, key).await,
                None => PeerReply::StoreUnavailable,
            },
            PeerRequest::PutObject {
                space,
                key,
                value,
                condition,
            } => match self.direct_store(space) {
                Some(store) => relay_put(store, &key, value, condition).await,
                None => PeerReply::StoreUnavailable,
            },
            PeerRequest::ListObjects { space, prefix } => match self.direct_store(space) {
                Some(store) => relay_list(store, &prefix).await,
                None => PeerReply::StoreUnavailable,
            },
        }
    }

    /// Returns the direct store, so that a relayed call is never relayed again.
    fn direct_store(&self, space: ObjectSpace) -> Option<&dyn ObjectStore> {
        match space {
            ObjectSpace::Product => self.product_store.direct_for_peers(),
            ObjectSpace::Platform => self.platform_store.direct_for_peers(),
        }
    }
}

async fn relay_get(store: &dyn ObjectStore, key: String) -> PeerReply {
    match store.get(&key).await {
        Ok(object) => PeerReply::Object(object.map(|object| wire_object(KeyedObject { key, object }))),
        Err(_) => PeerReply::StoreUnavailable,
    }
}

async fn relay_put(
    store: &dyn ObjectStore,
    key: &str,
    value: Vec<u8>,
    condition: WireCondition,
) -> PeerReply {
    match store.put(key, value, condition.into()).await {
        Ok(version) => PeerReply::Put(version),
        Err(ObjectError::Conflict { current }) => PeerReply::Conflict(current),
        Err(error) if error.may_be_applied() => PeerReply::StoreAnswerLost,
        Err(_) => PeerReply::StoreUnavailable,
    }
}

async fn relay_list(store: &dyn ObjectStore, prefix: &str) -> PeerReply {
    match store.list(prefix).await {
        Ok(listing) => PeerReply::Objects {
            version: listing.version,
            objects: listing.objects.into_iter().map(wire_object).collect(),
        },
        Err(_) => PeerReply::StoreUnavailable,
    }
}

fn cached_changes_reply(changes: CachedChanges) -> PeerReply {
    match changes {
        CachedChanges::Changes { changes, age_ms } => PeerReply::CopyChanges {
            version: changes.version,
            changes: changes.changes.into_iter().map(wire_change).collect(),
            age_ms,
        },
        CachedChanges::Relist => PeerReply::CopyRelist,
        CachedChanges::Stale => PeerReply::CopyStale,
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, mut request: Request, _connection: &Connection) -> Response {
        if request.url().path() != PEER_PATH {
            return Response::new(StatusCode::NotFound);
        }
        let body = match SharedBytes::take(&mut request).await {
            Ok(body) => body,
            Err(error) => {
                LogEvent::ConnectionFailed.write(format_args!("the call of a peer cannot be read: {error}"));
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
                LogEvent::ConnectionFailed
                    .write(format_args!("the call of a peer cannot be decoded: {error}"));
                Response::new(StatusCode::BadRequest)
            }
        }
    }
}
