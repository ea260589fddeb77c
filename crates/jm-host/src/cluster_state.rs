//! Cached cluster state: the configuration, the targets and the weight versions that this host last read.

mod evacuation;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use jm_batch::RoutingSource;
use jm_forward::{
    Catalog, ColdGate, Evacuations, LeavingTargets, NoticeListener, RoutingTable, RunKey, Target, TargetState,
};
use jm_platform::{Change, KeyedObject, Listing, Version};
use jm_types::{
    Clock, DurationMs, LogEvent, ModelId, Revision, SoftwareVersion, TargetId, Timestamp, WallClock,
    WeightVersion, ZoneId,
};

use crate::{cold_entries::ColdEntries, platform::PlatformObjects, prefix_watch::WatchHandler};

pub(crate) use evacuation::EvacuationWatchHandler;

/// Minimum gap in store confirmations after which missing targets are kept for a grace period instead of being removed
/// at once. Entries of live targets expire in outages that are longer than this. The election of a new store reader
/// takes less time, so it doesn't count as an outage.
const OUTAGE_THRESHOLD_MS: DurationMs = DurationMs::new(2_200);

/// Time in which live targets register again after a store outage.
const RETURN_GRACE_MS: DurationMs = DurationMs::new(2_200);

/// Called after the configuration, the targets or the weight versions changed.
type OnChange = Box<dyn Fn() + Send + Sync>;

#[derive(Default)]
struct ClusterStateInner {
    routing: Option<Arc<RoutingTable>>,
    /// The encoded configuration, sent to hosts that cannot read the store.
    routing_value: Vec<u8>,
    catalog: Arc<Catalog>,
    /// Whether the targets were listed at least once.
    has_listed_targets: bool,
    /// Targets that disappeared from the list in an outage, with the time until which they are still treated as
    /// listed.
    missing: IndexMap<TargetId, Timestamp>,
    /// End of the grace period in which deletions are attributed to an outage.
    outage_grace_until: Option<Timestamp>,
    /// Targets that gave notice in their answers.
    leaving: LeavingTargets,
    evacuations: Evacuations,
    /// When this host applied the evacuation of each evacuated zone.
    evacuated_since: IndexMap<ZoneId, Timestamp>,
    /// Whether the first listing of evacuations is outstanding. Until then any target may be in an evacuated zone.
    awaits_evacuations: bool,
    versions: IndexMap<ModelId, WeightVersion>,
}

/// Thread-safe cache of the configuration, the targets and the weight versions.
pub struct ClusterState {
    objects: Arc<dyn PlatformObjects>,
    clock: Arc<dyn Clock>,
    on_change: OnChange,
    cold: ColdEntries,
    state: Mutex<ClusterStateInner>,
}

impl ClusterState {
    /// Creates an empty cache. `on_change` is called after each update.
    pub fn new(objects: Arc<dyn PlatformObjects>, clock: Arc<dyn Clock>, on_change: OnChange) -> Self {
        Self {
            objects,
            clock,
            on_change,
            cold: ColdEntries::default(),
            state: Mutex::default(),
        }
    }

    /// Records cold targets in `gate`.
    pub fn with_cold_gate(self, gate: Arc<ColdGate>, wall: Arc<dyn WallClock>) -> Self {
        Self {
            cold: ColdEntries::new(gate, wall),
            ..self
        }
    }

    /// Returns the handler that applies target listings and changes to `cluster`.
    pub fn target_watch_handler(cluster: &Arc<Self>) -> Box<dyn WatchHandler> {
        Box::new(TargetWatchHandler(Arc::clone(cluster)))
    }

    /// Decodes and activates a configuration. An unreadable one is logged and ignored, and so is one whose revision
    /// is not newer than the active one.
    pub fn apply_routing(&self, value: &[u8]) {
        let table = match self.objects.routing(value) {
            Ok(table) => table,
            Err(error) => {
                LogEvent::ConfigUnreadable.write(format_args!("the configuration cannot be read: {error}"));
                return;
            }
        };
        let revision = table.revision;
        let previous = self.revision();
        if revision <= previous {
            return;
        }
        {
            let mut state = self.lock();
            self.cold.configured(&table, &state.catalog, self.clock.now());
            state.routing = Some(Arc::new(table));
            state.routing_value = value.to_vec();
        }
        LogEvent::ConfigApplied.write_fields(
            "the configuration is in force",
            &[("revision", &revision.get()), ("previous", &previous.get())],
        );
        (self.on_change)();
    }

