//! Authentication of callers and authorization of calls.

use jm_config::{
    ActiveConfig, AllowedOrganisations, KeyHash, KeySecret, Route, Service, ServiceAccess, ServiceKind,
};
use jm_http::{Method, Request};
use jm_node::Node;
use jm_types::{KeyId, OrganisationId, ResultCode, ServiceId};

use crate::refusal::Refusal;

/// The authentication scheme, compared without regard to case.
const SCHEME: &str = "bearer ";

/// A caller whose API key was accepted.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The organisation that the key belongs to.
    pub(crate) organisation: OrganisationId,
    /// The id of the key.
    pub(crate) key: KeyId,
    hash: KeyHash,
}

impl Caller {
    /// Whether the configuration still assigns the key to the same organisation.
    pub(crate) fn is_valid(&self, config: &ActiveConfig) -> bool {
        let key = config.key(&self.hash);
        key.is_some_and(|key| key.id == self.key && key.organisation == self.organisation)
    }
}

/// A call that passed the access check.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Service that the call addresses.
    pub(crate) service: Service,
    /// Whether the call may be sent more than once.
    pub(crate) repeatable: bool,
    /// The authenticated caller. `None` for an open service.
    pub(crate) caller: Option<Caller>,
}

/// The secret in the `authorization` header. `None` when the request does not have this header.
pub(crate) fn bearer_token(request: &Request) -> Result<Option<KeySecret>, Refusal> {
    let Some(values) = request.header("authorization") else {
        return Ok(None);
    };
    let value = values.as_str();
    let scheme = value.get(..SCHEME.len()).unwrap_or_default();
    let secret = value.get(SCHEME.len()..).unwrap_or_default().trim();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME) && !secret.is_empty();
    if !is_bearer || values.iter().count() != 1 {
        let message = "the authorization header must be one value of the form `Bearer KEY`";
        return Err(Refusal::new(ResultCode::MissingKey, message));
    }
    Ok(Some(KeySecret::from_text(secret)))
}

/// Authenticates the request by its key. Fails with `NotFresh` when the configuration may be outdated, because a key
/// may have been withdrawn since.
pub(crate) fn authenticate(node: &Node, request: &Request) -> Result<Caller, Refusal> {
    let missing = || Refusal::new(ResultCode::MissingKey, "this call requires a key");
    let secret = bearer_token(request)?.ok_or_else(missing)?;
    require_fresh(node)?;
    let hash = secret.hash();
    let config = node.config.active();
    let unknown = || Refusal::new(ResultCode::UnknownKey, "the key is unknown");
    let key = config.key(&hash).ok_or_else(unknown)?;
    Ok(Caller {
        organisation: key.organisation.clone(),
        key: key.id.clone(),
        hash,
    })
}

/// Fails when the daemon cannot verify that its configuration is current.
pub(crate) fn require_fresh(node: &Node) -> Result<(), Refusal> {
    if node.is_fresh() {
        return Ok(());
    }
    let message = "the daemon cannot verify that its configuration is current; use another address";
    Err(Refusal::new(ResultCode::NotFresh, message))
}

/// Looks up a service by id. Fails when the service does not exist or is of another kind.
pub(crate) fn find_service(node: &Node, id: &ServiceId, kind: ServiceKind) -> Result<Service, Refusal> {
    let config = node.config.active();
    let Some(service) = config.service(id) else {
        // A configuration that is not current may lack a new service.
        require_fresh(node)?;
        return Err(Refusal::new(
            ResultCode::UnknownService,
            "the service does not exist",
        ));
    };
    if service.kind != kind {
        let message =
            "the service is of another kind; engine services use /v1/completions, plain ones /v1/services";
        return Err(Refusal::new(ResultCode::UnknownService, message));
    }
    Ok(service.clone())
}

/// Authorizes a call by the service, its routes and the key of the request. `path` is the part of the path after the
/// service id, without the query.
pub(crate) fn admit(
    node: &Node,
    request: &Request,
    service: Service,
    path: &str,
) -> Result<Admission, Refusal> {
    let method = request.method();
    match service.access {
        ServiceAccess::Open => {
            let route = find_route(node, &service.id, method, path)?;
            let is_open = route.organisations == AllowedOrganisations::All;
            require_allowed(is_open)?;
            Ok(Admission {
                repeatable: route.is_repeatable(method),
                service,
                caller: None,
            })
        }
        ServiceAccess::Keyed => {
            // Authenticates before the route lookup, so that a caller without a key cannot find out which routes exist.
            let caller = authenticate(node, request)?;
            let route = find_route(node, &service.id, method, path)?;
            require_allowed(route.organisations.contains(&caller.organisation))?;
            Ok(Admission {
                repeatable: route.is_repeatable(method),
                service,
                caller: Some(caller),
            })
        }
    }
}

fn find_route(node: &Node, service: &ServiceId, method: Method, path: &str) -> Result<Route, Refusal> {
    let config = node.config.active();
    let route = config.route(service, method, path).cloned();
    route.ok_or_else(|| Refusal::new(ResultCode::RouteNotAllowed, "no route matches the call"))
}

fn require_allowed(is_allowed: bool) -> Result<(), Refusal> {
    if is_allowed {
        return Ok(());
    }
    Err(Refusal::new(
        ResultCode::RouteNotAllowed,
        "the organisation may not use the route",
    ))
}

/// The secret that must not reach a target. A bearer token that is not a configured key is ignored, because a call of
/// an open service may carry any common word as its token.
pub(crate) fn protected_key(node: &Node, request: &Request) -> Option<KeySecret> {
    let secret = bearer_token(request).ok().flatten()?;
    let config = node.config.active();
    config.key(&secret.hash()).is_some().then_some(secret)
}
