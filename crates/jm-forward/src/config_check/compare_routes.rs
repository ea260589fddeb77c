//! Differences between the routes of two versions of a configuration.

use super::{
    compare::{changed, indexed, ms},
    finding::{ConfigField, EntryList, Finding, Place},
};
use crate::{
    config_document::ConfigDocument,
    routing::{Route, RouteKind},
};

/// Differences of all routes. Host and path prefix identify a route, because callers know these and not its name.
pub(super) fn compare(new: &ConfigDocument, old: &ConfigDocument) -> Vec<Finding> {
    let key = |route: &'_ Route| (route.host.clone(), route.path_prefix.clone());
    let (new_routes, old_routes) = (indexed(&new.routes, key), indexed(&old.routes, key));
    let mut findings = Vec::new();
    for (address, (index, route)) in &new_routes {
        let place = Place::entry(EntryList::Routes, *index, &route.name);
        match old_routes.get(address) {
            Some((_, old_route)) => {
                let is_keyed = new.organisations.is_some();
                findings.extend(compare_route(route, old_route, &place, is_keyed));
            }
            None => findings.push(Finding::change(place, "the route is added")),
        }
    }
    for (address, (_, route)) in &old_routes {
        if !new_routes.contains_key(address) {
            let (host, prefix) = address;
            let message = format!("the route of host {host:?} and path prefix {prefix:?} is removed");
            findings.push(Finding::warning(
                Place::missing(EntryList::Routes, &route.name),
                message,
            ));
        }
    }
    findings
}

fn compare_route(new: &Route, old: &Route, place: &Place, is_keyed: bool) -> Vec<Finding> {
    let services = |route: &Route| {
        let parts = route.services.iter();
        let parts: Vec<String> = parts
            .map(|part| format!("{}:{}", part.service, part.weight))
            .collect();
        format!("[{}]", parts.join(" "))
    };
    let numbers = [
        (ConfigField::Timeout, new.timeout_ms.get(), old.timeout_ms.get()),
        (
            ConfigField::Objective,
            new.objective_ms.get(),
            old.objective_ms.get(),
        ),
    ];
    let mut findings: Vec<Finding> = Vec::new();
    findings.extend(changed(place, ConfigField::Name, &new.name, &old.name, |name| {
        format!("{name:?}")
    }));
    findings.extend(compare_kinds(&new.kind, &old.kind, place));
    for (field, new_ms, old_ms) in numbers {
        findings.extend(changed(place, field, new_ms, old_ms, ms));
    }
    findings.extend(changed(
        place,
        ConfigField::Priority,
        new.priority,
        old.priority,
        |value| value.to_string(),
    ));
    findings.extend(changed(
        place,
        ConfigField::Services,
        services(new),
        services(old),
        |text| text,
    ));
    findings.extend(changed(
        place,
        ConfigField::MaxAttempts,
        new.max_attempts,
        old.max_attempts,
        |value| value.to_string(),
    ));
    if old.is_public && !new.is_public && is_keyed {
        let message = "the route is not public any more: requests without a key are refused";
        findings.push(Finding::warning(place.field(ConfigField::IsPublic), message));
    } else {
        findings.extend(changed(
            place,
            ConfigField::IsPublic,
            new.is_public,
            old.is_public,
            |value| value.to_string(),
        ));
    }
    findings
}

fn compare_kinds(new: &RouteKind, old: &RouteKind, place: &Place) -> Vec<Finding> {
    let name = |kind: &RouteKind| match kind {
        RouteKind::Idempotent => "idempotent requests",
        RouteKind::NonIdempotent => "requests that may run at most once",
        RouteKind::Streaming { .. } => "streams",
        RouteKind::Batch(_) => "batches",
    };
    let fields = match (new, old) {
        (RouteKind::Batch(new), RouteKind::Batch(old)) => vec![
            changed(place, ConfigField::Due, new.due_ms.get(), old.due_ms.get(), ms),
            changed(
                place,
                ConfigField::GiveUp,
                new.give_up_ms.get(),
                old.give_up_ms.get(),
                ms,
            ),
            changed(
                place,
                ConfigField::IsSingleVersion,
                new.is_single_version,
                old.is_single_version,
                |value| value.to_string(),
            ),
        ],
        (RouteKind::Streaming { is_resumable: new }, RouteKind::Streaming { is_resumable: old }) => {
            vec![changed(place, ConfigField::IsResumable, new, old, |value| {
                value.to_string()
            })]
        }
        // Callers of batches and of single requests use different calls, so either stops working.
        _ if matches!(new, RouteKind::Batch(_)) != matches!(old, RouteKind::Batch(_)) => {
            let message = format!("the route served {} and now serves {}", name(old), name(new));
            vec![Some(Finding::warning(place.field(ConfigField::Kind), message))]
        }
        _ => vec![changed(
            place,
            ConfigField::Kind,
            name(new),
            name(old),
            str::to_owned,
        )],
    };
    fields.into_iter().flatten().collect()
}