    /// Whether requests can be served: a configuration is active, and the targets and, where the feature is enabled, the
    /// evacuations were listed. Before that each request would be refused although targets are free.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        state.routing.is_some() && state.has_listed_targets && !state.awaits_evacuations
    }

    /// Revision of the active configuration; zero before the first one.
    pub fn revision(&self) -> Revision {
        self.lock()
            .routing
            .as_ref()
            .map_or(Revision::new(0), |table| table.revision)
    }

    /// The active configuration as encoded in the store; empty before the first one.
    pub fn routing_value(&self) -> Vec<u8> {
        self.lock().routing_value.clone()
    }

    /// Newest weight version that the trainer published, by model.
    pub fn versions(&self) -> IndexMap<ModelId, WeightVersion> {
        self.lock().versions.clone()
    }

    /// Removes targets that did not reappear within the grace period after an outage.
    pub fn remove_expired_targets(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let expired: Vec<TargetId> = state
            .missing
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        if expired.is_empty() {
            return;
        }
        let mut catalog = Catalog::clone(&state.catalog);
        for id in &expired {
            state.missing.swap_remove(id);
            if catalog.remove(id) {
                LogEvent::TargetLeaving
                    .write(format_args!("target {id} did not reappear after a store outage"));
            }
        }
        state.catalog = Arc::new(catalog);
        drop(state);
        (self.on_change)();
    }

    /// Forgets cold targets that became warm or are gone.
    pub(crate) fn update_cold_targets(&self) {
        self.cold.update(&self.catalog(), self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, ClusterStateInner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decode(&self, key: &str, value: &[u8]) -> Option<Target> {
        let decoded = self.objects.target(key, value);
        decoded
            .inspect_err(|error| {
                LogEvent::ConfigUnreadable.write(format_args!("{key} is not a valid target entry: {error}"))
            })
            .ok()
    }

    fn log_target(before: Option<&Target>, after: &Target) {
        let is_unchanged = before.is_some_and(|before| {
            before.run == after.run && before.state == after.state && before.software == after.software
        });
        if is_unchanged {
            return;
        }
        let event = match after.state {
            TargetState::Serving => LogEvent::TargetListed,
            TargetState::Leaving => LogEvent::TargetLeaving,
            TargetState::Evacuated => LogEvent::TargetEvacuated,
        };
        event.write_fields(
            "a target is listed",
            &[
                ("target", &after.run.id.as_str()),
                ("service", &after.service.as_str()),
                ("started_unix_ms", &after.run.started_unix_ms),
                (
                    "software",
                    &after.software.as_ref().map_or("", SoftwareVersion::as_str),
                ),
            ],
        );
    }

    fn set_target(&self, key: &str, value: Option<&[u8]>, version: Version) {
        let target = value.and_then(|value| self.decode(key, value));
        let id = key.strip_prefix(self.objects.targets_prefix()).unwrap_or(key);
        let Ok(id) = id.parse::<TargetId>() else { return };
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        // Copies the catalog only while a request still uses it, and not for each change of a series.
        let catalog = Arc::make_mut(&mut state.catalog);
        match target {
            Some(target) => {
                let target = state.evacuations.apply(state.leaving.apply(target));
                Self::log_target(catalog.get(&id), &target);
                self.cold.listed(&target, version, now);
                state.missing.swap_remove(&id);
                catalog.insert(target);
            }
            None => {
                let outage_grace_until = state
                    .outage_grace_until
                    .filter(|until| now < *until && value.is_none());
                match outage_grace_until {
                    Some(until) => {
                        state.missing.insert(id, until);
                    }
                    None if catalog.remove(&id) => {
                        LogEvent::TargetLeaving.write(format_args!("target {id} is no longer listed"));
                    }
                    None => {}
                }
            }
        }
    }

    fn list_targets(&self, objects: &[KeyedObject], gap: DurationMs) {
        let now = self.clock.now();
        let decoded = objects.iter().filter_map(|object| {
            let target = self.decode(&object.key, &object.object.value)?;
            self.cold.listed(&target, object.object.version, now);
            Some(target)
        });
        let decoded: Vec<Target> = decoded.collect();
        let mut state = self.lock();
        let mut catalog: Catalog = decoded
            .into_iter()
            .map(|target| state.evacuations.apply(state.leaving.apply(target)))
            .collect();
        if gap >= OUTAGE_THRESHOLD_MS {
            state.outage_grace_until = Some(now.after(RETURN_GRACE_MS));
        }
        for target in catalog.iter() {
            Self::log_target(state.catalog.get(&target.run.id), target);
            state.missing.swap_remove(&target.run.id);
        }
        let outage_grace_until = state.outage_grace_until.filter(|until| now < *until);
        let before = Arc::clone(&state.catalog);
        for target in before
            .iter()
            .filter(|target| catalog.get(&target.run.id).is_none())
            .cloned()
            .collect::<Vec<_>>()
        {
            let Some(until) = outage_grace_until else {
                LogEvent::TargetLeaving.write(format_args!("target {} is no longer listed", target.run.id));
                continue;
            };
            state.missing.entry(target.run.id.clone()).or_insert(until);
            catalog.insert(target);
        }
        state.leaving.forget_unlisted(&catalog, now);
        state.catalog = Arc::new(catalog);
        state.has_listed_targets = true;
    }

    fn set_version(&self, key: &str, value: &[u8]) {
        match self.objects.version(value) {
            Ok((model, version)) => {
                let mut state = self.lock();
                let newest = state
                    .versions
                    .entry(model.clone())
                    .or_insert(WeightVersion::new(0));
                if version > *newest {
                    *newest = version;
                    LogEvent::VersionNamed.write_fields(
                        "a new weight version was published",
                        &[("model", &model.as_str()), ("version", &version.get())],
                    );
                }
            }
            Err(error) => {
                LogEvent::ConfigUnreadable.write(format_args!("{key} is not a valid weight version: {error}"))
            }
        }
    }
}

impl NoticeListener for ClusterState {
    fn target_leaving(&self, run: &RunKey) {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if !state.leaving.record(run, now) {
            return;
        }
        let listed = state.catalog.get(&run.id).cloned();
        if let Some(target) = listed.filter(|target| target.run == *run) {
            let target = state.leaving.apply(target);
            Arc::make_mut(&mut state.catalog).insert(target);
        }
        drop(guard);
        LogEvent::TargetLeaving.write_fields(
            "the target said in an answer that it is leaving",
            &[
                ("target", &run.id.as_str()),
                ("started_unix_ms", &run.started_unix_ms),
            ],
        );
        (self.on_change)();
    }

    fn target_cold(&self, run: &RunKey, left_ms: DurationMs) {
        let catalog = self.catalog();
        if let Some(target) = catalog.get(&run.id) {
            self.cold.reported(target, run, left_ms, self.clock.now());
        }
    }

    fn target_unreachable(&self, target: &Target) {
        self.cold.unreachable(target, self.clock.now());
    }

    fn target_answered(&self, target: &Target) {
        self.cold.answered(target, || self.clock.now());
    }
}

impl RoutingSource for ClusterState {
    fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.lock().routing.clone()
    }

    /// Empty while the evacuations are not known, so that nothing is sent to a zone that may be evacuated.
    fn catalog(&self) -> Arc<Catalog> {
        let state = self.lock();
        match state.awaits_evacuations {
            true => Arc::default(),
            false => Arc::clone(&state.catalog),
        }
    }

    fn cold_gate(&self) -> Option<Arc<ColdGate>> {
        self.cold.gate()
    }
}

