//! Availability zones that operators evacuate.
//!
//! Load pattern: a zone is evacuated while all hosts send to it at full rate, and the store's listings reach a host in any
//! order, from the store itself and from the caches of other hosts. A listing that is older than the evacuation must not
//! bring the zone back. Callers whose service has targets in evacuated zones only are all refused at once; if they all
//! came back after the same time, they would arrive together at targets that have just returned.

use indexmap::IndexSet;
use jm_platform::Version;
use jm_types::{DurationMs, ZoneId};

use crate::{Target, TargetState};

/// Shortest delay for callers whose service has targets in evacuated zones only. Evacuations last for minutes, so earlier
/// retries would only be refused again.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Length of the interval over which the callers' retries are spread.
const RETRY_SPREAD_MS: u64 = 4_000;

/// The evacuated zones as of the newest version of the store that this host has read.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: IndexSet<ZoneId>,
    /// Version of the newest applied input; `None` before the first one.
    version: Option<Version>,
}

impl Evacuations {
    /// Replaces the evacuated zones by those of a listing. Ignores a listing that is older than the newest applied input,
    /// and returns whether the listing was applied.
    pub fn apply_listing(&mut self, zones: impl IntoIterator<Item = ZoneId>, version: Version) -> bool {
        if !self.advance(version) {
            return false;
        }
        self.zones = zones.into_iter().collect();
        true
    }

    /// Applies one change. `version` is the store version up to which the changes were read, because a deletion may carry
    /// the older version of the deleted object. Changes with equal versions are applied in the order of the calls.
    /// Ignores a change that is older than the newest applied input, and returns whether the change was applied.
    pub fn apply_change(&mut self, zone: ZoneId, version: Version, is_evacuated: bool) -> bool {
        if !self.advance(version) {
            return false;
        }
        match is_evacuated {
            true => self.zones.insert(zone),
            false => self.zones.shift_remove(&zone),
        };
        true
    }

    /// Whether nothing may be sent to the targets of a zone.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.zones.contains(zone)
    }

    /// The entry of a target as this host uses it. Undoes an earlier evacuation of its zone, so entries that were already
    /// applied can be applied again after each change.
    pub fn apply(&self, mut target: Target) -> Target {
        target.state = match (target.state, self.is_evacuated(&target.zone)) {
            (TargetState::Leaving, _) => TargetState::Leaving,
            (TargetState::Serving | TargetState::Evacuated, true) => TargetState::Evacuated,
            (TargetState::Serving | TargetState::Evacuated, false) => TargetState::Serving,
        };
        target
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.iter()
    }

    fn advance(&mut self, version: Version) -> bool {
        let is_older = self.version.is_some_and(|newest| version < newest);
        if !is_older {
            self.version = Some(version);
        }
        !is_older
    }
}

/// Delay until the next try of a caller whose service has targets in evacuated zones only. `random` is uniform over all
/// values and spreads the callers over the interval.
pub fn evacuated_retry_after(random: u32) -> DurationMs {
    DurationMs::new(MIN_RETRY_AFTER_MS + u64::from(random) * RETRY_SPREAD_MS / u64::from(u32::MAX))
}
