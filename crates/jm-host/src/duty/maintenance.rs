//! Maintenance by the holder of the lease: answers requests to retire hosts and deletes registrations of failed
//! hosts.

use std::sync::Arc;

use async_std::task;
use indexmap::IndexSet;
use jm_platform::{Condition, ObjectStore};
use jm_types::{Clock, DurationMs, LogEvent};

use super::LeaseView;
use crate::{
    membership::{MEMBER_PREFIX, Membership},
    platform::{DutyCalls, PlatformObjects},
};

/// Interval of the maintenance rounds.
const MAINTENANCE_INTERVAL_MS: DurationMs = DurationMs::new(2_000);

/// Performs maintenance while this host holds the lease.
pub(crate) struct MaintenanceDuty {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) platform_store: Arc<dyn ObjectStore>,
    pub(crate) objects: Arc<dyn PlatformObjects>,
    pub(crate) duties: Arc<dyn DutyCalls>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl MaintenanceDuty {
    /// Runs until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut retired = IndexSet::new();
        loop {
            task::sleep(MAINTENANCE_INTERVAL_MS.as_std()).await;
            if self.lease.guard(&*self.clock).is_some() {
                self.mark_retired_hosts(&mut retired).await;
                self.remove_failed_members().await;
            }
        }
    }

    /// Marks hosts that are to be retired as empty. Even hosts with a disk keep no data that exists only there, so they
    /// are empty at once.
    async fn mark_retired_hosts(&self, retired: &mut IndexSet<String>) {
        let prefix = self.objects.retirements_prefix();
        let listing = match self.platform_store.list(prefix).await {
            Ok(listing) => listing,
            Err(error) => {
                LogEvent::StoreUnavailable.write(format_args!("{prefix} cannot be listed: {error}"));
                return;
            }
        };
        for object in listing.objects {
            let Some(host) = object.key.strip_prefix(prefix) else {
                continue;
            };
            if retired.contains(&object.key) {
                continue;
            }
            match self.duties.mark_retired(host).await {
                Ok(()) => {
                    LogEvent::HostEmptied.write_fields("a host was marked as empty", &[("host", &host)]);
                    retired.insert(object.key.clone());
                }
                Err(error) => {
                    LogEvent::UpkeepFailed
                        .write(format_args!("host {host} cannot be marked as empty: {error}"));
                }
            }
        }
    }

    async fn remove_failed_members(&self) {
        for member in self.membership.failed_beyond_retention() {
            let key = format!("{MEMBER_PREFIX}{member}");
            match self.store.delete(&key, Condition::Any).await {
                Ok(()) => {
                    LogEvent::MemberRemoved.write(format_args!("the registration of {member} was removed"))
                }
                Err(error) => LogEvent::UpkeepFailed.write(format_args!("{key} cannot be removed: {error}")),
            }
        }
    }
}
