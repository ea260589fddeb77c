//! Finds the origin of a stream that is resumed.

use std::{collections::BTreeSet, fmt, sync::Arc};

use async_std::task;
use async_trait::async_trait;
use jm_types::{DurationMs, OrganisationId, ResultCode, ServiceId};

use crate::{Catalog, ForwardResult, Origin, Resumption, Route, StreamKey, StreamRegistry, VersionsInUse};

/// Time for which a new stream waits until the versions in use are read, or until the store holds one that it may use.
const MAX_VERSIONS_WAIT_MS: DurationMs = DurationMs::new(500);

/// Time for which a resumption waits for a new listing of the targets, and one whose origin an earlier listing names for a new listing
/// of the origins.
const MAX_LISTING_WAIT_MS: DurationMs = DurationMs::new(500);

/// Age of the listed targets up to which they tell that a service has a single version. Hosts that are in touch with the store or with
/// each other list the targets more often.
const MAX_TARGETS_AGE_MS: DurationMs = DurationMs::new(2_500);

/// Reads what the hosts have stored about streams.
#[async_trait]
pub trait OriginSource: Send + Sync {
    /// Reads the versions in use and the stored origins into the registry, at a moment after the call. Returns whether it
    /// succeeded.
    async fn refresh(&self) -> bool;

    /// Makes sure that the store holds these versions, and reads the versions in use into the registry. Returns whether the store
    /// holds them.
    async fn store_versions(&self, versions: &VersionsInUse) -> bool;

    /// Asks the other hosts for the origin that they recorded for a stream: `Some(None)` if it is ambiguous, `None` if no host
    /// that answers knows it.
    async fn ask(&self, key: StreamKey) -> Option<Option<Origin>>;

    /// Lists the targets at a moment after the call, so that the catalog shows a target that has started again. Returns whether it
    /// succeeded.
    async fn list_targets(&self) -> bool;

    /// Time since the store last confirmed the targets that this host lists; `None` before the first listing.
    fn targets_age_ms(&self) -> Option<DurationMs>;

    /// Time within which a running host stores an origin that it has recorded.
    fn store_delay_ms(&self) -> DurationMs;
}

/// The streams of a host, with access to what other hosts know.
#[derive(Clone)]
pub struct Streams {
    /// What this host knows.
    pub registry: Arc<StreamRegistry>,
    /// Source of what other hosts know.
    pub source: Arc<dyn OriginSource>,
}

/// How the resumption of a stream ended, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionOutcome {
    /// A target of the version that began the stream answered.
    Continued,
    /// Refused: it is not known which version began the stream.
    Unknown,
    /// Refused: the store could not be asked which version began the stream.
    Unread,
    /// Refused: no target of the version that began the stream is available.
    NoTarget,
    /// Failed for a reason that has nothing to do with versions.
    Failed,
}

impl ResumptionOutcome {
    /// Outcome of a resumption whose origin was known.
    pub fn of(result: &ForwardResult) -> Self {
        match result.as_ref().map_err(|refusal| refusal.code) {
            Ok(_) => Self::Continued,
            Err(ResultCode::NoTarget | ResultCode::Evacuated) => Self::NoTarget,
            Err(_) => Self::Failed,
        }
    }

    /// Label for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Continued => "continued",
            Self::Unknown => "unknown",
            Self::Unread => "unread",
            Self::NoTarget => "no_target",
            Self::Failed => "failed",
        }
    }
}

/// Why the origin of a stream was not found. The resumption has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionRefusal {
    /// The version that began the stream is not known, or the route no longer leads to its service.
    Unknown,
    /// The store could not be read.
    Unread,
}

impl ResumptionRefusal {
    /// The outcome of the resumption that is refused.
    pub fn outcome(self) -> ResumptionOutcome {
        match self {
            Self::Unknown => ResumptionOutcome::Unknown,
            Self::Unread => ResumptionOutcome::Unread,
        }
    }
}

impl fmt::Display for ResumptionRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "it is not known which software version began the stream",
            Self::Unread => "the store could not be asked which software version began the stream",
        })
    }
}

impl Streams {
    /// Prepares the choice of a target for a new stream of `service`: reads the versions in use if this host has not done so yet and
    /// has to choose between versions, and stores those that are listed if the store holds none of them. Other hosts take the only
    /// stored version for the origin of the stream. A store that does not answer delays the stream for a limited time, and the
    /// stream then begins at any version.
    pub async fn prepare_versions(&self, service: &ServiceId, catalog: &Catalog) {
        let listed = VersionsInUse::listed(catalog, &BTreeSet::from([service.clone()]));
        if !self.registry.has_versions() && listed.is_mixed(service) {
            let _ = async_std::future::timeout(MAX_VERSIONS_WAIT_MS.as_std(), self.source.refresh()).await;
        }
        let is_stored = |origin| self.registry.is_in_use(&origin);
        if listed.of(service).is_some() && !listed.iter().any(is_stored) {
            let stored = self.source.store_versions(&listed);
            let _ = async_std::future::timeout(MAX_VERSIONS_WAIT_MS.as_std(), stored).await;
        }
    }

