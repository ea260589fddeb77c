//! Rules for organisations and their API keys. No message contains a key, because reports are copied into tickets and logs.

use indexmap::IndexMap;

use super::finding::{ConfigField, EntryList, Finding, Place};
use crate::config_document::{ConfigDocument, OrganisationEntry};

/// Findings about all organisations.
pub(super) fn check(document: &ConfigDocument) -> Vec<Finding> {
    let Some(organisations) = &document.organisations else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    if organisations.is_empty() && document.routes.iter().any(|route| !route.is_public) {
        let message = "no organisation exists, so all requests to routes that are not public are refused";
        findings.push(Finding::warning(
            Place::of(ConfigField::OrganisationList),
            message,
        ));
    }
    let mut first_by_id = IndexMap::new();
    let mut owner_by_key = IndexMap::new();
    for (index, entry) in organisations.iter().enumerate() {
        let place = Place::entry(EntryList::Organisations, index, &entry.organisation.id);
        let first = *first_by_id.entry(&entry.organisation.id).or_insert(index);
        if first != index {
            let message = format!("replaces the organisation of the same name at position {first}");
            findings.push(Finding::error(place.field(ConfigField::Name), message));
        }
        if entry.keys.is_empty() {
            let message = "the organisation has no keys, so no request can be made on its behalf";
            findings.push(Finding::warning(place.field(ConfigField::Keys), message));
        }
        findings.extend(check_keys(entry, &place, &mut owner_by_key));
    }
    findings
}

fn check_keys<'a>(
    entry: &'a OrganisationEntry,
    place: &Place,
    owner_by_key: &mut IndexMap<&'a str, &'a OrganisationEntry>,
) -> Vec<Finding> {
    let place = place.field(ConfigField::Keys);
    let mut findings = Vec::new();
    for (index, key) in entry.keys.iter().enumerate() {
        if key.is_empty() {
            findings.push(Finding::warning(place.clone(), format!("key {index} is empty")));
        } else if key.trim() != key {
            let message = format!("key {index} never matches: it starts or ends with a space");
            findings.push(Finding::warning(place.clone(), message));
        }
        let Some(owner) = owner_by_key.insert(key, entry) else {
            continue;
        };
        let owner = &owner.organisation.id;
        if *owner == entry.organisation.id {
            let message = format!("key {index} is listed more than once");
            findings.push(Finding::warning(place.clone(), message));
        } else {
            let message = format!(
                "key {index} is also a key of {owner}, whose requests then count for this organisation"
            );
            findings.push(Finding::error(place.clone(), message));
        }
    }
    findings
}
