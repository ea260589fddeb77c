//! Keeps the versions in use and the origins of this host in the store.

use std::{collections::BTreeSet, sync::Arc};

use async_std::task;
use jm_batch::RoutingSource;
use jm_forward::{AbsentVersions, OriginSource, RouteKind, RoutingTable, VersionsInUse, stream_life};
use jm_types::{Clock, DurationMs, ServiceId, Timestamp, WallClock};
use rand::Rng;

use super::{FlushSchedule, StreamStore, flush_interval, store::log_versions};
use crate::{cluster_state::ClusterState, duty::LeaseView, observer::HostObserver};

/// Interval of the checks. It delays the first use of a new version.
const CHECK_INTERVAL_MS: DurationMs = DurationMs::new(100);
/// Delay after a failed call.
const RETRY_MS: DurationMs = DurationMs::new(500);
/// Time over which the hosts of a fleet store a new version, for each host, so that the first one does it for all.
const SPREAD_MS_PER_HOST: u64 = 10;
/// Interval at which the holder of the lease deletes expired objects.
const CLEANUP_INTERVAL_MS: DurationMs = DurationMs::new(30_000);

/// Background task of a host.
pub(crate) struct StreamKeeper {
    pub(crate) store: Arc<StreamStore>,
    pub(crate) cluster: Arc<ClusterState>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) wall: Arc<dyn WallClock>,
    pub(crate) observer: Arc<HostObserver>,
}

/// State between two checks.
#[derive(Default)]
struct Progress {
    /// When the versions are stored that are listed and not in use yet.
    add_at: Option<Timestamp>,
    flush: FlushSchedule,
    absent: AbsentVersions,
    /// No call is made before this time, because one has failed.
    retry_at: Timestamp,
    cleanup_at: Timestamp,
}

impl StreamKeeper {
    /// Runs until `stopped` resolves.
    pub(crate) async fn run(self, stopped: impl Future<Output = ()> + Send + Unpin) {
        let checks = async {
            let mut progress = Progress::default();
            loop {
                task::sleep(CHECK_INTERVAL_MS.as_std()).await;
                self.check(&mut progress).await;
                let (origins, dropped) = self.store.registry.counts();
                self.observer.set_origins(origins, dropped);
            }
        };
        futures::future::select(Box::pin(checks), stopped).await;
    }

    async fn check(&self, progress: &mut Progress) {
        let Some(table) = self.cluster.routing().filter(|_| self.cluster.is_complete()) else {
            return;
        };
        let now = self.clock.now();
        let services = resumable_services(&table);
        if services.is_empty() || now < progress.retry_at {
            return;
        }
        let Some(in_use) = self.store.registry.in_use() else {
            if !self.store.refresh().await {
                progress.retry_at = now.after(RETRY_MS);
            }
            return;
        };
        let catalog = self.cluster.catalog();
        self.store.registry.check_entries(&catalog, self.wall.unix_ms());
        let listed = VersionsInUse::listed(&catalog, &services);
        self.add_versions(progress, &in_use, &listed, now).await;
        self.flush(progress, &in_use.union(&listed), now).await;
        self.remove_versions(progress, &table, &listed, now).await;
        if now >= progress.cleanup_at && self.holds_lease() {
            progress.cleanup_at = now.after(CLEANUP_INTERVAL_MS);
            self.store.delete_expired(self.wall.unix_ms()).await;
        }
    }

    /// Stores versions that are listed and not in use yet. The holder of the lease does so at once, the others after a random
    /// time unless one was faster.
    async fn add_versions(
        &self,
        progress: &mut Progress,
        in_use: &VersionsInUse,
        listed: &VersionsInUse,
        now: Timestamp,
    ) {
        if in_use.covers(listed) {
            progress.add_at = None;
            return;
        }
        let add_at = *progress.add_at.get_or_insert_with(|| now.after(self.add_delay()));
        if now < add_at {
            return;
        }
        progress.add_at = None;
        if !self.store.add_versions(listed).await {
            progress.retry_at = now.after(RETRY_MS);
        }
    }

    fn add_delay(&self) -> DurationMs {
        if self.holds_lease() {
            return DurationMs::new(0);
        }
        let spread_ms = self.store.hosts() as u64 * SPREAD_MS_PER_HOST;
        DurationMs::new(rand::rng().random_range(0..=spread_ms))
    }

    async fn flush(&self, progress: &mut Progress, versions: &VersionsInUse, now: Timestamp) {
        let mixed: BTreeSet<ServiceId> = versions
            .iter()
            .map(|origin| origin.service)
            .filter(|service| versions.is_mixed(service))
            .collect();
        // Taken before the origins, so that one that is recorded in between is written again.
        let changes = self.store.registry.changes();
        if changes == 0 || !progress.flush.is_due(changes, &mixed, now) {
            return;
        }
        progress.flush.started(flush_interval(self.store.hosts()), now);
        if self.store.write_origins(&mixed, self.wall.unix_ms()).await {
            progress.flush.succeeded(changes, mixed);
        }
    }

    /// Forgets versions that no stream can have any more, and removes them from the store later.
    async fn remove_versions(
        &self,
        progress: &mut Progress,
        table: &RoutingTable,
        listed: &VersionsInUse,
        now: Timestamp,
    ) {
        let (stored, condition) = self.store.stored_versions().await;
        progress.absent.update(&stored, listed, now);
        let life = longest_life(table);
        self.store
            .registry
            .forget(&progress.absent.longer_than(life, now));
        let twice = life.saturating_add(life);
        let gone = progress.absent.longer_than(twice, now);
        let rest = stored.without(&gone);
        if rest == stored || !self.holds_lease() {
            return;
        }
        match self.store.write_versions(&rest, condition).await {
            true => log_versions(stored.iter().filter(|origin| !rest.contains(origin)), "removed"),
            false => progress.retry_at = now.after(RETRY_MS),
        }
    }

    fn holds_lease(&self) -> bool {
        self.lease.guard(&*self.clock).is_some()
    }
}

fn resumable_services(table: &RoutingTable) -> BTreeSet<ServiceId> {
    let routes = table.routes().filter(|route| is_resumable(&route.kind));
    let parts = routes.flat_map(|route| &route.services);
    parts.map(|part| part.service.clone()).collect()
}

fn longest_life(table: &RoutingTable) -> DurationMs {
    let routes = table.routes().filter(|route| is_resumable(&route.kind));
    let longest = routes.map(|route| stream_life(route.timeout_ms)).max();
    longest.unwrap_or(stream_life(DurationMs::new(0)))
}

fn is_resumable(kind: &RouteKind) -> bool {
    matches!(kind, RouteKind::Streaming { is_resumable: true })
}
