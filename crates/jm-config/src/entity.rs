//! The entities that the sections of the operators' document define, and their parsing.

use std::{net::SocketAddr, str::FromStr};

use jm_http::Method;
use jm_types::{
    DurationMs, KeyId, ModelId, OrganisationId, RegionId, ResultCode, ServiceId, Share, TargetId, TokenCount,
    ZoneId,
};

use crate::{
    path::PathPrefix,
    read::{ID, SectionReader, parse_list},
    secret::KeyHash,
};

const HASH: &str = "the SHA-256 hash of the secret as 64 hexadecimal digits";
const TEXT: &str = "one line of text";
const PERCENT: &str = "a percentage from 50 to 99.999";
const WEIGHT: &str = "a number from 0.001 to 1000000";
const PREFIX: &str = "a path that starts with '/' and has no empty, '.' or '..' segments";
const METHOD: &str = "GET, HEAD, PUT, DELETE, POST, PATCH or any";
const ORGANISATIONS: &str = "all, or ids of organisations separated by commas";

/// Value of the key `organisations` in a route that every organisation may use.
pub(crate) const EVERY_ORGANISATION: &str = "all";

const MAX_TARGETS: u64 = 1_000_000;
const MAX_WINDOW_TOKENS: u64 = 100_000_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_QUEUED: u64 = 1_000_000;
const MAX_STALENESS: u64 = 1_000_000;
const MAX_GROUP: u64 = 65_536;

/// A customer. Keys belong to an organisation, and usage is attributed to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The id under which usage is reported.
    pub id: OrganisationId,
    /// The display name.
    pub name: Option<String>,
    /// A free-text note by the operators.
    pub note: Option<String>,
}

/// An API key of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// The id of the key, which is not secret.
    pub id: KeyId,
    /// The organisation on whose behalf requests with this key run.
    pub organisation: OrganisationId,
    /// The SHA-256 hash of the secret.
    pub sha256: KeyHash,
    /// A free-text note by the operators.
    pub note: Option<String>,
}

/// An availability zone, which targets and daemons refer to by its id.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// The id that targets and daemons refer to.
    pub id: ZoneId,
    /// The region that contains the zone.
    pub region: RegionId,
}

/// The pricing class of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// The target runs until it is released.
    Regular,
    /// The target costs less, and the platform may reclaim it at a few seconds' notice.
    Cheap,
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// The target accepts new work.
    Serving,
    /// The target finishes its current work and receives no new work.
    Leaving,
}

/// An engine or an instance of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The id, unique among the targets of all services.
    pub id: TargetId,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// Pricing class, which says whether the platform may reclaim the target.
    pub kind: TargetKind,
    /// Whether the target refuses orders with an older fencing number.
    pub checks_orders: bool,
    /// Maximum number of tokens in flight. `None` means the default of the dispatch daemon.
    pub window_tokens: Option<TokenCount>,
    /// Whether the target accepts new work.
    pub state: TargetState,
}

/// Bounds on the number of targets of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// The id of the section.
    pub id: String,
    /// The service to which the bounds apply.
    pub service: ServiceId,
    /// Minimum number of regular targets.
    pub regular_min: u64,
    /// Maximum number of regular targets.
    pub regular_max: u64,
    /// Minimum number of cheap targets.
    pub cheap_min: u64,
    /// Maximum number of cheap targets.
    pub cheap_max: u64,
}

/// The kind of targets that run a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Inference engines.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// Which callers have access to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceAccess {
    /// Only callers with a valid API key.
    Keyed,
    /// All callers, including those without a key.
    Open,
}

/// A service-level objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    /// The minimum percentage of live requests that are answered completely within `latency_ms`.
    pub percent: f64,
    /// The time limit for a complete answer.
    pub latency_ms: DurationMs,
}

/// A service that callers address.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The id in paths and requests.
    pub id: ServiceId,
    /// The kind of targets that run the service.
    pub kind: ServiceKind,
    /// The model that the engines load. `Some` if and only if `kind` is [`ServiceKind::Engine`].
    pub model: Option<ModelId>,
    /// Which callers have access.
    pub access: ServiceAccess,
    /// Maximum duration of a request.
    pub timeout_ms: DurationMs,
    /// The objective for which burn rates are computed; `None` when the service has no objective.
    pub objective: Option<Objective>,
}

/// The methods of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MethodFilter {
    /// Matches every method.
    Any,
    /// Matches one method.
    Only(Method),
}

