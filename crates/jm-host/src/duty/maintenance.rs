//! Maintenance by the holder of the lease: answers requests to retire hosts and deletes registrations of failed
//! hosts.

use std::sync::Arc;

use async_std::task;
use indexmap::IndexMap;
use jm_platform::{Condition, ObjectStore, Version};
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
        let mut retired = IndexMap::new();
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
    ///
    /// `retired` has the version of each listed entry that needs no call. The call itself changes the version, so a host is
    /// marked twice, the second time without an effect. In return an entry that is removed and written again counts as new.
    async fn mark_retired_hosts(&self, retired: &mut IndexMap<String, Version>) {
        let prefix = self.objects.retirements_prefix();
        let listing = match self.platform_store.list(prefix).await {
            Ok(listing) => listing,
            Err(error) => {
                LogEvent::StoreUnavailable.write(format_args!("{prefix} cannot be listed: {error}"));
                return;
            }
        };
        let earlier = std::mem::take(retired);
        for entry in listing.objects {
            let Some(host) = entry.key.strip_prefix(prefix) else {
                continue;
            };
            let marked = earlier.get(&entry.key);
            let is_marked =
                marked == Some(&entry.object.version) || self.mark_retired(host, marked.is_none()).await;
            if is_marked {
                retired.insert(entry.key, entry.object.version);
            }
        }
    }

    /// Returns whether the host was marked. `is_new` says whether that is worth a line.
    async fn mark_retired(&self, host: &str, is_new: bool) -> bool {
        match self.duties.mark_retired(host).await {
            Ok(()) if is_new => {
                LogEvent::HostEmptied.write_fields("a host was marked as empty", &[("host", &host)]);
                true
            }
            Ok(()) => true,
            Err(error) => {
                LogEvent::UpkeepFailed.write(format_args!("host {host} cannot be marked as empty: {error}"));
                false
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
