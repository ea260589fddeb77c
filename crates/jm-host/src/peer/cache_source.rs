//! Reads the store through the cache of another host, and selects that host.

use std::sync::Arc;

use async_trait::async_trait;
use indexmap::IndexSet;
use jm_batch::MembershipView;
use jm_platform::{Change, Changes, Listing, Version};
use jm_route::{owner_by_key, stable_hash};
use jm_types::{DurationMs, MemberId};
use rand::seq::IndexedRandom;

use super::{ObjectSpace, PeerClient, PeerReply, PeerRequest, message::keyed_object};
use crate::{CacheSource, CachedChanges};

/// Number of hosts per reader. Readers serve their caches to the other hosts.
const HOSTS_PER_READER: usize = 40;

/// Maximum duration of a watch by a host that serves its cache to others. Its cache lags behind that of the primary
/// reader by up to this time, and other hosts fall back to the store when cached data is too old.
const READER_MAX_WAIT_MS: DurationMs = DurationMs::new(300);

/// Where a host reads the objects of the store from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// From the store itself. This host is the primary reader.
    Store,
    /// From the cache of the primary reader. This host is a secondary reader and serves its own cache to others.
    PrimaryReader(MemberId),
    /// From the cache of the primary or a secondary reader.
    Reader(MemberId),
}

/// Selects where the host `own` reads the objects of the store, given the number of live hosts and those that may read for
/// others. Only one host reads the store, so the number of store calls does not grow with the number of hosts. Secondary
/// readers serve its cached data to the others, so the load of the primary reader does not grow either.
pub fn store_source(own: &MemberId, live: usize, candidates: &[MemberId]) -> StoreSource {
    let chosen = readers(live, candidates);
    let slot = slot_of(own, live.div_ceil(HOSTS_PER_READER));
    match (chosen.first(), chosen.get(slot)) {
        (Some(first), _) if *first == own => StoreSource::Store,
        (Some(first), _) if chosen.contains(&own) => StoreSource::PrimaryReader((*first).clone()),
        (_, Some(reader)) => StoreSource::Reader((*reader).clone()),
        _ => StoreSource::Store,
    }
}

/// Another reader for a host whose reader did not answer or lags behind; `None` where there is no second reader. At the size
/// of several readers, a host that falls back to the store lists thousands of targets there, which takes seconds when many
/// hosts do so at once. The changes since its version are few.
pub fn second_reader(own: &MemberId, live: usize, candidates: &[MemberId]) -> Option<MemberId> {
    let StoreSource::Reader(first) = store_source(own, live, candidates) else {
        return None;
    };
    let others = readers(live, candidates).into_iter();
    let others: IndexSet<&MemberId> = others.filter(|reader| **reader != first).collect();
    let second = others.get_index(slot_of(own, others.len()))?;
    Some((*second).clone())
}

/// The readers, the primary one first. One host may be chosen more than once.
fn readers(live: usize, candidates: &[MemberId]) -> Vec<&MemberId> {
    let readers = live.div_ceil(HOSTS_PER_READER).max(1);
    let chosen = (0..readers).filter_map(|index| owner_by_key(&format!("store-reader/{index}"), candidates));
    chosen.collect()
}

/// Which of `count` readers serves the host.
fn slot_of(own: &MemberId, count: usize) -> usize {
    stable_hash(own.as_str().as_bytes()) as usize % count.max(1)
}

/// Access to the cache of the reader that is responsible for this host.
pub(crate) struct PeerCacheSource {
    pub(crate) client: Arc<PeerClient>,
}

impl PeerCacheSource {
    fn source(&self) -> StoreSource {
        let (live, candidates) = self.hosts();
        store_source(self.client.membership.own_id(), live, &candidates)
    }

    /// The number of live hosts, and those that may read for others.
    fn hosts(&self) -> (usize, Vec<MemberId>) {
        let membership = &self.client.membership;
        let candidates = membership.owner_candidates().into_iter();
        (
            membership.live().len(),
            candidates.map(|(member, _)| member).collect(),
        )
    }

    /// Makes a call at the second reader, which may wait for `wait`.
    async fn call_second(&self, request: &PeerRequest, wait: DurationMs) -> Option<PeerReply> {
        let (live, candidates) = self.hosts();
        let reader = second_reader(self.client.membership.own_id(), live, &candidates)?;
        let address = self.client.membership.peer_address(&reader)?;
        self.client
            .call_within(address, request, wait.saturating_add(CACHE_CALL_TIMEOUT_MS))
            .await
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

/// Timeout of a call on another host's cache, in addition to its wait. After it, this host falls back to the store.
const CACHE_CALL_TIMEOUT_MS: DurationMs = DurationMs::new(300);

/// Maximum number of hosts that are asked for a listing of any age. Hosts that were cut off at different times have
/// different ones, and the newest one is used.
const MAX_START_CALLS: usize = 5;

fn listing_of(reply: PeerReply) -> Option<(Listing, DurationMs)> {
    match reply {
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
        listing_of(self.call(request, DurationMs::new(0)).await?)
    }

    async fn list_at_any_age(&self, space: ObjectSpace, prefix: &str) -> Option<(Listing, DurationMs)> {
        let others = self.client.membership.live_peers();
        let chosen: Vec<MemberId> = {
            let mut random = rand::rng();
            let chosen = others.choose_multiple(&mut random, MAX_START_CALLS);
            chosen.map(|(member, _)| member.clone()).collect()
        };
        let request = PeerRequest::ListCopy {
            space,
            prefix: prefix.to_owned(),
            max_age_ms: DurationMs::new(u64::MAX),
        };
        let calls = chosen
            .iter()
            .map(|member| self.client.call_member(member, &request, DurationMs::new(0)));
        let replies = futures::future::join_all(calls).await;
        let listings = replies.into_iter().flatten().filter_map(listing_of);
        listings.max_by_key(|(listing, _)| listing.version)
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
        let request = |wait_ms| PeerRequest::WatchCopy {
            space,
            prefix: prefix.to_owned(),
            after,
            wait_ms,
            max_age_ms: max_age,
        };
        let mut reply = self.call(request(wait), wait).await;
        if matches!(reply, None | Some(PeerReply::CopyStale)) {
            // Without a wait, this host would repeat the call at once for as long as its first reader lags behind.
            let wait = wait.min(READER_MAX_WAIT_MS);
            reply = self.call_second(&request(wait), wait).await;
        }
        match reply {
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
