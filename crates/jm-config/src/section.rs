//! Sections of the operators' document: their kinds, the teams that own them, their names and bodies.

use std::{fmt, str::FromStr, sync::Arc};

use indexmap::IndexMap;
use jm_types::OrganisationId;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::{
    error::Faults,
    scan::{RawSection, RawValue, scan},
};

/// The text is not a section name or body.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseSectionError {
    /// The name has another form than a kind and an id.
    #[snafu(display("{name:?} is not a section name; allowed: {}", SectionKind::allowed()))]
    Name {
        /// The name that was read.
        name: String,
    },
    /// The body holds other lines than `key = value`, or a key twice.
    #[snafu(display("a section body has one `key = value` on each line, each key once"))]
    Body,
}

/// A team of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Team {
    /// Owns organisations and keys.
    Sales,
    /// Owns zones, targets and capacity.
    Workshop,
    /// Owns services, routes, sharing and training.
    Software,
}

impl fmt::Display for Team {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sales => "sales",
            Self::Workshop => "workshop",
            Self::Software => "software",
        })
    }
}

macro_rules! section_kinds {
    ($($(#[$doc:meta])+ $kind:ident $word:literal $team:ident;)+) => {
        /// The kind of a section, the first word of its name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum SectionKind {
            $($(#[$doc])+ $kind,)+
        }

        impl SectionKind {
            /// Every kind in the order of the design page.
            pub const ALL: &'static [Self] = &[$(Self::$kind),+];

            /// The word in the section name.
            pub const fn word(self) -> &'static str {
                match self { $(Self::$kind => $word,)+ }
            }

            /// The team that may change sections of this kind.
            pub const fn team(self) -> Team {
                match self { $(Self::$kind => Team::$team,)+ }
            }
        }
    };
}

section_kinds! {
    /// A customer.
    Organisation "organisation" Sales;
    /// A key of an organisation.
    Key "key" Sales;
    /// An availability zone.
    Zone "zone" Workshop;
    /// An engine or an instance of a plain service.
    Target "target" Workshop;
    /// Bounds on the number of targets.
    Capacity "capacity" Workshop;
    /// A service that callers address.
    Service "service" Software;
    /// A call of a plain service and who may make it.
    Route "route" Software;
    /// An organisation's share of a service.
    Sharing "sharing" Software;
    /// Bounds on an organisation's training steps.
    Training "training" Software;
}

impl SectionKind {
    pub(crate) fn allowed() -> String {
        let words: Vec<_> = Self::ALL
            .iter()
            .map(|kind| format!("[{} ID]", kind.word()))
            .collect();
        words.join(", ")
    }
}

/// The name of a section: its kind and the id of the object that it describes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionName {
    kind: SectionKind,
    id: String,
}

impl SectionName {
    /// The name of the section about `id`; fails when `id` is not in the alphabet of ids.
    pub fn new(kind: SectionKind, id: &str) -> Result<Self, ParseSectionError> {
        // All ids share one alphabet; see `jm_types`.
        let valid = OrganisationId::new(id).ok();
        valid.context(NameSnafu {
            name: format!("{} {id}", kind.word()),
        })?;
        Ok(Self {
            kind,
            id: id.to_owned(),
        })
    }

    /// The kind of the section.
    pub fn kind(&self) -> SectionKind {
        self.kind
    }

    /// The id of the object that the section describes.
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.word(), self.id)
    }
}

impl FromStr for SectionName {
    type Err = ParseSectionError;

    fn from_str(name: &str) -> Result<Self, ParseSectionError> {
        let (word, id) = name.split_once(' ').context(NameSnafu { name })?;
        let mut kinds = SectionKind::ALL.iter();
        let kind = kinds
            .find(|kind| kind.word() == word)
            .context(NameSnafu { name })?;
        Self::new(*kind, id.trim())
    }
}

impl TryFrom<String> for SectionName {
    type Error = ParseSectionError;

    fn try_from(name: String) -> Result<Self, ParseSectionError> {
        name.parse()
    }
}

impl From<SectionName> for String {
    fn from(name: SectionName) -> Self {
        name.to_string()
    }
}

/// The keys and values of a section, in the order of the text. Equality ignores the order. Comments are not part of a
/// body.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionBody {
    /// Shared, because each new revision copies the document and leaves nearly all bodies as they are.
    values: Arc<IndexMap<String, String>>,
}

impl SectionBody {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(String::as_str)
    }

    /// How many lines the body has as text.
    pub(crate) fn lines(&self) -> usize {
        self.values.len()
    }

    pub(crate) fn from_raw(section: &RawSection) -> Self {
        let values = section.values.iter();
        let values = values.map(|(key, value)| (key.clone(), value.text.clone()));
        Self {
            values: Arc::new(values.collect()),
        }
    }

    pub(crate) fn to_raw(&self, name: &SectionName, line: usize) -> RawSection {
        let values = self.values.iter().enumerate();
        let values = values.map(|(index, (key, text))| {
            let value = RawValue {
                text: text.clone(),
                line: line + 1 + index,
            };
            (key.clone(), value)
        });
        RawSection {
            name: name.to_string(),
            line,
            values: values.collect(),
        }
    }
}

impl fmt::Display for SectionBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (key, value) in self.values.iter() {
            writeln!(f, "{key} = {value}")?;
        }
        Ok(())
    }
}

impl FromStr for SectionBody {
    type Err = ParseSectionError;

    fn from_str(text: &str) -> Result<Self, ParseSectionError> {
        let mut faults = Faults::new("section");
        let sections = scan(&format!("[section]\n{text}"), &mut faults);
        match sections.as_slice() {
            [section] if faults.is_empty() => Ok(Self::from_raw(section)),
            _ => BodySnafu.fail(),
        }
    }
}

impl TryFrom<String> for SectionBody {
    type Error = ParseSectionError;

    fn try_from(text: String) -> Result<Self, ParseSectionError> {
        text.parse()
    }
}

impl From<SectionBody> for String {
    fn from(body: SectionBody) -> Self {
        body.to_string()
    }
}
