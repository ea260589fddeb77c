//! Findings and their places in a configuration.

/// How a finding affects the use of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Severity {
    /// A difference from another version that takes nothing from callers.
    Change,
    /// Hosts apply the configuration, but a part of it has no effect, contradicts another part or takes something from
    /// callers.
    Warning,
    /// Hosts reject the configuration, or apply it differently from what it states.
    Error,
}

/// List of a configuration that has entries with names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryList {
    /// The routes.
    Routes,
    /// The services.
    Services,
    /// The organisations.
    Organisations,
}

/// Field of a configuration or of one of its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(
    missing_docs,
    reason = "the variants are the fields of the types that `ConfigDocument` consists of"
)]
pub enum ConfigField {
    Revision,
    OrganisationList,
    HeadBytes,
    BodyBytes,
    HeadTimeout,
    IdleTimeout,
    Name,
    Host,
    PathPrefix,
    Kind,
    IsResumable,
    IsSingleVersion,
    Due,
    GiveUp,
    Timeout,
    Objective,
    Priority,
    Services,
    MaxAttempts,
    IsPublic,
    Engine,
    Models,
    Capacity,
    ColdStart,
    Keys,
}

/// Where in a configuration a finding is. The program that knows the format of the document names the place in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Place {
    /// List of the entry; `None` for a field of the document itself.
    pub list: Option<EntryList>,
    /// Position of the entry in its list; `None` if only the other version has the entry.
    pub index: Option<usize>,
    /// Name of the entry.
    pub name: Option<String>,
    /// Field of the entry or of the document; `None` for the whole entry.
    pub field: Option<ConfigField>,
}

impl Place {
    /// A field of the document itself.
    pub(crate) fn of(field: ConfigField) -> Self {
        Self {
            field: Some(field),
            ..Self::default()
        }
    }

    /// An entry of a list.
    pub(crate) fn entry(list: EntryList, index: usize, name: impl ToString) -> Self {
        Self {
            index: Some(index),
            ..Self::missing(list, name)
        }
    }

    /// An entry that only the other version has.
    pub(crate) fn missing(list: EntryList, name: impl ToString) -> Self {
        Self {
            list: Some(list),
            name: Some(name.to_string()),
            ..Self::default()
        }
    }

    /// A field of the same entry.
    pub(crate) fn field(&self, field: ConfigField) -> Self {
        Self {
            field: Some(field),
            ..self.clone()
        }
    }
}

/// Something about a configuration that its author should know before sending it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How it affects the use of the configuration.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What is wrong or different, in one line. Contains no API keys.
    pub message: String,
}

impl Finding {
    pub(crate) fn error(place: Place, message: impl Into<String>) -> Self {
        Self::new(Severity::Error, place, message)
    }

    pub(crate) fn warning(place: Place, message: impl Into<String>) -> Self {
        Self::new(Severity::Warning, place, message)
    }

    pub(crate) fn change(place: Place, message: impl Into<String>) -> Self {
        Self::new(Severity::Change, place, message)
    }

    fn new(severity: Severity, place: Place, message: impl Into<String>) -> Self {
        Self {
            severity,
            place,
            message: message.into(),
        }
    }
}
