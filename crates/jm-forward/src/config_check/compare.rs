//! Differences between two versions of a configuration.

use indexmap::{IndexMap, IndexSet};
use jm_types::{ModelId, OrganisationId};

use super::{
    compare_routes,
    finding::{ConfigField, EntryList, Finding, Place},
    services::models,
};
use crate::{
    config_document::{ConfigDocument, OrganisationEntry},
    routing::Service,
};

/// Entries of a list by what identifies them, with their positions. Of entries with equal identities the first counts.
pub(super) type Indexed<'a, K, T> = IndexMap<K, (usize, &'a T)>;

/// Indexes a list by what identifies its entries.
pub(super) fn indexed<'a, K: std::hash::Hash + Eq, T>(
    entries: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Indexed<'a, K, T> {
    let mut found = IndexMap::new();
    for (index, entry) in entries.iter().enumerate() {
        found.entry(key(entry)).or_insert((index, entry));
    }
    found
}

/// Returns the differences of `new` from `old`. Those that take something from callers are warnings.
pub fn compare_configs(new: &ConfigDocument, old: &ConfigDocument) -> Vec<Finding> {
    if new == old {
        return Vec::new();
    }
    let mut findings = Vec::new();
    if new.revision <= old.revision {
        let message = format!(
            "hosts that have revision {} ignore revision {}",
            old.revision, new.revision
        );
        findings.push(Finding::warning(Place::of(ConfigField::Revision), message));
    }
    findings.extend(compare_limits(new, old));
    findings.extend(compare_routes::compare(new, old));
    findings.extend(compare_services(new, old));
    findings.extend(compare_organisations(new, old));
    findings
}

/// Reports a field of the document or of an entry if its values differ.
pub(super) fn changed<T: PartialEq>(
    place: &Place,
    field: ConfigField,
    new: T,
    old: T,
    text: impl Fn(T) -> String,
) -> Option<Finding> {
    (new != old).then(|| {
        let message = format!("changes from {} to {}", text(old), text(new));
        Finding::change(place.field(field), message)
    })
}

fn compare_limits(new: &ConfigDocument, old: &ConfigDocument) -> Vec<Finding> {
    let (new, old, place) = (&new.caller_limits, &old.caller_limits, Place::default());
    let bytes = |value: u64| format!("{value} bytes");
    let fields = [
        changed(
            &place,
            ConfigField::HeadBytes,
            new.head_bytes.get(),
            old.head_bytes.get(),
            bytes,
        ),
        changed(
            &place,
            ConfigField::BodyBytes,
            new.body_bytes.get(),
            old.body_bytes.get(),
            bytes,
        ),
        changed(
            &place,
            ConfigField::HeadTimeout,
            new.head_timeout_ms.get(),
            old.head_timeout_ms.get(),
            ms,
        ),
        changed(
            &place,
            ConfigField::IdleTimeout,
            new.idle_timeout_ms.get(),
            old.idle_timeout_ms.get(),
            ms,
        ),
    ];
    fields.into_iter().flatten().collect()
}

/// Text of a duration in milliseconds.
pub(super) fn ms(value: u64) -> String {
    format!("{value} ms")
}

fn compare_services(new: &ConfigDocument, old: &ConfigDocument) -> Vec<Finding> {
    let key = |service: &'_ Service| service.id.clone();
    let (new_services, old_services) = (indexed(&new.services, key), indexed(&old.services, key));
    let all_models: IndexSet<&ModelId> = new.services.iter().flat_map(models).collect();
    let mut findings = Vec::new();
    for (id, (index, service)) in &new_services {
        let place = Place::entry(EntryList::Services, *index, id);
        let Some((_, old_service)) = old_services.get(id) else {
            findings.push(Finding::change(place, "the service is added"));
            continue;
        };
        for (field, is_changed) in [
            (ConfigField::Engine, service.engine != old_service.engine),
            (ConfigField::Capacity, service.capacity != old_service.capacity),
            (
                ConfigField::ColdStart,
                service.cold_start != old_service.cold_start,
            ),
        ] {
            if is_changed {
                findings.push(Finding::change(place.field(field), "changes"));
            }
        }
    }
    for (id, (_, service)) in &old_services {
        let place = Place::missing(EntryList::Services, id);
        if !new_services.contains_key(id) {
            findings.push(Finding::warning(place.clone(), "the service is removed"));
        }
        for model in models(service).filter(|model| !all_models.contains(model)) {
            let message = format!("no service has model {model} any more");
            findings.push(Finding::warning(place.field(ConfigField::Models), message));
        }
    }
    findings
}

