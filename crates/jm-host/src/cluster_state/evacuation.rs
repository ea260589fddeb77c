//! Applies the evacuations that operators order to the cached targets.

use std::sync::Arc;

use jm_forward::{Catalog, TargetState};
use jm_platform::{Change, Listing, Version};
use jm_types::{DurationMs, LogEvent, Timestamp, ZoneId};

use super::{ClusterState, ClusterStateInner};
use crate::prefix_watch::WatchHandler;

impl ClusterState {
    /// Lets no request use a target before the evacuations were listed. Called once before the start, where the feature is
    /// enabled.
    pub fn require_evacuations(&self) {
        self.lock().awaits_evacuations = true;
    }

    /// Returns the handler that applies listings and changes of evacuations to `cluster`.
    pub fn evacuation_watch_handler(cluster: &Arc<Self>) -> Box<dyn WatchHandler> {
        Box::new(EvacuationWatchHandler(Arc::clone(cluster)))
    }

    /// The evacuated zones, each with the time since this host applied its evacuation.
    pub fn evacuated_zones(&self) -> Vec<(ZoneId, DurationMs)> {
        let now = self.clock.now();
        let state = self.lock();
        let zones = state.evacuated_since.iter();
        zones
            .map(|(zone, since)| (zone.clone(), now.since(*since)))
            .collect()
    }

    /// Decodes the zone of a key. An entry with an unreadable name is logged and ignored.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId> {
        let decoded = self.objects.evacuated_zone(key);
        decoded
            .inspect_err(|error| {
                LogEvent::ConfigUnreadable.write(format_args!("{key} is not a valid evacuation: {error}"))
            })
            .ok()
    }

    fn list_evacuations(&self, listing: &Listing) {
        let keys = listing.objects.iter().map(|object| object.key.as_str());
        let zones: Vec<ZoneId> = keys.filter_map(|key| self.evacuated_zone(key)).collect();
        let now = self.clock.now();
        let mut state = self.lock();
        if state.evacuations.apply_listing(zones, listing.version) {
            state.awaits_evacuations = false;
            state.apply_evacuations(now);
        }
    }

    fn set_evacuation(&self, change: &Change, version: Version) {
        let Some(zone) = self.evacuated_zone(&change.key) else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        if state
            .evacuations
            .apply_change(zone, version, change.value.is_some())
        {
            state.apply_evacuations(now);
        }
    }
}

impl ClusterStateInner {
    /// Applies the evacuations to all targets, and logs the zones whose evacuation began or ended.
    fn apply_evacuations(&mut self, now: Timestamp) {
        let began: Vec<ZoneId> = self.evacuations.zones().cloned().collect();
        let began = began
            .into_iter()
            .filter(|zone| !self.evacuated_since.contains_key(zone));
        let began: Vec<ZoneId> = began.collect();
        let known = self.evacuated_since.keys();
        let ended = known.filter(|zone| !self.evacuations.is_evacuated(zone)).cloned();
        let ended: Vec<ZoneId> = ended.collect();
        if began.is_empty() && ended.is_empty() {
            return;
        }
        let applied = self
            .catalog
            .iter()
            .cloned()
            .map(|target| self.evacuations.apply(target));
        self.catalog = Arc::new(applied.collect::<Catalog>());
        for zone in ended {
            self.evacuated_since.shift_remove(&zone);
            LogEvent::ZoneReturned.write_fields(
                "the evacuation of an availability zone ended",
                &[("zone", &zone.as_str())],
            );
        }
        for zone in began {
            let is_affected = |state: TargetState| state == TargetState::Evacuated;
            let of_zone = self.catalog.iter().filter(|target| target.zone == zone);
            let targets = of_zone.filter(|target| is_affected(target.state)).count();
            LogEvent::ZoneEvacuated.write_fields(
                "the evacuation of an availability zone began",
                &[("zone", &zone.as_str()), ("targets", &targets)],
            );
            self.evacuated_since.insert(zone, now);
        }
    }
}

/// Applies changes of evacuations.
pub(crate) struct EvacuationWatchHandler(pub(crate) Arc<ClusterState>);

impl WatchHandler for EvacuationWatchHandler {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        self.0.list_evacuations(&listing);
        (self.0.on_change)();
    }

    fn on_change(&self, change: Change, version: Version) {
        self.0.set_evacuation(&change, version);
        (self.0.on_change)();
    }
}
