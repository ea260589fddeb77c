//! Passes what entries and responses say about cold targets to the gate that all senders of this host share.

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use jm_forward::{Catalog, ColdGate, RoutingTable, RunKey, Target};
use jm_platform::Version;
use jm_types::{DurationMs, LogEvent, TargetId, Timestamp, WallClock};
use log::kv::ToValue;

struct GateInputs {
    gate: Arc<ColdGate>,
    wall: Arc<dyn WallClock>,
    /// Version of the last entry of each target that is cold or whose service has a limit. An entry that is listed again
    /// unchanged says nothing new about the time for which its target stays cold.
    versions: Mutex<IndexMap<TargetId, Version>>,
}

/// Source of the gate's information about targets. The default one has no gate and records nothing.
#[derive(Default)]
pub(crate) struct ColdEntries(Option<GateInputs>);

impl ColdEntries {
    pub(crate) fn new(gate: Arc<ColdGate>, wall: Arc<dyn WallClock>) -> Self {
        Self(Some(GateInputs {
            gate,
            wall,
            versions: Mutex::default(),
        }))
    }

    pub(crate) fn gate(&self) -> Option<Arc<ColdGate>> {
        Some(Arc::clone(&self.0.as_ref()?.gate))
    }

    /// Applies the limits of a configuration. The targets of services that had no limit before are recorded as if they were
    /// listed now.
    pub(crate) fn configured(&self, table: &RoutingTable, catalog: &Catalog, now: Timestamp) {
        let Some(inputs) = &self.0 else { return };
        let new = inputs.gate.set_limits(table);
        for target in catalog.iter().filter(|target| new.contains(&target.service)) {
            inputs.record(target, now);
        }
    }

    /// Records an entry, unless it is not newer than the last one of its target.
    pub(crate) fn listed(&self, target: &Target, version: Version, now: Timestamp) {
        let Some(inputs) = &self.0 else { return };
        // The version of a cold target's entry is kept without a limit too, because a limit may be configured later.
        if target.cold_left_ms.get() == 0 && !inputs.gate.is_limited(&target.service) {
            return;
        }
        let mut versions = inputs.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let last = versions.insert(target.run.id.clone(), version);
        match last.filter(|last| version <= *last) {
            Some(last) => {
                versions.insert(target.run.id.clone(), last);
            }
            None => inputs.record(target, now),
        }
    }

    /// Records that a target reported in a response that it stays cold for `left_ms`.
    pub(crate) fn reported(&self, target: &Target, run: &RunKey, left_ms: DurationMs, now: Timestamp) {
        let Some(inputs) = &self.0 else { return };
        if inputs.gate.observe(&target.service, run, left_ms, now) {
            log_cold(run, "the target reported in a response that it is cold");
        }
    }

    pub(crate) fn unreachable(&self, target: &Target, now: Timestamp) {
        let Some(inputs) = &self.0 else { return };
        if inputs.gate.connection_failed(target, now) {
            log_cold(
                &target.run,
                "a connection to the target failed; it counts as cold",
            );
        }
    }

    /// Reads the time only while a target is cold, because this is called for each response.
    pub(crate) fn answered(&self, target: &Target, now: impl FnOnce() -> Timestamp) {
        let gate = self.0.as_ref().map(|inputs| &inputs.gate);
        if let Some(gate) = gate.filter(|gate| gate.has_cold()) {
            gate.answered(target, now());
        }
    }

    /// Removes targets that became warm or are gone.
    pub(crate) fn update(&self, catalog: &Catalog, now: Timestamp) {
        let Some(inputs) = &self.0 else { return };
        for run in inputs.gate.retain(catalog, now) {
            log_transition(LogEvent::TargetWarm, &run, "the target is no longer cold");
        }
        let mut versions = inputs.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.retain(|id, _| catalog.get(id).is_some());
    }
}

impl GateInputs {
    fn record(&self, target: &Target, now: Timestamp) {
        if self.gate.listed(target, self.wall.unix_ms(), now) {
            log_cold(&target.run, "the target is listed as cold or started recently");
        }
    }
}

fn log_cold(run: &RunKey, message: &str) {
    log_transition(LogEvent::TargetCold, run, message);
}

fn log_transition(event: LogEvent, run: &RunKey, message: &str) {
    let fields: [(&str, &dyn ToValue); 2] = [
        ("target", &run.id.as_str()),
        ("started_unix_ms", &run.started_unix_ms),
    ];
    event.write_fields(message, &fields);
}
