//! The copy of the store on the host that reads it for this one.

use std::sync::Arc;

use async_trait::async_trait;
use jm_batch::MembershipView;
use jm_platform::{Change, Changes, Listing, Version};
use jm_route::{owner_by_key, stable_hash};
use jm_types::{DurationMs, MemberId};

use super::{ObjectSpace, PeerClient, PeerReply, PeerRequest, message::keyed_object};
use crate::{CacheSource, CachedChanges};

/// Hosts for one that reads the store for the others.
const HOSTS_PER_READER: usize = 40;

/// Longest wait of a host that passes its copy on. What it passes on is older than the first reader's copy by up to this
/// time, and other hosts turn to the store when a copy is too old.
const READER_MAX_WAIT_MS: DurationMs = DurationMs::new(300);

/// Where a host reads the objects of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// In the store itself.
    Store,
    /// In the copy of the one host that reads the store; this host passes its own copy on.
    PrimaryReader(MemberId),
    /// In the copy of one of the readers.
    Reader(MemberId),
}

/// Where `own` reads the objects of the store, among the hosts `live`. One host reads the store, so that store calls do not
/// grow with the number of hosts; further readers pass its copy on, so that its load does not either.
pub fn store_source(own: &MemberId, live: &[MemberId]) -> StoreSource {
    let readers = live.len().div_ceil(HOSTS_PER_READER).max(1);
    let chosen: Vec<&MemberId> = (0..readers)
        .filter_map(|index| owner_by_key(&format!("store-reader/{index}"), live))
        .collect();
    let slot = stable_hash(own.as_str().as_bytes()) as usize % readers;
    match (chosen.first(), chosen.get(slot)) {
        (Some(first), _) if *first == own => StoreSource::Store,
        (Some(first), _) if chosen.contains(&own) => StoreSource::PrimaryReader((*first).clone()),
        (_, Some(reader)) => StoreSource::Reader((*reader).clone()),
        _ => StoreSource::Store,
    }
}

/// The copy of the host that reads the store for this one.
pub(crate) struct PeerCacheSource {
    pub(crate) client: Arc<PeerClient>,
}

impl PeerCacheSource {
    fn source(&self) -> StoreSource {
        let membership = &self.client.membership;
        let live: Vec<MemberId> = membership.live().into_iter().map(|(member, _)| member).collect();
        store_source(membership.own_id(), &live)
    }

    async fn call(&self, request: PeerRequest, wait: DurationMs) -> Option<PeerReply> {
        let reader = match self.source() {
            StoreSource::Store => return None,
            StoreSource::PrimaryReader(reader) | StoreSource::Reader(reader) => reader,
        };
        let address = self.client.membership.peer_address(&reader)?;
        self.client
            .call_within(address, &request, wait.saturating_add(CACHE_CALL_TIMEOUT_MS))
            .await
    }
}

/// Time that a call on a copy may take besides its wait; the store is asked after that.
const CACHE_CALL_TIMEOUT_MS: DurationMs = DurationMs::new(300);

#[async_trait]
impl CacheSource for PeerCacheSource {
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
    ) -> CachedChanges {
        let wait = match self.source() {
            StoreSource::PrimaryReader(_) => wait.min(READER_MAX_WAIT_MS),
            StoreSource::Store | StoreSource::Reader(_) => wait,
        };
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
                CachedChanges::Changes { changes, age_ms }
            }
            Some(PeerReply::CopyRelist) => CachedChanges::Relist,
            _ => CachedChanges::Stale,
        }
    }
}