    /// Prepares the choice of a target for a resumption: lists the targets, because the target that broke the stream off may be back
    /// with other software. If that fails, for a limited time, the resumption goes on with the targets that were listed before.
    pub async fn prepare_targets(&self) {
        let _ = async_std::future::timeout(MAX_LISTING_WAIT_MS.as_std(), self.source.list_targets()).await;
    }

    /// Returns the origin of a stream that is resumed, and never guesses. If this host has no record of its own, it reads the
    /// store, asks the other hosts, and reads the store again, because a running host may not have stored it yet. An earlier
    /// listing counts only if the store does not answer: a host may have withdrawn an origin since. The only version in use
    /// counts only after the other hosts were asked: one of them may use a version that the store refuses to hold.
    ///
    /// # Errors
    ///
    /// Fails if the origin is not known or the store cannot be read.
    pub async fn resolve(
        &self,
        resumption: &Resumption,
        organisation: Option<&OrganisationId>,
        route: &Route,
        catalog: &(dyn Fn() -> Arc<Catalog> + Sync),
    ) -> Result<Origin, ResumptionRefusal> {
        let first = resumption.first_request.as_deref().unwrap_or_default();
        let key = StreamKey::new(organisation, first);
        if let Some(own) = key.and_then(|key| self.registry.own_origin(key)) {
            return allowed(own, route);
        }
        let listed = self.known(key, route);
        let read = self.read(key, route);
        let read = match listed {
            Some(_) => async_std::future::timeout(MAX_LISTING_WAIT_MS.as_std(), read)
                .await
                .unwrap_or(Err(ResumptionRefusal::Unread)),
            None => read.await,
        };
        if let Ok(Some(found)) = read {
            return found;
        }
        if let Some(asked) = self.ask(key, route).await {
            return asked;
        }
        if let Some(listed) = listed.filter(|_| read.is_err()) {
            return listed;
        }
        read?;
        if let Some(single) = self.single(route, first, &catalog()) {
            return Ok(single);
        }
        // A host that runs stores the origin, or the first versions of the fleet, within this time.
        task::sleep(self.source.store_delay_ms().as_std()).await;
        let found = self.read(key, route).await?;
        let found = found.or_else(|| self.single(route, first, &catalog()).map(Ok));
        found.unwrap_or(Err(ResumptionRefusal::Unknown))
    }

    /// Reads the store and looks the origin up. `None` if the store does not hold it.
    async fn read(
        &self,
        key: Option<StreamKey>,
        route: &Route,
    ) -> Result<Option<Result<Origin, ResumptionRefusal>>, ResumptionRefusal> {
        match self.source.refresh().await {
            true => Ok(self.known(key, route)),
            false => Err(ResumptionRefusal::Unread),
        }
    }

    async fn ask(&self, key: Option<StreamKey>, route: &Route) -> Option<Result<Origin, ResumptionRefusal>> {
        let recorded = self.source.ask(key?).await?;
        Some(allowed(recorded, route))
    }

    fn known(&self, key: Option<StreamKey>, route: &Route) -> Option<Result<Origin, ResumptionRefusal>> {
        let recorded = self.registry.origin(key?)?;
        Some(allowed(recorded, route))
    }

    /// The origin of any stream of the route, if its service has a single version. A listed version that is not stored counts
    /// as well: hosts that could not store it, or that could not read the store, use it already. A host that is out of step does
    /// not list it, so its listing counts only while it is recent.
    fn single(&self, route: &Route, first: &str, catalog: &Catalog) -> Option<Origin> {
        self.source
            .targets_age_ms()
            .filter(|age| *age <= MAX_TARGETS_AGE_MS)?;
        let service = route.service_for(first)?;
        let single = self.registry.single_version(service)?;
        let mut listed = catalog.iter().filter(|target| target.service == *service);
        listed
            .all(|target| target.software == single.software)
            .then_some(single)
    }
}

/// A recorded origin, unless it is ambiguous or the route no longer leads to its service.
fn allowed(recorded: Option<Origin>, route: &Route) -> Result<Origin, ResumptionRefusal> {
    let origin = recorded.filter(|origin| leads_to(route, &origin.service));
    origin.ok_or(ResumptionRefusal::Unknown)
}

fn leads_to(route: &Route, service: &ServiceId) -> bool {
    route.services.iter().any(|part| part.service == *service)
}
