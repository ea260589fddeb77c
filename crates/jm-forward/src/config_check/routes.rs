//! Rules for routes.

use indexmap::{IndexMap, IndexSet};
use jm_types::ServiceId;

use super::finding::{ConfigField, EntryList, Finding, Place};
use crate::{
    config_document::ConfigDocument,
    routing::{Route, RouteKind},
};

/// Findings about all routes.
pub(super) fn check(document: &ConfigDocument) -> Vec<Finding> {
    let services: IndexSet<&ServiceId> = document.services.iter().map(|service| &service.id).collect();
    let mut first_by_prefix = IndexMap::new();
    let mut findings = Vec::new();
    for (index, route) in document.routes.iter().enumerate() {
        let place = Place::entry(EntryList::Routes, index, &route.name);
        let prefix = (&route.host, &route.path_prefix);
        // Of routes with equal prefixes, `RoutingTable::route` returns the first.
        let first = *first_by_prefix.entry(prefix).or_insert(index);
        if first != index {
            let name = &document.routes[first].name;
            let message =
                format!("never matches: route {name:?} before it has the same host and path prefix");
            findings.push(Finding::warning(place.field(ConfigField::PathPrefix), message));
        }
        findings.extend(check_address(route, &place));
        findings.extend(check_services(route, &place, &services));
        findings.extend(check_times(route, &place));
    }
    findings
}

fn check_address(route: &Route, place: &Place) -> Vec<Finding> {
    let mut findings = Vec::new();
    if route.host.contains(':') {
        let message = "never matches: hosts compare the name that a request is addressed to without its port";
        findings.push(Finding::warning(place.field(ConfigField::Host), message));
    }
    if !route.path_prefix.starts_with('/') {
        let message = "never matches: the path of a request starts with a slash";
        findings.push(Finding::warning(place.field(ConfigField::PathPrefix), message));
    }
    findings
}

fn check_services(route: &Route, place: &Place, configured: &IndexSet<&ServiceId>) -> Vec<Finding> {
    let place = place.field(ConfigField::Services);
    let mut findings = Vec::new();
    if route.services.is_empty() {
        findings.push(Finding::error(place.clone(), "the route has no service"));
    }
    for part in &route.services {
        if !configured.contains(&part.service) {
            let message = format!("service {} is not configured", part.service);
            findings.push(Finding::error(place.clone(), message));
        }
    }
    let weights = || route.services.iter().map(|part| part.weight);
    if weights().try_fold(0, u64::checked_add).is_none() {
        findings.push(Finding::error(place, "the sum of the weights exceeds 64 bits"));
    } else if let [first, _, ..] = route.services.as_slice()
        && weights().all(|weight| weight == 0)
    {
        let message = format!("all weights are 0, so {} receives all requests", first.service);
        findings.push(Finding::warning(place, message));
    } else if route.services.len() > 1 {
        for part in route.services.iter().filter(|part| part.weight == 0) {
            let message = format!("service {} has weight 0 and receives no requests", part.service);
            findings.push(Finding::warning(place.clone(), message));
        }
    }
    findings
}

fn check_times(route: &Route, place: &Place) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut warn = |field, message: String| findings.push(Finding::warning(place.field(field), message));
    let (timeout_ms, objective_ms) = (route.timeout_ms.get(), route.objective_ms.get());
    if timeout_ms < objective_ms {
        let message = format!("{timeout_ms} ms are less than the latency objective of {objective_ms} ms");
        warn(ConfigField::Timeout, message);
    } else if timeout_ms == 0 {
        warn(
            ConfigField::Timeout,
            "no request can be answered within 0 ms".to_owned(),
        );
    }
    if route.max_attempts == 0 {
        let message = "no attempts are allowed; hosts make one all the same".to_owned();
        warn(ConfigField::MaxAttempts, message);
    }
    if let RouteKind::Batch(policy) = &route.kind {
        let (give_up_ms, due_ms) = (policy.give_up_ms.get(), policy.due_ms.get());
        if give_up_ms == 0 {
            let message = "items are abandoned as soon as they are submitted".to_owned();
            warn(ConfigField::GiveUp, message);
        } else if give_up_ms < due_ms {
            let message =
                format!("items are abandoned after {give_up_ms} ms, before results are due ({due_ms} ms)");
            warn(ConfigField::GiveUp, message);
        }
    }
    findings
}
