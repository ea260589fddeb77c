//! The operators' document: the text of its sections and the entities that they define.

use indexmap::IndexMap;
use jm_types::{KeyId, OrganisationId, ResultCode, ServiceId, TargetId, ZoneId};

use crate::{
    entity::{Capacity, Key, Organisation, Route, Service, Sharing, Target, Training, Zone},
    error::{ConfigErrors, ErrorCollector},
    read::SectionReader,
    reference,
    scan::{RawSection, scan},
    section::{SectionBody, SectionKind, SectionName},
};

/// A parsed document. Sections of different kinds may have the same id.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Document {
    sections: IndexMap<SectionName, SectionBody>,
    /// The customers, by organisation id.
    pub organisations: IndexMap<OrganisationId, Organisation>,
    /// The API keys of all organisations.
    pub keys: IndexMap<KeyId, Key>,
    /// The availability zones and their regions.
    pub zones: IndexMap<ZoneId, Zone>,
    /// The configured targets of all services.
    pub targets: IndexMap<TargetId, Target>,
    /// The bounds on the number of targets, by section id.
    pub capacities: IndexMap<String, Capacity>,
    /// The services that callers address.
    pub services: IndexMap<ServiceId, Service>,
    /// The routes of all services, by section id.
    pub routes: IndexMap<String, Route>,
    /// The shares of organisations in services, by section id.
    pub sharings: IndexMap<String, Sharing>,
    /// The bounds on training steps, by section id.
    pub trainings: IndexMap<String, Training>,
}

impl Document {
    /// Parses and checks a document. Returns all errors of the text together. `file_name` is used only in error
    /// messages.
    ///
    /// # Errors
    ///
    /// Fails when a line, section, key or value is invalid, duplicate or missing, or refers to a section that does not
    /// exist.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut errors = ErrorCollector::new(file_name);
        let raw = scan(text, &mut errors);
        let mut named = Vec::with_capacity(raw.len());
        for section in raw {
            match section.name.parse::<SectionName>() {
                Ok(name) => named.push((name, section)),
                Err(_) => {
                    let message = format!("unknown section {:?}", section.name);
                    let allowed = SectionKind::allowed();
                    errors.add(section.line, ResultCode::UnknownSection, message, allowed);
                }
            }
        }
        Self::read(&named, errors)
    }

    /// Parses and checks separate sections. Line numbers in errors refer to the text that [`Document::to_text`]
    /// returns.
    pub(crate) fn from_sections<'a>(
        file_name: &str,
        sections: impl Iterator<Item = (&'a SectionName, &'a SectionBody)>,
    ) -> Result<Self, ConfigErrors> {
        let mut line = 1;
        let mut named = Vec::new();
        for (name, body) in sections {
            named.push((name.clone(), body.to_raw(name, line)));
            line += body.lines() + 2;
        }
        Self::read(&named, ErrorCollector::new(file_name))
    }

    fn read(named: &[(SectionName, RawSection)], mut errors: ErrorCollector) -> Result<Self, ConfigErrors> {
        let mut document = Self::default();
        for (name, section) in named {
            document.read_section(name, section, &mut errors);
            document
                .sections
                .insert(name.clone(), SectionBody::from_raw(section));
        }
        reference::check(&document, named, &mut errors);
        errors.finish(Some(document))
    }

    /// Inserts or replaces one section without checking references. Returns `false` when the section is invalid. The
    /// document then contains the text of the section but not its entity.
    pub(crate) fn put(&mut self, name: &SectionName, body: &SectionBody) -> bool {
        let mut errors = ErrorCollector::new("section");
        self.read_section(name, &body.to_raw(name, 1), &mut errors);
        self.sections.insert(name.clone(), body.clone());
        if !errors.is_empty() {
            self.remove_entity(name);
        }
        errors.is_empty()
    }

    /// Removes one section without checking references.
    pub(crate) fn remove(&mut self, name: &SectionName) {
        self.sections.shift_remove(name);
        self.remove_entity(name);
    }

    fn read_section(&mut self, name: &SectionName, section: &RawSection, errors: &mut ErrorCollector) {
        let id = name.id();
        let mut reader = SectionReader::new(section, errors);
        let r = &mut reader;
        match name.kind() {
            SectionKind::Organisation => insert_valid(&mut self.organisations, id, Organisation::read(id, r)),
            SectionKind::Key => insert_valid(&mut self.keys, id, Key::read(id, r)),
            SectionKind::Zone => insert_valid(&mut self.zones, id, Zone::read(id, r)),
            SectionKind::Target => insert_valid(&mut self.targets, id, Target::read(id, r)),
            SectionKind::Capacity => insert_valid(&mut self.capacities, id, Capacity::read(id, r)),
            SectionKind::Service => insert_valid(&mut self.services, id, Service::read(id, r)),
            SectionKind::Route => insert_valid(&mut self.routes, id, Route::read(id, r)),
            SectionKind::Sharing => insert_valid(&mut self.sharings, id, Sharing::read(id, r)),
            SectionKind::Training => insert_valid(&mut self.trainings, id, Training::read(id, r)),
        }
        reader.finish();
    }

    fn remove_entity(&mut self, name: &SectionName) {
        let id = name.id();
        match name.kind() {
            SectionKind::Organisation => remove_by_id(&mut self.organisations, id),
            SectionKind::Key => remove_by_id(&mut self.keys, id),
            SectionKind::Zone => remove_by_id(&mut self.zones, id),
            SectionKind::Target => remove_by_id(&mut self.targets, id),
            SectionKind::Capacity => remove_by_id(&mut self.capacities, id),
            SectionKind::Service => remove_by_id(&mut self.services, id),
            SectionKind::Route => remove_by_id(&mut self.routes, id),
            SectionKind::Sharing => remove_by_id(&mut self.sharings, id),
            SectionKind::Training => remove_by_id(&mut self.trainings, id),
        }
    }

    /// The sections in document order.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, &SectionBody)> {
        self.sections.iter()
    }

    /// The body of a section; `None` when the document has no such section.
    pub fn section(&self, name: &SectionName) -> Option<&SectionBody> {
        self.sections.get(name)
    }

    /// Formats the document as INI text. Comments are not preserved.
    pub fn to_text(&self) -> String {
        let sections = self.sections.iter();
        sections
            .map(|(name, body)| format!("[{name}]\n{body}\n"))
            .collect()
    }
}

fn insert_valid<Id, T>(map: &mut IndexMap<Id, T>, id: &str, value: Option<T>)
where
    Id: std::hash::Hash + Eq + std::str::FromStr,
{
    if let (Ok(id), Some(value)) = (id.parse(), value) {
        map.insert(id, value);
    }
}

fn remove_by_id<Id, T>(map: &mut IndexMap<Id, T>, id: &str)
where
    Id: std::hash::Hash + Eq + std::str::FromStr,
{
    if let Ok(id) = id.parse::<Id>() {
        map.shift_remove(&id);
    }
}
