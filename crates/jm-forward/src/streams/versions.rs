//! Software versions that are in use, by service.
//!
//! Load pattern: versions come and go a few times a day, while each new stream and each resumption asks for them.

use std::collections::{BTreeMap, BTreeSet};

use jm_types::{DurationMs, ServiceId, SoftwareVersion, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{Catalog, Origin};

/// Software versions by service. Targets without a version count as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionsInUse {
    services: BTreeMap<ServiceId, BTreeSet<Option<SoftwareVersion>>>,
}

impl VersionsInUse {
    /// Versions of all listed targets of `services`, also of those that are leaving or evacuated.
    pub fn listed(catalog: &Catalog, services: &BTreeSet<ServiceId>) -> Self {
        let wanted = catalog.iter().filter(|target| services.contains(&target.service));
        wanted
            .map(|target| Origin {
                service: target.service.clone(),
                software: target.software.clone(),
            })
            .collect()
    }

    /// Versions of one service; `None` if it has none.
    pub fn of(&self, service: &ServiceId) -> Option<&BTreeSet<Option<SoftwareVersion>>> {
        self.services.get(service)
    }

    /// The only version of a service, if it has exactly one.
    pub fn single(&self, service: &ServiceId) -> Option<Origin> {
        let versions = self.of(service).filter(|versions| versions.len() == 1)?;
        let software = versions.first().cloned()?;
        Some(Origin {
            service: service.clone(),
            software,
        })
    }

    /// Whether a service has more than one version.
    pub fn is_mixed(&self, service: &ServiceId) -> bool {
        self.of(service).is_some_and(|versions| versions.len() > 1)
    }

    /// Whether this version of this service is in use.
    pub fn contains(&self, origin: &Origin) -> bool {
        self.of(&origin.service)
            .is_some_and(|versions| versions.contains(&origin.software))
    }

    /// Whether every version of `other` is part of this one.
    pub fn covers(&self, other: &Self) -> bool {
        other.iter().all(|origin| self.contains(&origin))
    }

    /// All versions of all services.
    pub fn iter(&self) -> impl Iterator<Item = Origin> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|software| Origin {
                service: service.clone(),
                software: software.clone(),
            })
        })
    }

    /// The versions of both.
    pub fn union(&self, other: &Self) -> Self {
        self.iter().chain(other.iter()).collect()
    }

    /// Removes `origins`, but never the last version of a service.
    pub fn without(&self, origins: &BTreeSet<Origin>) -> Self {
        let mut rest = self.clone();
        for origin in origins {
            let versions = rest.services.get_mut(&origin.service);
            if let Some(versions) = versions.filter(|versions| versions.len() > 1) {
                versions.remove(&origin.software);
            }
        }
        rest
    }
}

impl FromIterator<Origin> for VersionsInUse {
    fn from_iter<I: IntoIterator<Item = Origin>>(origins: I) -> Self {
        let mut versions = Self::default();
        for origin in origins {
            let service = versions.services.entry(origin.service).or_default();
            service.insert(origin.software);
        }
        versions
    }
}

/// Since when versions in use have had no listed target. A process that starts counts anew, which only keeps them longer.
#[derive(Debug, Default)]
pub struct AbsentVersions {
    since: BTreeMap<Origin, Timestamp>,
}

impl AbsentVersions {
    /// Compares the versions in use with those that are listed now.
    pub fn update(&mut self, in_use: &VersionsInUse, listed: &VersionsInUse, now: Timestamp) {
        self.since
            .retain(|origin, _| in_use.contains(origin) && !listed.contains(origin));
        for origin in in_use.iter().filter(|origin| !listed.contains(origin)) {
            self.since.entry(origin).or_insert(now);
        }
    }

    /// Versions that have had no listed target for longer than `limit`.
    pub fn longer_than(&self, limit: DurationMs, now: Timestamp) -> BTreeSet<Origin> {
        let absent = self.since.iter();
        let absent = absent.filter(|(_, since)| now.since(**since) > limit);
        absent.map(|(origin, _)| origin.clone()).collect()
    }
}
