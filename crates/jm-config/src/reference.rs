//! Checks across sections: names must refer to sections that exist, and no two sections may claim the same thing.

use std::{collections::HashMap, hash::Hash};

use indexmap::IndexMap;
use jm_types::{ResultCode, ServiceId};

use crate::{
    document::Document,
    entity::{AllowedOrganisations, EVERY_ORGANISATION, ServiceAccess, ServiceKind},
    error::Faults,
    scan::{RawSection, RawValue},
    section::{SectionKind, SectionName},
};

/// Keys whose value is the id of another section: in a section of the first kind, of the second kind.
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

/// Records every dangling reference and contradiction between sections.
pub(crate) fn check(document: &Document, named: &[(SectionName, RawSection)], faults: &mut Faults) {
    let mut checker = Checker::new(document, named, faults);
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
    faults: &'a mut Faults,
}

impl<'a> Checker<'a> {
    fn new(document: &'a Document, named: &'a [(SectionName, RawSection)], faults: &'a mut Faults) -> Self {
        Self {
            document,
            sections: named.iter().map(|(name, section)| (name, section)).collect(),
            faults,
        }
    }

    fn line(&self, kind: SectionKind, id: &str, key: &str) -> usize {
        let name = SectionName::new(kind, id).ok();
        let section = name.and_then(|name| self.sections.get(&name));
        section.map_or(1, |section| {
            section.values.get(key).map_or(section.line, |value| value.line)
        })
    }

    fn refuse(&mut self, at: (SectionKind, &str, &str), code: ResultCode, message: String, allowed: &str) {
        let (kind, id, key) = at;
        let line = self.line(kind, id, key);
        self.faults.add(line, code, message, allowed);
    }

    /// Refuses references to sections that do not stand in the text. Works on the text of the values, so that a section
    /// with another fault is checked too, and counts such a section as present.
    fn references(&mut self) {
        let sections = self.sections.clone();
        for (name, section) in &sections {
            for (_, key, wanted) in REFERENCES.iter().filter(|(kind, _, _)| *kind == name.kind()) {
                if let Some(value) = section.values.get(*key) {
                    self.reference(key, value, *wanted);
                }
            }
        }
    }

    fn reference(&mut self, key: &str, value: &RawValue, wanted: SectionKind) {
        for id in referred_ids(key, &value.text) {
            let Ok(name) = SectionName::new(wanted, id) else {
                continue;
            };
            if !self.sections.contains_key(&name) {
                let message = format!("there is no section [{name}]");
                let allowed = format!("the id of a [{} ID] section in this document", wanted.word());
                self.faults
                    .add(value.line, ResultCode::DanglingReference, message, allowed);
            }
        }
    }

    /// Refuses the second section that claims `claim`.
    fn unique<T: Hash + Eq>(
        &mut self,
        seen: &mut HashMap<T, String>,
        at: (SectionKind, &str, &str),
        claim: T,
        allowed: &str,
    ) {
        let (kind, id, key) = at;
        let Some(first) = seen.get(&claim) else {
            seen.insert(claim, id.to_owned());
            return;
        };
        let message = format!("[{} {first}] has the same {key:?} already", kind.word());
        self.refuse(at, ResultCode::Duplicate, message, allowed);
    }

    fn keys(&mut self) {
        let mut hashes = HashMap::new();
        for (id, key) in &self.document.keys {
            let at = (SectionKind::Key, id.as_str(), "sha256");
            self.unique(&mut hashes, at, key.sha256, "each secret in one key section");
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
                "each address in one target section",
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
                "one capacity section for a service",
            );
        }
    }

    fn routes(&mut self) {
        let mut claims = HashMap::new();
        for (id, route) in &self.document.routes {
            let at = (SectionKind::Route, id.as_str(), "path");
            let claim = (&route.service, route.method, &route.path);
            self.unique(&mut claims, at, claim, "one route for a service, method and path");
            if route.organisations != AllowedOrganisations::All {
                self.route_organisations(id, &route.service);
            }
        }
    }

    fn route_organisations(&mut self, id: &str, service: &ServiceId) {
        let access = self.document.services.get(service).map(|service| service.access);
        if access == Some(ServiceAccess::Open) {
            let message = format!("service {service} is open, so its callers have no organisation");
            let at = (SectionKind::Route, id, "organisations");
            self.refuse(
                at,
                ResultCode::BadValue,
                message,
                "all, or access = keyed in the service",
            );
        }
    }

    fn sharings(&mut self) {
        let mut claims = HashMap::new();
        for (id, sharing) in &self.document.sharings {
            let at = (SectionKind::Sharing, id.as_str(), "organisation");
            let claim = (&sharing.service, &sharing.organisation);
            self.unique(&mut claims, at, claim, "one share for a service and organisation");
        }
    }

    fn trainings(&mut self) {
        let mut claims = HashMap::new();
        for (id, training) in &self.document.trainings {
            let at = (SectionKind::Training, id.as_str(), "organisation");
            let claim = (&training.service, &training.organisation);
            self.unique(
                &mut claims,
                at,
                claim,
                "one training section for a service and organisation",
            );
            let kind = self
                .document
                .services
                .get(&training.service)
                .map(|service| service.kind);
            if kind == Some(ServiceKind::Plain) {
                let message = format!("service {} has no engines", training.service);
                let at = (SectionKind::Training, id.as_str(), "service");
                self.refuse(at, ResultCode::BadValue, message, "a service with kind = engine");
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
