//! Checks across sections: names must refer to sections that exist, and no two sections may claim the same thing.

use std::{collections::HashMap, hash::Hash};

use indexmap::IndexMap;
use jm_types::{OrganisationId, ResultCode, ServiceId};

use crate::{
    document::Document,
    entity::{AllowedOrganisations, ServiceAccess, ServiceKind},
    error::Faults,
    scan::RawSection,
    section::{SectionKind, SectionName},
};

/// Records every dangling reference and contradiction between sections.
pub(crate) fn check(document: &Document, named: &[(SectionName, RawSection)], faults: &mut Faults) {
    let mut checker = Checker::new(document, named, faults);
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

    /// Refuses a reference to a section that does not stand in the text. A section with faults of its own counts as
    /// present, so that one fault is not reported twice.
    fn require(&mut self, at: (SectionKind, &str, &str), wanted: SectionKind, wanted_id: &str) {
        let exists = SectionName::new(wanted, wanted_id).is_ok_and(|name| self.sections.contains_key(&name));
        if !exists {
            let message = format!("there is no section [{} {wanted_id}]", wanted.word());
            let allowed = format!("the id of a [{} ID] section in this document", wanted.word());
            self.refuse(at, ResultCode::DanglingReference, message, &allowed);
        }
    }

    fn service(&mut self, kind: SectionKind, id: &str, service: &ServiceId) {
        self.require((kind, id, "service"), SectionKind::Service, service.as_str());
    }

    fn organisation(&mut self, kind: SectionKind, id: &str, key: &str, organisation: &OrganisationId) {
        self.require((kind, id, key), SectionKind::Organisation, organisation.as_str());
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
            self.organisation(SectionKind::Key, id.as_str(), "organisation", &key.organisation);
            let at = (SectionKind::Key, id.as_str(), "sha256");
            self.unique(&mut hashes, at, key.sha256, "each secret in one key section");
        }
    }

    fn targets(&mut self) {
        let mut addresses = HashMap::new();
        for (id, target) in &self.document.targets {
            let id = id.as_str();
            self.service(SectionKind::Target, id, &target.service);
            self.require(
                (SectionKind::Target, id, "zone"),
                SectionKind::Zone,
                target.zone.as_str(),
            );
            let at = (SectionKind::Target, id, "address");
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
            self.service(SectionKind::Capacity, id, &capacity.service);
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
            self.service(SectionKind::Route, id, &route.service);
            let at = (SectionKind::Route, id.as_str(), "path");
            let claim = (&route.service, route.method, &route.path);
            self.unique(&mut claims, at, claim, "one route for a service, method and path");
            if let AllowedOrganisations::Only(organisations) = &route.organisations {
                self.route_organisations(id, &route.service, organisations);
            }
        }
    }

    fn route_organisations(&mut self, id: &str, service: &ServiceId, organisations: &[OrganisationId]) {
        for organisation in organisations {
            self.organisation(SectionKind::Route, id, "organisations", organisation);
        }
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
            self.service(SectionKind::Sharing, id, &sharing.service);
            self.organisation(SectionKind::Sharing, id, "organisation", &sharing.organisation);
            let at = (SectionKind::Sharing, id.as_str(), "organisation");
            let claim = (&sharing.service, &sharing.organisation);
            self.unique(&mut claims, at, claim, "one share for a service and organisation");
        }
    }

    fn trainings(&mut self) {
        let mut claims = HashMap::new();
        for (id, training) in &self.document.trainings {
            self.service(SectionKind::Training, id, &training.service);
            self.organisation(SectionKind::Training, id, "organisation", &training.organisation);
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
