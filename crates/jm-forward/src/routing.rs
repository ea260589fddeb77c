//! Routing table: routes, services, organisations and their API keys.

use indexmap::{IndexMap, IndexSet};
use jm_route::stable_hash;
use jm_types::{ByteSize, DurationMs, ModelId, OrganisationId, Rate, Revision, ServiceId};

/// How requests of a route may be retried or scheduled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The response is a stream of events. The forwarder handles the request like a non-idempotent one.
    Streaming {
        /// Whether another target can resume the stream after the last event. The forwarder does not use it.
        is_resumable: bool,
    },
    /// Many requests are submitted together and run later.
    Batch(BatchPolicy),
}

/// Deadlines and consistency rules of a batch route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPolicy {
    /// Time after the submission by which all results are due.
    pub due_ms: DurationMs,
    /// Time after the submission from which an unfinished item may be abandoned.
    pub give_up_ms: DurationMs,
    /// Whether all events of one result must be generated with one weight version.
    pub is_single_version: bool,
}

/// A service of a route and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Share relative to the sum over all services of the route.
    pub weight: u64,
}

/// A route: maps a host name and a path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration, for logs and metrics.
    pub name: String,
    /// Host name that requests must be addressed to.
    pub host: String,
    /// Path prefix of its requests. Starts and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be retried or scheduled.
    pub kind: RouteKind,
    /// Maximum time until the caller gets a response.
    pub timeout_ms: DurationMs,
    /// Latency objective: a response within this time counts as good.
    pub objective_ms: DurationMs,
    /// Priority; 0 is the highest.
    pub priority: u64,
    /// Services that share its requests by weight.
    pub services: Vec<ServiceWeight>,
    /// Maximum number of attempts for one request, including hedged ones.
    pub max_attempts: usize,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

impl Route {
    /// Selects the service for a request. The same request id always maps to the same service. `None` if the route has
    /// no services.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceId> {
        // A configuration may hold any weights, and an overflow must not end the process.
        let weights = self.services.iter().map(|part| part.weight);
        let total = weights.fold(0_u64, u64::saturating_add);
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

/// Configuration of a service's inference engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineConfig {
    /// Number of requests that one engine processes concurrently.
    pub slots: usize,
    /// Number of tokens that fit into the memory of one engine. `None` if it is not configured.
    pub memory_tokens: Option<u64>,
    /// Models that the engines can load.
    pub models: Vec<ModelId>,
}

/// Limits for ordering targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityConfig {
    /// Maximum number of targets in one availability zone.
    pub max_per_zone: usize,
    /// Time from the order of a target until it serves.
    pub start_ms: DurationMs,
}

/// How targets of a service behave while they are cold, that is, in the time after their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which a target is cold after it starts.
    pub duration_ms: DurationMs,
    /// Requests per second that a cold target tolerates; more than 0.
    pub requests_per_s: Rate,
}

/// A service: the targets that run the same program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Id in the configuration.
    pub id: ServiceId,
    /// Set if its targets are inference engines; `None` for a plain service.
    pub engine: Option<EngineConfig>,
    /// Set if its targets can be ordered from the platform.
    pub capacity: Option<CapacityConfig>,
    /// Set if its targets tolerate only a limited rate of requests while they are cold.
    pub cold_start: Option<ColdStart>,
}

/// An organisation that may send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Id in the configuration.
    pub id: OrganisationId,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u64>,
}

/// Limits for requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: ByteSize,
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Maximum time to receive a request head.
    pub head_timeout_ms: DurationMs,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout_ms: DurationMs,
}

/// One revision of the configuration, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    /// Revision of the configuration; it only increases.
    pub revision: Revision,
    /// Limits for requests and connections of callers.
    pub caller_limits: CallerLimits,
    routes_by_host: IndexMap<String, Vec<Route>>,
    services: IndexMap<ServiceId, Service>,
    organisations: Option<IndexMap<OrganisationId, Organisation>>,
    keys: IndexMap<String, OrganisationId>,
}

/// On whose behalf a request was admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// No key is required: the route is public or the configuration lists no organisations.
    Anyone,
    /// The request carries a key of this organisation.
    Organisation(OrganisationId),
}

impl Access {
    /// Organisation whose key was used. `None` if no key was required.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Anyone => None,
            Self::Organisation(id) => Some(id),
        }
    }
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessRefusal {
    /// A key is required and the request has none.
    MissingKey,
    /// The key belongs to no organisation.
    UnknownKey,
}

impl RoutingTable {
    /// Creates a table without routes, services or organisations.
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

    /// Adds a route. Routes of one host are matched by longest path prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes_by_host.entry(route.host.clone()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }

    /// Adds a service, or replaces the one with the same id.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.id.clone(), service);
    }

    /// Requires API keys on routes that are not public, even if no organisation is added.
    pub fn require_keys(&mut self) {
        self.organisations.get_or_insert_default();
    }

    /// Adds an organisation with its API keys. Implies [`Self::require_keys`].
    pub fn add_organisation(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = String>) {
        for key in keys {
            self.keys.insert(key, organisation.id.clone());
        }
        let organisations = self.organisations.get_or_insert_default();
        organisations.insert(organisation.id.clone(), organisation);
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten()
    }

    /// Whether any route has this host name.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes_by_host.contains_key(host)
    }

    /// Checks whether `key` admits a request on `route`.
    ///
    /// # Errors
    ///
    /// Fails if the route requires a key and `key` is missing or unknown.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Result<Access, AccessRefusal> {
        if route.is_public {
            return Ok(Access::Anyone);
        }
        self.key_access(key)
    }

    /// Returns the organisation of `key`, for requests that belong to no route.
    ///
    /// # Errors
    ///
    /// Fails if keys are required and `key` is missing or unknown.
    pub fn key_access(&self, key: Option<&str>) -> Result<Access, AccessRefusal> {
        if self.organisations.is_none() {
            return Ok(Access::Anyone);
        }
        let key = key.ok_or(AccessRefusal::MissingKey)?;
        let organisation = self.keys.get(key).ok_or(AccessRefusal::UnknownKey)?;
        Ok(Access::Organisation(organisation.clone()))
    }

    /// Priority of a request: that of its organisation if set, otherwise that of the route. 0 is the highest.
    pub fn priority(&self, route: &Route, access: &Access) -> u64 {
        let own = access
            .organisation()
            .and_then(|id| self.organisations.as_ref()?.get(id)?.priority);
        own.unwrap_or(route.priority)
    }

    /// Returns a service, or `None` if it is not configured.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All configured services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All models that engines of any service can load.
    pub fn models(&self) -> IndexSet<ModelId> {
        let engines = self.services().filter_map(|service| service.engine.as_ref());
        engines.flat_map(|engine| engine.models.iter().cloned()).collect()
    }
}
