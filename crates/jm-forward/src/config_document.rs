//! One revision of the configuration as its author wrote it.

use jm_types::Revision;

use crate::routing::{CallerLimits, Organisation, Route, RoutingTable, Service};

/// An organisation and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// The organisation.
    pub organisation: Organisation,
    /// Its API keys.
    pub keys: Vec<String>,
}

/// One revision of the configuration, with all entries in the order of the document. A [`RoutingTable`] keeps neither the
/// order nor entries that later ones replace, so mistakes of the author are visible only here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Revision of the configuration; it only increases.
    pub revision: Revision,
    /// Limits for requests and connections of callers.
    pub caller_limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations. `None` if the document has no such list, and then no request needs a key.
    pub organisations: Option<Vec<OrganisationEntry>>,
}

impl From<ConfigDocument> for RoutingTable {
    fn from(document: ConfigDocument) -> Self {
        let mut table = Self::new(document.revision, document.caller_limits);
        for route in document.routes {
            table.add_route(route);
        }
        for service in document.services {
            table.add_service(service);
        }
        if document.organisations.is_some() {
            table.require_keys();
        }
        for entry in document.organisations.into_iter().flatten() {
            table.add_organisation(entry.organisation, entry.keys);
        }
        table
    }
}