impl FromStr for MethodFilter {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "any" => Ok(Self::Any),
            "GET" => Ok(Self::Only(Method::Get)),
            "HEAD" => Ok(Self::Only(Method::Head)),
            "PUT" => Ok(Self::Only(Method::Put)),
            "DELETE" => Ok(Self::Only(Method::Delete)),
            "POST" => Ok(Self::Only(Method::Post)),
            "PATCH" => Ok(Self::Only(Method::Patch)),
            _ => Err(()),
        }
    }
}

/// The organisations that may use a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedOrganisations {
    /// Every organisation that has access to the service.
    All,
    /// Only the listed organisations.
    Only(Vec<OrganisationId>),
}

impl AllowedOrganisations {
    /// Whether `organisation` may use the route.
    pub fn contains(&self, organisation: &OrganisationId) -> bool {
        match self {
            Self::All => true,
            Self::Only(ids) => ids.contains(organisation),
        }
    }
}

impl FromStr for AllowedOrganisations {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            EVERY_ORGANISATION => Ok(Self::All),
            ids => parse_list(ids).map(Self::Only).ok_or(()),
        }
    }
}

/// A set of calls of a service and the organisations that may make them.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The id of the section.
    pub id: String,
    /// The service that is called.
    pub service: ServiceId,
    /// The methods that the route matches.
    pub method: MethodFilter,
    /// The paths that the route matches.
    pub path: PathPrefix,
    /// Whether a call may be retried. `None` means the default of the method; see [`Route::is_repeatable`].
    pub repeatable: Option<bool>,
    /// The organisations that may use the route.
    pub organisations: AllowedOrganisations,
}

impl Route {
    /// Whether a call with `method` may be retried. By default GET, HEAD, PUT and DELETE are retried and other methods
    /// are not. The key `repeatable` overrides this default.
    pub fn is_repeatable(&self, method: Method) -> bool {
        let idempotent = matches!(method, Method::Get | Method::Head | Method::Put | Method::Delete);
        self.repeatable.unwrap_or(idempotent)
    }
}

/// The weight and the queue limit of an organisation in a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Sharing {
    /// The id of the section.
    pub id: String,
    /// The service that is shared.
    pub service: ServiceId,
    /// The organisation that receives the share.
    pub organisation: OrganisationId,
    /// The weight in fair queueing.
    pub weight: Share,
    /// Maximum number of queued requests of the organisation.
    pub max_queued: u64,
}

/// Bounds on an organisation's training steps.
#[derive(Debug, Clone, PartialEq)]
pub struct Training {
    /// The id of the section.
    pub id: String,
    /// The organisation that trains.
    pub organisation: OrganisationId,
    /// The service that produces the samples.
    pub service: ServiceId,
    /// Largest staleness bound that a step may request, in weight versions.
    pub max_staleness: u64,
    /// Largest group size that a step may request, in samples.
    pub max_group_size: u64,
}

impl Organisation {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let name = reader.optional("name", TEXT);
        let note = reader.optional("note", TEXT);
        Some(Self {
            id: OrganisationId::new(id).ok()?,
            name,
            note,
        })
    }
}

impl Key {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let organisation = reader.required("organisation", ID);
        let sha256 = reader.required_secret("sha256", HASH);
        let note = reader.optional("note", TEXT);
        Some(Self {
            id: KeyId::new(id).ok()?,
            organisation: organisation?,
            sha256: sha256?,
            note,
        })
    }
}

impl Zone {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let region = reader.required("region", ID);
        Some(Self {
            id: ZoneId::new(id).ok()?,
            region: region?,
        })
    }
}

impl Target {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let service = reader.required("service", ID);
        let zone = reader.required("zone", ID);
        let address = reader.required_reachable_address("address");
        let kinds = [("regular", TargetKind::Regular), ("cheap", TargetKind::Cheap)];
        let kind = reader.required_word("kind", &kinds);
        let checks_orders = reader.required_yes_no("checks_orders");
        let window_tokens = reader.bounded("window_tokens", 1, MAX_WINDOW_TOKENS);
        let states = [
            ("serving", TargetState::Serving),
            ("leaving", TargetState::Leaving),
        ];
        let state = reader.word("state", &states);
        Some(Self {
            id: TargetId::new(id).ok()?,
            service: service?,
            zone: zone?,
            address: address?,
            kind: kind?,
            checks_orders: checks_orders?,
            window_tokens,
            state: state.unwrap_or(TargetState::Serving),
        })
    }
}

