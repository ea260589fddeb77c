//! Reacts to changes of the cluster state, and periodically checks what no event announces.

use std::sync::{Arc, atomic::Ordering};

use async_std::task;
use indexmap::IndexMap;
use jm_batch::{MembershipView, RoutingSource};
use jm_forward::HostKnowledge;
use jm_types::{DurationMs, LogEvent, ModelId, Revision, WeightVersion};

use super::{Host, connection_limits};
use crate::{
    DutyCalls,
    peer::{PeerReply, PeerRequest, SEED_RETRY_INTERVAL, bootstrap_from_seeds},
};

/// Interval of the checks of batch ownership, missing targets and configuration staleness.
const CHECK_INTERVAL_MS: DurationMs = DurationMs::new(400);

/// Number of checks per cleanup of finished and expired batches.
const CHECKS_PER_CLEANUP: u64 = 4;

/// Interval of the checks of cold targets.
const COLD_CHECK_INTERVAL_MS: DurationMs = DurationMs::new(200);

/// Time after the start of a host in which it may not know all owners of batches.
const COLD_SENDERS_SETTLE_MS: DurationMs = DurationMs::new(2_000);

/// Interval at which engines are polled whose listed weights are too old for a batch.
const VERSION_POLL_MS: DurationMs = DurationMs::new(250);

impl Host {
    /// Handles changes of the configuration, the targets and the hosts.
    pub(super) async fn handle_changes(self: Arc<Self>) {
        // The first configuration may be active before this task runs. Its limits must be applied all the same.
        let mut revision = Revision::new(0);
        while self.changes.1.recv().await.is_ok() {
            if self.cluster.revision() > revision {
                let was_ready = revision.get() > 0;
                revision = self.cluster.revision();
                self.membership.set_applied_revision(revision);
                if let Some(table) = self.cluster.routing() {
                    self.caller_limits.set(connection_limits(&table.caller_limits));
                    self.has_caller_limits.store(true, Ordering::Relaxed);
                }
                if !was_ready {
                    LogEvent::DaemonReady.write_fields(
                        "the host is ready to serve callers",
                        &[("revision", &revision.get())],
                    );
                }
            }
            self.set_cold_senders();
            self.batches.routing_changed();
            self.batches.reconcile();
            self.set_gauges();
        }
    }

    /// Keeps the record of cold targets and of the hosts that send to them up to date. It has its own task, because a store
    /// that does not respond delays the other checks.
    pub(super) async fn watch_cold_targets(self: Arc<Self>) {
        loop {
            task::sleep(COLD_CHECK_INTERVAL_MS.as_std()).await;
            self.cluster.update_cold_targets();
            if self.cold.has_limits() {
                self.set_cold_senders();
            }
        }
    }

    /// Names the hosts that share the rate of requests that cold targets tolerate.
    fn set_cold_senders(&self) {
        let registrations = self.membership.registrations();
        let registered = registrations
            .into_iter()
            .map(|registration| registration.record.id);
        let is_new = self.clock.now().since(self.started_at) < COLD_SENDERS_SETTLE_MS;
        let knowledge = match self.membership.is_listed() {
            false => HostKnowledge::Unlisted,
            true if is_new || self.membership.is_isolated() => HostKnowledge::Uncertain,
            true => HostKnowledge::Certain,
        };
        self.cold.set_hosts(registered.collect(), knowledge);
    }

    fn set_gauges(&self) {
        let number = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let observer = &self.observer;
        observer.targets.set(number(self.cluster.catalog().len()));
        observer
            .evacuated_zones
            .set(number(self.cluster.evacuated_zones().len()));
        observer.live_hosts.set(number(self.membership.live().len()));
        observer
            .config_revision
            .set(i64::try_from(self.cluster.revision().get()).unwrap_or(i64::MAX));
        let no_labels: [&str; 0] = [];
        let held = observer.cold_held.with_label_values(&no_labels);
        held.inc_by(self.cold.take_held());
        observer
            .holds_lease
            .set(i64::from(self.lease.guard(&*self.clock).is_some()));
    }

    /// Periodically checks conditions that no event announces, such as expired grace periods.
    pub(super) async fn run_periodic_checks(self: Arc<Self>) {
        let mut round = 0_u64;
        loop {
            task::sleep(CHECK_INTERVAL_MS.as_std()).await;
            self.cluster.remove_expired_targets();
            self.batches.reconcile();
            self.fetch_newer_routing().await;
            round += 1;
            if round.is_multiple_of(CHECKS_PER_CLEANUP) {
                self.batches.clean_up().await;
                self.set_gauges();
            }
        }
    }

    /// Fetches the configuration from a peer that reported a newer revision. A watch that lost its events can't be
    /// distinguished from one without changes.
    async fn fetch_newer_routing(&self) {
        let own = self.cluster.revision();
        if self.membership.newest_revision() <= own {
            return;
        }
        for (member, _) in self.membership.live_peers() {
            let reply = self
                .peers
                .call_member(&member, &PeerRequest::Configuration, DurationMs::new(0))
                .await;
            if let Some(PeerReply::Configuration(value)) = reply
                && !value.is_empty()
            {
                self.cluster.apply_routing(&value);
            }
            if self.cluster.revision() >= self.membership.newest_revision() {
                return;
            }
        }
    }

    /// Bootstraps from the seeds until this host has live peers and a configuration, so that it can start while the
    /// store does not answer.
    pub(super) async fn discover_hosts(self: Arc<Self>) {
        while self.membership.live_peers().is_empty() || self.cluster.routing().is_none() {
            task::sleep(SEED_RETRY_INTERVAL).await;
            if self.cluster.routing().is_none() {
                bootstrap_from_seeds(&self.peers, &self.settings.seeds, &self.membership, &self.cluster)
                    .await;
            }
            task::sleep(SEED_RETRY_INTERVAL).await;
        }
    }

    /// Polls engines for their weights while a batch needs newer versions than the list of targets shows. The list
    /// lags by seconds, and a step is due within a few seconds.
    pub(super) async fn poll_versions(self: Arc<Self>, duties: Arc<dyn DutyCalls>) {
        loop {
            task::sleep(VERSION_POLL_MS.as_std()).await;
            let needed = self.batches.lowest_min_versions();
            if needed.is_empty() {
                continue;
            }
            let catalog = self.cluster.catalog();
            let lagging = catalog.iter().filter(|target| {
                let is_old = |(model, version): (&ModelId, &WeightVersion)| {
                    needed.get(model).is_some_and(|needed| version < needed)
                };
                target.is_serving() && target.models.iter().any(is_old)
            });
            let polls = lagging.map(|target| {
                let duties = &duties;
                async move { (target, duties.engine_report(target).await) }
            });
            for (target, report) in futures::future::join_all(polls).await {
                let models: IndexMap<_, _> = report.map(|report| report.models).unwrap_or_default();
                for (model, version) in &models {
                    self.batches.record_version(&target.run, model, *version);
                }
            }
        }
    }
}
