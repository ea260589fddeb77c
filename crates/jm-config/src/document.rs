//! The operators' document: its sections as text and the objects that they describe.

use indexmap::IndexMap;
use jm_types::{KeyId, OrganisationId, ResultCode, ServiceId, TargetId, ZoneId};

use crate::{
    entity::{Capacity, Key, Organisation, Route, Service, Sharing, Target, Training, Zone},
    error::{ConfigErrors, Faults},
    read::SectionReader,
    reference,
    scan::{RawSection, scan},
    section::{SectionBody, SectionKind, SectionName},
};

/// A valid document. Sections that share an id are told apart by their kind.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Document {
    sections: IndexMap<SectionName, SectionBody>,
    /// The customers.
    pub organisations: IndexMap<OrganisationId, Organisation>,
    /// The granted keys.
    pub keys: IndexMap<KeyId, Key>,
    /// The availability zones.
    pub zones: IndexMap<ZoneId, Zone>,
    /// The targets of all services.
    pub targets: IndexMap<TargetId, Target>,
    /// The bounds on the number of targets.
    pub capacities: IndexMap<String, Capacity>,
    /// The services.
    pub services: IndexMap<ServiceId, Service>,
    /// The routes of all services.
    pub routes: IndexMap<String, Route>,
    /// The shares of all services.
    pub sharings: IndexMap<String, Sharing>,
    /// The bounds on training.
    pub trainings: IndexMap<String, Training>,
}

impl Document {
    /// Reads a document. All faults of the text are reported at once; `file_name` is only used to name them.
    ///
    /// # Errors
    ///
    /// Fails when a line, section, key or value is not understood, stands twice, is missing or names an object that
    /// does not exist.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut faults = Faults::new(file_name);
        let raw = scan(text, &mut faults);
        let mut named = Vec::with_capacity(raw.len());
        for section in raw {
            match section.name.parse::<SectionName>() {
                Ok(name) => named.push((name, section)),
                Err(_) => {
                    let message = format!("section {:?} is not known", section.name);
                    let allowed = SectionKind::allowed();
                    faults.add(section.line, ResultCode::UnknownSection, message, allowed);
                }
            }
        }
        Self::read(&named, faults)
    }

    /// Checks sections that are not in one text. Lines in faults are those of [`Document::to_text`].
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
        Self::read(&named, Faults::new(file_name))
    }

    fn read(named: &[(SectionName, RawSection)], mut faults: Faults) -> Result<Self, ConfigErrors> {
        let mut document = Self::default();
        for (name, section) in named {
            document.read_section(name, section, &mut faults);
            document
                .sections
                .insert(name.clone(), SectionBody::from_raw(section));
        }
        reference::check(&document, named, &mut faults);
        faults.finish(Some(document))
    }

    /// Replaces one section without a check of references. Tells whether the section could be read; otherwise its object
    /// is missing from the document.
    pub(crate) fn put(&mut self, name: &SectionName, body: &SectionBody) -> bool {
        let mut faults = Faults::new("section");
        self.read_section(name, &body.to_raw(name, 1), &mut faults);
        self.sections.insert(name.clone(), body.clone());
        if !faults.is_empty() {
            self.remove_object(name);
        }
        faults.is_empty()
    }

    /// Removes one section without a check of references.
    pub(crate) fn remove(&mut self, name: &SectionName) {
        self.sections.shift_remove(name);
        self.remove_object(name);
    }

    fn read_section(&mut self, name: &SectionName, section: &RawSection, faults: &mut Faults) {
        let id = name.id();
        let mut reader = SectionReader::new(section, faults);
        let r = &mut reader;
        match name.kind() {
            SectionKind::Organisation => keep(&mut self.organisations, id, Organisation::read(id, r)),
            SectionKind::Key => keep(&mut self.keys, id, Key::read(id, r)),
            SectionKind::Zone => keep(&mut self.zones, id, Zone::read(id, r)),
            SectionKind::Target => keep(&mut self.targets, id, Target::read(id, r)),
            SectionKind::Capacity => keep(&mut self.capacities, id, Capacity::read(id, r)),
            SectionKind::Service => keep(&mut self.services, id, Service::read(id, r)),
            SectionKind::Route => keep(&mut self.routes, id, Route::read(id, r)),
            SectionKind::Sharing => keep(&mut self.sharings, id, Sharing::read(id, r)),
            SectionKind::Training => keep(&mut self.trainings, id, Training::read(id, r)),
        }
        reader.finish();
    }

    fn remove_object(&mut self, name: &SectionName) {
        let id = name.id();
        match name.kind() {
            SectionKind::Organisation => discard(&mut self.organisations, id),
            SectionKind::Key => discard(&mut self.keys, id),
            SectionKind::Zone => discard(&mut self.zones, id),
            SectionKind::Target => discard(&mut self.targets, id),
            SectionKind::Capacity => discard(&mut self.capacities, id),
            SectionKind::Service => discard(&mut self.services, id),
            SectionKind::Route => discard(&mut self.routes, id),
            SectionKind::Sharing => discard(&mut self.sharings, id),
            SectionKind::Training => discard(&mut self.trainings, id),
        }
    }

    /// The sections in the order of the text.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, &SectionBody)> {
        self.sections.iter()
    }

    /// The body of a section.
    pub fn section(&self, name: &SectionName) -> Option<&SectionBody> {
        self.sections.get(name)
    }

    /// The document as text, without comments.
    pub fn to_text(&self) -> String {
        let sections = self.sections.iter();
        sections
            .map(|(name, body)| format!("[{name}]\n{body}\n"))
            .collect()
    }
}

fn keep<Id, T>(map: &mut IndexMap<Id, T>, id: &str, value: Option<T>)
where
    Id: std::hash::Hash + Eq + std::str::FromStr,
{
    if let (Ok(id), Some(value)) = (id.parse(), value) {
        map.insert(id, value);
    }
}

fn discard<Id, T>(map: &mut IndexMap<Id, T>, id: &str)
where
    Id: std::hash::Hash + Eq + std::str::FromStr,
{
    if let Ok(id) = id.parse::<Id>() {
        map.shift_remove(&id);
    }
}