impl Capacity {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let service = reader.required("service", ID);
        let regular_min = reader.required_bounded("regular_min", 0, MAX_TARGETS);
        let regular_max = reader.required_bounded("regular_max", 0, MAX_TARGETS);
        let cheap_min = reader.required_bounded("cheap_min", 0, MAX_TARGETS);
        let cheap_max = reader.required_bounded("cheap_max", 0, MAX_TARGETS);
        require_order(reader, "regular_max", regular_min, regular_max);
        require_order(reader, "cheap_max", cheap_min, cheap_max);
        Some(Self {
            id: id.to_owned(),
            service: service?,
            regular_min: regular_min?,
            regular_max: regular_max?,
            cheap_min: cheap_min?,
            cheap_max: cheap_max?,
        })
    }
}

fn require_order(reader: &mut SectionReader<'_>, max_key: &str, min: Option<u64>, max: Option<u64>) {
    if let (Some(min), Some(max)) = (min, max)
        && max < min
    {
        let message = format!("{max_key:?} is {max}, which is less than the minimum of {min}");
        reader.add_error(
            max_key,
            ResultCode::OutOfRange,
            message,
            "a number that is not less than the minimum",
        );
    }
}

impl Service {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let kinds = [("engine", ServiceKind::Engine), ("plain", ServiceKind::Plain)];
        let kind = reader.required_word("kind", &kinds);
        let model = read_model(reader, kind);
        let access = [("keyed", ServiceAccess::Keyed), ("open", ServiceAccess::Open)];
        let access = reader.required_word("access", &access);
        let timeout_ms = reader.required_bounded("timeout", 1, MAX_TIMEOUT_MS);
        let objective = Objective::read(reader);
        Some(Self {
            id: ServiceId::new(id).ok()?,
            kind: kind?,
            model,
            access: access?,
            timeout_ms: timeout_ms?,
            objective,
        })
    }
}

fn read_model(reader: &mut SectionReader<'_>, kind: Option<ServiceKind>) -> Option<ModelId> {
    if kind == Some(ServiceKind::Engine) {
        return reader.required("model", ID);
    }
    let model = reader.optional("model", ID);
    if kind == Some(ServiceKind::Plain) && model.is_some() {
        let message = "a plain service has no model".to_owned();
        reader.add_error(
            "model",
            ResultCode::BadValue,
            message,
            "the key \"model\" only with kind = engine",
        );
    }
    model
}

impl Objective {
    /// Parses the two keys of an objective. Either both are present or neither is.
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let percent = reader.optional::<f64>("objective_percent", PERCENT);
        let latency_ms = reader.bounded("objective_latency", 1, MAX_TIMEOUT_MS);
        if let Some(percent) = percent
            && !(50.0..=99.999).contains(&percent)
        {
            let message = format!("\"objective_percent\" is {percent}, which is out of range");
            reader.add_error("objective_percent", ResultCode::OutOfRange, message, PERCENT);
        }
        for (key, other) in [
            ("objective_percent", "objective_latency"),
            ("objective_latency", "objective_percent"),
        ] {
            reader.require_with(key, other);
        }
        Some(Self {
            percent: percent?,
            latency_ms: latency_ms?,
        })
    }
}

impl Route {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let service = reader.required("service", ID);
        let method = reader.required("method", METHOD);
        let path = reader.required("path", PREFIX);
        let repeatable = reader.yes_no("repeatable");
        let organisations = reader.required("organisations", ORGANISATIONS);
        Some(Self {
            id: id.to_owned(),
            service: service?,
            method: method?,
            path: path?,
            repeatable,
            organisations: organisations?,
        })
    }
}

impl Sharing {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let service = reader.required("service", ID);
        let organisation = reader.required("organisation", ID);
        let weight: Option<Share> = reader.required("weight", WEIGHT);
        if let Some(weight) = weight
            && !(0.001..=1_000_000.0).contains(&weight.get())
        {
            let message = format!("\"weight\" is {weight}, which is out of range");
            reader.add_error("weight", ResultCode::OutOfRange, message, WEIGHT);
        }
        let max_queued = reader.required_bounded("max_queued", 1, MAX_QUEUED);
        Some(Self {
            id: id.to_owned(),
            service: service?,
            organisation: organisation?,
            weight: weight?,
            max_queued: max_queued?,
        })
    }
}

impl Training {
    pub(crate) fn read(id: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let organisation = reader.required("organisation", ID);
        let service = reader.required("service", ID);
        let max_staleness = reader.required_bounded("max_staleness", 0, MAX_STALENESS);
        let max_group_size = reader.required_bounded("max_group_size", 1, MAX_GROUP);
        Some(Self {
            id: id.to_owned(),
            organisation: organisation?,
            service: service?,
            max_staleness: max_staleness?,
            max_group_size: max_group_size?,
        })
    }
}
