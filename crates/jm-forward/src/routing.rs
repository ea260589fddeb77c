//! The routing table: routes, services, organisations and their keys.

use indexmap::{IndexMap, IndexSet};
use jm_route::stable_hash;
use jm_types::{ByteSize, DurationMs, ModelId, OrganisationId, Revision, ServiceId};

/// What may be done with the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a series of events; like a non-idempotent request unless `is_resumable`.
    Streaming {
        /// Whether another target can continue after the last event.
        is_resumable: bool,
    },
    /// Many requests are submitted at once and run later.
    Batch(BatchPolicy),
}

/// Terms of a batch route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPolicy {
    /// All results are due this long after the submission.
    pub due_ms: DurationMs,
    /// An item may be given up this long after the submission.
    pub give_up_ms: DurationMs,
    /// Whether all events of one result must come from one weight version.
    pub is_single_version: bool,
}

/// A service of a route with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the others.
    pub weight: u64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The host name of its requests.
    pub host: String,
    /// Beginning of the paths of its requests; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: DurationMs,
    /// Time within which an answer is on time.
    pub objective_ms: DurationMs,
    /// Rank; 0 is the most urgent.
    pub priority: u64,
    /// Services among which its requests are split.
    pub services: Vec<ServiceWeight>,
    /// Most targets to which one request may be sent.
    pub max_attempts: usize,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for a request; the same request id always gets the same one.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|part| part.weight).sum();
        if total == 0 {
            return self.services.first().map(|part| &part.service);
        }
        let mut point = stable_hash(request_id.as_bytes()) % total;
        for part in &self.services {
            if point < part.weight {
                return Some(&part.service);
            }
            point -= part.weight;
        }
        None
    }
}

/// What the configuration says of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineConfig {
    /// Requests that one engine processes at the same time.
    pub slots: usize,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: Option<u64>,
    /// Models that the engines can load.
    pub models: Vec<ModelId>,
}

/// How many targets of a service may be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityConfig {
    /// Largest number in one availability zone.
    pub max_per_zone: usize,
    /// Time that a new target takes until it serves.
    pub start_ms: DurationMs,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its id.
    pub id: ServiceId,
    /// Set when its targets are inference engines.
    pub engine: Option<EngineConfig>,
    /// Set when its targets can be ordered.
    pub capacity: Option<CapacityConfig>,
}

/// An organisation that may send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its id.
    pub id: OrganisationId,
    /// Rank of its requests; goes before that of the route.
    pub priority: Option<u64>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: ByteSize,
    /// Largest request body.
    pub body_bytes: ByteSize,
    /// Longest time for a head to arrive.
    pub head_timeout_ms: DurationMs,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout_ms: DurationMs,
}

/// One version of the configuration, compiled for look-ups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    /// Version of the configuration; only goes up.
    pub revision: Revision,
    /// Limits on what callers send.
    pub caller_limits: CallerLimits,
    routes_by_host: IndexMap<String, Vec<Route>>,
    services: IndexMap<ServiceId, Service>,
    organisations: Option<IndexMap<OrganisationId, Organisation>>,
    keys: IndexMap<String, OrganisationId>,
}

/// Who may send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route is public or the configuration has no organisations.
    Anyone,
    /// The key belongs to this organisation.
    Organisation(OrganisationId),
}

impl Access {
    /// The organisation, if the request runs for one.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Anyone => None,
            Self::Organisation(id) => Some(id),
        }
    }
}

/// Why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It has no key.
    MissingKey,
    /// No organisation has its key.
    UnknownKey,
}

impl RoutingTable {
    /// A table without routes.
    pub fn new(revision: Revision, caller_limits: CallerLimits) -> Self {
        Self {
            revision,
            caller_limits,
            routes_by_host: IndexMap::new(),
            services: IndexMap::new(),
            organisations: None,
            keys: IndexMap::new(),
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes_by_host.entry(route.host.clone()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.id.clone(), service);
    }

    /// Requires keys from now on: the configuration lists organisations, even if none.
    pub fn require_keys(&mut self) {
        self.organisations.get_or_insert_default();
    }

    /// Adds an organisation with its keys, and requires keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = String>) {
        for key in keys {
            self.keys.insert(key, organisation.id.clone());
        }
        let organisations = self.organisations.get_or_insert_default();
        organisations.insert(organisation.id.clone(), organisation);
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether any route is for this host name.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes_by_host.contains_key(host)
    }

    /// Whether `key` allows a request on `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Result<Access, AccessRefusal> {
        if route.is_public {
            return Ok(Access::Anyone);
        }
        self.key_access(key)
    }

    /// Whose key it is, for requests that no route concerns.
    pub fn key_access(&self, key: Option<&str>) -> Result<Access, AccessRefusal> {
        if self.organisations.is_none() {
            return Ok(Access::Anyone);
        }
        let key = key.ok_or(AccessRefusal::MissingKey)?;
        let organisation = self.keys.get(key).ok_or(AccessRefusal::UnknownKey)?;
        Ok(Access::Organisation(organisation.clone()))
    }

    /// Rank of a request; 0 is the most urgent.
    pub fn priority(&self, route: &Route, access: &Access) -> u64 {
        let own = access
            .organisation()
            .and_then(|id| self.organisations.as_ref()?.get(id)?.priority);
        own.unwrap_or(route.priority)
    }

    /// One service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Every model of every service.
    pub fn models(&self) -> IndexSet<ModelId> {
        let engines = self.services().filter_map(|service| service.engine.as_ref());
        engines.flat_map(|engine| engine.models.iter().cloned()).collect()
    }
}
