//! Targets as listed by the platform.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jm_types::{DurationMs, ModelId, ServiceId, SoftwareVersion, TargetId, WeightVersion, ZoneId};

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts new requests.
    Serving,
    /// Draining: finishes its requests and then exits.
    Leaving,
    /// Listed and running in an evacuated zone: finishes its requests and accepts no new ones until the evacuation ends.
    Evacuated,
}

/// Identifies one run of a target process. A restart under the same id is a new run without the state of the previous
/// one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// Id of the target, which stays the same across restarts.
    pub id: TargetId,
    /// Start time of this run in milliseconds since the Unix epoch; zero if the target does not report it.
    pub started_unix_ms: u64,
}

/// A target of a service, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Run that this entry describes.
    pub run: RunKey,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that the target listens on. The platform reuses addresses for targets of other services.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Number of requests that the target processes concurrently.
    pub slots: usize,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Loaded weight version by model. The list lags behind the target.
    pub models: IndexMap<ModelId, WeightVersion>,
    /// Version of the target's software; `None` if its entry names none.
    pub software: Option<SoftwareVersion>,
    /// Time for which the target stayed cold when it wrote its entry; zero if it was warm or does not report it.
    pub cold_left_ms: DurationMs,
}

impl Target {
    /// Whether the target accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.state == TargetState::Serving
    }
}

/// All listed targets of all services, by target id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    targets: IndexMap<TargetId, Target>,
}

impl Catalog {
    /// All targets, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Targets of a service that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Target> {
        self.iter()
            .filter(move |target| target.service == *service && target.is_serving())
    }

    /// Whether a service has targets that would accept new requests if their zones were not evacuated.
    pub fn has_evacuated(&self, service: &ServiceId) -> bool {
        self.iter()
            .any(|target| target.service == *service && target.state == TargetState::Evacuated)
    }

    /// Returns a target, or `None` if it is not listed.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Adds a target, or replaces the entry with the same id.
    pub fn insert(&mut self, target: Target) {
        self.targets.insert(target.run.id.clone(), target);
    }

    /// Removes a target; returns whether it was listed.
    pub fn remove(&mut self, id: &TargetId) -> bool {
        self.targets.swap_remove(id).is_some()
    }

    /// Number of targets, including draining ones.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is listed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

impl FromIterator<Target> for Catalog {
    fn from_iter<I: IntoIterator<Item = Target>>(targets: I) -> Self {
        let mut catalog = Self::default();
        for target in targets {
            catalog.insert(target);
        }
        catalog
    }
}