fn compare_organisations(new: &ConfigDocument, old: &ConfigDocument) -> Vec<Finding> {
    let place = Place::of(ConfigField::OrganisationList);
    match (&new.organisations, &old.organisations) {
        (None, None) => Vec::new(),
        (Some(_), None) => {
            let message =
                "keys are required now: requests without a key are refused on routes that are not public";
            vec![Finding::warning(place, message)]
        }
        (None, Some(_)) => {
            let message = "the list of organisations is removed: no route requires a key any more";
            vec![Finding::warning(place, message)]
        }
        (Some(new), Some(old)) => compare_organisation_lists(new, old),
    }
}

fn compare_organisation_lists(new: &[OrganisationEntry], old: &[OrganisationEntry]) -> Vec<Finding> {
    let key = |entry: &'_ OrganisationEntry| entry.organisation.id.clone();
    let (new_entries, old_entries) = (indexed(new, key), indexed(old, key));
    // The last owner of a key counts, as in `RoutingTable::add_organisation`.
    let (new_owners, old_owners) = (owners_of_keys(new), owners_of_keys(old));
    let mut findings = Vec::new();
    for (id, (index, entry)) in &new_entries {
        let place = Place::entry(EntryList::Organisations, *index, id);
        let Some((_, old_entry)) = old_entries.get(id) else {
            findings.push(Finding::change(place, "the organisation is added"));
            continue;
        };
        let priorities = (entry.organisation.priority, old_entry.organisation.priority);
        findings.extend(changed(
            &place,
            ConfigField::Priority,
            priorities.0,
            priorities.1,
            |value| value.map_or("that of the route".to_owned(), |value| value.to_string()),
        ));
        let added = entry
            .keys
            .iter()
            .filter(|key| !old_owners.contains_key(key.as_str()))
            .count();
        if added > 0 {
            let message = format!("new keys: {added}");
            findings.push(Finding::change(place.field(ConfigField::Keys), message));
        }
    }
    for id in old_entries.keys() {
        let place = match new_entries.get(id) {
            Some((index, _)) => Place::entry(EntryList::Organisations, *index, id),
            None => Place::missing(EntryList::Organisations, id),
        };
        if !new_entries.contains_key(id) {
            findings.push(Finding::warning(place.clone(), "the organisation is removed"));
        }
        findings.extend(compare_keys(id, &place, &new_owners, &old_owners));
    }
    findings
}

type KeyOwners<'a> = IndexMap<&'a str, &'a OrganisationId>;

fn owners_of_keys(entries: &[OrganisationEntry]) -> KeyOwners<'_> {
    let entries = entries.iter();
    let keys = entries.flat_map(|entry| {
        entry
            .keys
            .iter()
            .map(|key| (key.as_str(), &entry.organisation.id))
    });
    keys.collect()
}

fn compare_keys(id: &OrganisationId, place: &Place, new: &KeyOwners, old: &KeyOwners) -> Vec<Finding> {
    let place = place.field(ConfigField::Keys);
    let mut findings = Vec::new();
    let own = || old.iter().filter(|(_, owner)| **owner == id).map(|(key, _)| *key);
    let removed = own().filter(|key| !new.contains_key(key)).count();
    if removed > 0 {
        let message = format!("removed keys: {removed}; requests with them are refused");
        findings.push(Finding::warning(place.clone(), message));
    }
    let moved: IndexSet<_> = own()
        .filter_map(|key| new.get(key))
        .filter(|owner| **owner != id)
        .collect();
    for owner in moved {
        let message = format!("keys of this organisation now belong to {owner}");
        findings.push(Finding::warning(place.clone(), message));
    }
    findings
}
