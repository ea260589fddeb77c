//! Targets as the platform lists them.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jm_types::{ModelId, ServiceId, TargetId, WeightVersion, ZoneId};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Serving,
    /// It finishes what it has and then exits.
    Leaving,
}

/// One run of a target. A restart under the same id is another run that knows nothing of the one before.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The target.
    pub id: TargetId,
    /// When this run started, in milliseconds since the Unix epoch; zero when the target does not say.
    pub started_unix_ms: u64,
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The run that the entry describes.
    pub run: RunKey,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens. Addresses are used again by targets of other services.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it processes at the same time.
    pub slots: usize,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Weights that it has loaded, by model; the entry lags behind the target.
    pub models: IndexMap<ModelId, WeightVersion>,
}

impl Target {
    /// Whether it takes new work.
    pub fn is_serving(&self) -> bool {
        self.state == TargetState::Serving
    }
}

/// The targets of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    targets: IndexMap<TargetId, Target>,
}

impl Catalog {
    /// Every target by its id.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// The targets of a service that take new work.
    pub fn serving<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Target> {
        self.iter()
            .filter(move |target| target.service == *service && target.is_serving())
    }

    /// One target.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Adds or replaces a target.
    pub fn insert(&mut self, target: Target) {
        self.targets.insert(target.run.id.clone(), target);
    }

    /// Removes a target; returns whether it was listed.
    pub fn remove(&mut self, id: &TargetId) -> bool {
        self.targets.swap_remove(id).is_some()
    }

    /// Number of targets.
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