/// Applies changes of the configuration object.
pub(crate) struct RoutingWatchHandler(pub(crate) Arc<ClusterState>);

impl WatchHandler for RoutingWatchHandler {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        let key = self.0.objects.routing_key();
        for object in listing.objects.iter().filter(|object| object.key == key) {
            self.0.apply_routing(&object.object.value);
        }
    }

    fn on_change(&self, change: Change, _version: Version) {
        if change.key == self.0.objects.routing_key()
            && let Some(value) = change.value
        {
            self.0.apply_routing(&value);
        }
    }
}

/// Applies changes of target entries.
pub(crate) struct TargetWatchHandler(pub(crate) Arc<ClusterState>);

impl WatchHandler for TargetWatchHandler {
    fn on_list(&self, listing: Listing, gap: DurationMs) {
        self.0.list_targets(&listing.objects, gap);
        (self.0.on_change)();
    }

    fn on_change(&self, change: Change, _version: Version) {
        self.0
            .set_target(&change.key, change.value.as_deref(), change.version);
        (self.0.on_change)();
    }
}

/// Applies weight versions that trainers publish.
pub(crate) struct VersionWatchHandler(pub(crate) Arc<ClusterState>);

impl WatchHandler for VersionWatchHandler {
    fn on_list(&self, listing: Listing, _gap: DurationMs) {
        for object in listing.objects {
            self.0.set_version(&object.key, &object.object.value);
        }
        (self.0.on_change)();
    }

    fn on_change(&self, change: Change, _version: Version) {
        if let Some(value) = change.value {
            self.0.set_version(&change.key, &value);
        }
        (self.0.on_change)();
    }
}
