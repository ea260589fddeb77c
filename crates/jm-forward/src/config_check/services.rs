//! Rules for services and models.

use indexmap::{IndexMap, IndexSet};
use jm_types::{ModelId, ServiceId};

use super::finding::{ConfigField, EntryList, Finding, Place};
use crate::{config_document::ConfigDocument, routing::Service};

/// Findings about all services.
pub(super) fn check(document: &ConfigDocument) -> Vec<Finding> {
    let routed: IndexSet<&ServiceId> = document
        .routes
        .iter()
        .flat_map(|route| &route.services)
        .map(|part| &part.service)
        .collect();
    let routed_services = document
        .services
        .iter()
        .filter(|service| routed.contains(&service.id));
    let routed_models: IndexSet<&ModelId> = routed_services.flat_map(models).collect();
    let mut first_by_id = IndexMap::new();
    let mut findings = Vec::new();
    for (index, service) in document.services.iter().enumerate() {
        let place = Place::entry(EntryList::Services, index, &service.id);
        let first = *first_by_id.entry(&service.id).or_insert(index);
        if first != index {
            let message = format!("replaces the service of the same name at position {first}");
            findings.push(Finding::error(place.field(ConfigField::Name), message));
        }
        if !routed.contains(&service.id) {
            findings.push(Finding::warning(place.clone(), "no route uses the service"));
        }
        for model in models(service).filter(|model| !routed_models.contains(model)) {
            let message = format!("no route uses a service that serves model {model}");
            findings.push(Finding::warning(place.field(ConfigField::Models), message));
        }
    }
    findings
}

/// Models that the engines of a service can load.
pub(super) fn models(service: &Service) -> impl Iterator<Item = &ModelId> {
    service.engine.iter().flat_map(|engine| &engine.models)
}
