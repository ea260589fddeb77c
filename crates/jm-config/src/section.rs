//! Sections of the operators' document: their kinds, the teams that own them, their names and bodies.

use std::{fmt, str::FromStr, sync::Arc};

use indexmap::IndexMap;
use jm_types::OrganisationId;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::{
    error::ErrorCollector,
    scan::{RawSection, RawValue, scan},
};

/// Error for text that is not a valid section name or body.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseSectionError {
    /// The name does not consist of a known kind and a valid id.
    #[snafu(display("{name:?} is not a section name; allowed: {}", SectionKind::allowed()))]
    Name {
        /// Text that was given as the section name.
        name: String,
    },
    /// The body contains a line that is not `key = value`, or a duplicate key.
    #[snafu(display("invalid section body; allowed: lines of the form `key = value`, each key once"))]
    Body,
}

/// A team of operators. Each kind of section belongs to one team.
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
            /// All kinds, in the order of `docs/design.md`.
            pub const ALL: &'static [Self] = &[$(Self::$kind),+];

            /// The first word of a section name of this kind.
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
    /// An API key of an organisation.
    Key "key" Sales;
    /// An availability zone.
    Zone "zone" Workshop;
    /// An engine or an instance of a plain service.
    Target "target" Workshop;
    /// Bounds on the number of targets.
    Capacity "capacity" Workshop;
    /// A service that callers address.
    Service "service" Software;
    /// A set of calls of a service and the organisations that may make them.
    Route "route" Software;
    /// The weight and the queue limit of an organisation in a service.
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

/// The name of a section: its kind and the id of the entity that it defines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionName {
    kind: SectionKind,
    id: String,
}

impl SectionName {
    /// Creates the name of the section that defines `id`. Fails when `id` is not a valid id.
    pub fn new(kind: SectionKind, id: &str) -> Result<Self, ParseSectionError> {
        // All kinds of ids allow the same characters; see `jm_types`.
        let valid = OrganisationId::new(id).ok();
        valid.context(NameSnafu {
            name: format!("{} {id}", kind.word()),
        })?;
        Ok(Self {
            kind,
            id: id.to_owned(),
        })
    }

    /// The kind of the entity that the section defines.
    pub fn kind(&self) -> SectionKind {
        self.kind
    }

    /// The id of the entity that the section defines.
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

/// The keys and values of a section, in the order of the text. Equality ignores the order. Comments are not preserved.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionBody {
    /// Shared, because each new revision clones the document but changes few of its bodies.
    values: Arc<IndexMap<String, String>>,
}

impl SectionBody {
    /// The value of a key; `None` when the section does not set it.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(String::as_str)
    }

    /// The number of lines of the body as text.
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
        let mut errors = ErrorCollector::new("section");
        let sections = scan(&format!("[section]\n{text}"), &mut errors);
        match sections.as_slice() {
            [section] if errors.is_empty() => Ok(Self::from_raw(section)),
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
