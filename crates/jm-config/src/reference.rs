//! Checks across sections: every reference must resolve to an existing section, and unique values must not occur twice.

use std::{collections::HashMap, hash::Hash};

use indexmap::IndexMap;
use jm_types::{ResultCode, ServiceId};

use crate::{
    document::Document,
    entity::{AllowedOrganisations, EVERY_ORGANISATION, ServiceAccess, ServiceKind},
    error::ErrorCollector,
    scan::{RawSection, RawValue},
    section::{SectionKind, SectionName},
};

/// Keys whose value is the id of another section, as (kind of the referring section, key, kind of the referenced
/// section).
const REFERENCES: &[(SectionKind, &str, SectionKind)] = &[
    (SectionKind::Key, "organisation", SectionKind::Organisation),
    (SectionKind::Target, "service", SectionKind::Service),
    (SectionKind::Target, "zone", SectionKind::Zone),
    (SectionKind::Capacity, "service", SectionKind::Service),
    (SectionKind::Route, "service", SectionKind::Service),
    (SectionKind::Route, "organisations", SectionKind::Organisation),
    (SectionKind::Sharing, "service", SectionKind::Service),
    (SectionKind::Sharing, "organisation", SectionKind::Organisation),
    (SectionKind::Training, "service", SectionKind::Service),
    (SectionKind::Training, "organisation", SectionKind::Organisation),
];

/// Records an error for every dangling reference and every conflict between sections.
pub(crate) fn check(document: &Document, named: &[(SectionName, RawSection)], errors: &mut ErrorCollector) {
    let mut checker = Checker::new(document, named, errors);
    checker.references();
    checker.keys();
    checker.targets();
    checker.capacities();
    checker.routes();
    checker.sharings();
    checker.trainings();
}

struct Checker<'a> {
    document: &'a Document,
    sections: IndexMap<&'a SectionName, &'a RawSection>,
    errors: &'a mut ErrorCollector,
}

impl<'a> Checker<'a> {
    fn new(
        document: &'a Document,
        named: &'a [(SectionName, RawSection)],
        errors: &'a mut ErrorCollector,
    ) -> Self {
        Self {
            document,
            sections: named.iter().map(|(name, section)| (name, section)).collect(),
            errors,
        }
    }

    fn line(&self, kind: SectionKind, id: &str, key: &str) -> usize {
        let name = SectionName::new(kind, id).ok();
        let section = name.and_then(|name| self.sections.get(&name));
        section.map_or(1, |section| {
            section.values.get(key).map_or(section.line, |value| value.line)
        })
    }

    fn add_error(&mut self, at: (SectionKind, &str, &str), code: ResultCode, message: String, allowed: &str) {
        let (kind, id, key) = at;
        let line = self.line(kind, id, key);
        self.errors.add(line, code, message, allowed);
    }

    /// Records an error for each reference to a section that does not exist. The check uses the raw values. It
    /// therefore also covers sections with other errors, and references to such sections are not reported.
    fn references(&mut self) {
        let sections = self.sections.clone();
        for (name, section) in &sections {
            for (_, key, referenced) in REFERENCES.iter().filter(|(kind, _, _)| *kind == name.kind()) {
                if let Some(value) = section.values.get(*key) {
                    self.reference(key, value, *referenced);
                }
            }
        }
    }

    fn reference(&mut self, key: &str, value: &RawValue, referenced: SectionKind) {
        for id in referred_ids(key, &value.text) {
            let Ok(name) = SectionName::new(referenced, id) else {
                continue;
            };
            if !self.sections.contains_key(&name) {
                let message = format!("there is no section [{name}]");
                let allowed = format!("the id of a [{} ID] section in this document", referenced.word());
                self.errors
                    .add(value.line, ResultCode::DanglingReference, message, allowed);
            }
        }
    }

    /// Records an error if an earlier section has the same `value`.
    fn unique<T: Hash + Eq>(
        &mut self,
        seen: &mut HashMap<T, String>,
        at: (SectionKind, &str, &str),
        value: T,
        allowed: &str,
    ) {
        let (kind, id, key) = at;
        let Some(first) = seen.get(&value) else {
            seen.insert(value, id.to_owned());
            return;
        };
        let message = format!("section [{} {first}] already has the same {key:?}", kind.word());
        self.add_error(at, ResultCode::Duplicate, message, allowed);
    }

    fn keys(&mut self) {
        let mut hashes = HashMap::new();
        for (id, key) in &self.document.keys {
            let at = (SectionKind::Key, id.as_str(), "sha256");
            self.unique(&mut hashes, at, key.sha256, "each secret in only one key section");
        }
    }

    fn targets(&mut self) {
        let mut addresses = HashMap::new();
        for (id, target) in &self.document.targets {
            let at = (SectionKind::Target, id.as_str(), "address");
            self.unique(
                &mut addresses,
                at,
                target.address,
                "each address in only one target section",
            );
        }
    }

    fn capacities(&mut self) {
        let mut services = HashMap::new();
        for (id, capacity) in &self.document.capacities {
            let at = (SectionKind::Capacity, id.as_str(), "service");
            self.unique(
                &mut services,
                at,
                &capacity.service,
                "one capacity section per service",
            );
        }
    }

    fn routes(&mut self) {
        let mut seen = HashMap::new();
        for (id, route) in &self.document.routes {
            let at = (SectionKind::Route, id.as_str(), "path");
            let value = (&route.service, route.method, &route.path);
            self.unique(&mut seen, at, value, "one route per service, method and path");
            if route.organisations != AllowedOrganisations::All {
                self.route_organisations(id, &route.service);
            }
        }
    }

    fn route_organisations(&mut self, id: &str, service: &ServiceId) {
        let access = self.document.services.get(service).map(|service| service.access);
        if access == Some(ServiceAccess::Open) {
            let message = format!("service {service} has access = open, so its callers have no organisation");
            let at = (SectionKind::Route, id, "organisations");
            self.add_error(
                at,
                ResultCode::BadValue,
                message,
                "all, or a service with access = keyed",
            );
        }
    }

    fn sharings(&mut self) {
        let mut seen = HashMap::new();
        for (id, sharing) in &self.document.sharings {
            let at = (SectionKind::Sharing, id.as_str(), "organisation");
            let value = (&sharing.service, &sharing.organisation);
            self.unique(
                &mut seen,
                at,
                value,
                "one sharing section per service and organisation",
            );
        }
    }

    fn trainings(&mut self) {
        let mut seen = HashMap::new();
        for (id, training) in &self.document.trainings {
            let at = (SectionKind::Training, id.as_str(), "organisation");
            let value = (&training.service, &training.organisation);
            self.unique(
                &mut seen,
                at,
                value,
                "one training section per service and organisation",
            );
            let kind = self
                .document
                .services
                .get(&training.service)
                .map(|service| service.kind);
            if kind == Some(ServiceKind::Plain) {
                let message = format!("service {} has no engines", training.service);
                let at = (SectionKind::Training, id.as_str(), "service");
                self.add_error(at, ResultCode::BadValue, message, "a service with kind = engine");
            }
        }
    }
}

fn referred_ids<'a>(key: &str, text: &'a str) -> Vec<&'a str> {
    match (key, text) {
        ("organisations", EVERY_ORGANISATION) => Vec::new(),
        ("organisations", list) => list.split(',').map(str::trim).collect(),
        (_, id) => vec![id],
    }
}
