//! Who may call what.

use jm_config::{
    ActiveConfig, AllowedOrganisations, KeyHash, KeySecret, Route, Service, ServiceAccess, ServiceKind,
};
use jm_http::{Method, Request};
use jm_node::Node;
use jm_types::{KeyId, OrganisationId, ResultCode, ServiceId};

use crate::refusal::Refusal;

const SCHEME: &str = "bearer ";

/// The holder of a key.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The organisation that the key belongs to.
    pub(crate) organisation: OrganisationId,
    /// The name of the key.
    pub(crate) key: KeyId,
    hash: KeyHash,
}

impl Caller {
    /// Whether the key still stands for the same organisation.
    pub(crate) fn is_valid(&self, config: &ActiveConfig) -> bool {
        let key = config.key(&self.hash);
        key.is_some_and(|key| key.id == self.key && key.organisation == self.organisation)
    }
}

/// A call that may be made.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The service.
    pub(crate) service: Service,
    /// Whether the call may be sent twice.
    pub(crate) repeatable: bool,
    /// The holder of the key; none for an open service.
    pub(crate) caller: Option<Caller>,
}

/// The secret of the bearer header; none without the header.
pub(crate) fn bearer(request: &Request) -> Result<Option<KeySecret>, Refusal> {
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

/// The holder of the request's key. Only a daemon whose configuration is current can tell.
pub(crate) fn authenticate(node: &Node, request: &Request) -> Result<Caller, Refusal> {
    let missing = || Refusal::new(ResultCode::MissingKey, "this call needs a key");
    let secret = bearer(request)?.ok_or_else(missing)?;
    require_fresh(node)?;
    let hash = secret.hash();
    let config = node.config.active();
    let unknown = || Refusal::new(ResultCode::UnknownKey, "the key is not known");
    let key = config.key(&hash).ok_or_else(unknown)?;
    Ok(Caller {
        organisation: key.organisation.clone(),
        key: key.id.clone(),
        hash,
    })
}

/// Refuses when the configuration is not known to be current.
pub(crate) fn require_fresh(node: &Node) -> Result<(), Refusal> {
    if node.is_fresh() {
        return Ok(());
    }
    let message = "the daemon cannot tell whether its configuration is current; use another address";
    Err(Refusal::new(ResultCode::NotFresh, message))
}

/// The service with an id, if it is of a kind.
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
            "the service is of another kind; /v1/completions serves engines, /v1/services the others";
        return Err(Refusal::new(ResultCode::UnknownService, message));
    }
    Ok(service.clone())
}

/// Decides by the service, its routes and the key whether a call may be made. `path` follows the service, without the
/// query.
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
            // The key comes first, so that nobody without one learns which routes exist.
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
    route.ok_or_else(|| Refusal::new(ResultCode::RouteNotAllowed, "no route covers the call"))
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

/// The secret that no target may see. On an open service a text that is no key of the system is not searched for,
/// because any common word may stand there.
pub(crate) fn protected_key(node: &Node, request: &Request) -> Option<KeySecret> {
    let secret = bearer(request).ok().flatten()?;
    let config = node.config.active();
    config.key(&secret.hash()).is_some().then_some(secret)
}
