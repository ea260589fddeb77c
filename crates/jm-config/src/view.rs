//! Configuration messages of the admin API.

use jm_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    change::{Author, ChangeId},
    section::{SectionBody, SectionName},
};

/// A section with the revision at which it last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionView {
    /// The kind and id of the section.
    pub name: SectionName,
    /// The revision to send as [`crate::Edit::expected`] when the section is edited.
    pub revision: Revision,
    /// The keys and values of the section.
    pub body: SectionBody,
}

/// The response to `GET /admin/v1/config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// The revision of the document.
    pub revision: Revision,
    /// The sections, in the order in which they were added.
    pub sections: Vec<SectionView>,
}

/// The response to an accepted `POST /admin/v1/config`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAccepted {
    /// The revision that the change has in the log.
    pub revision: Revision,
    /// Whether a majority of the registered daemons confirmed that it is in force.
    pub in_force: bool,
}

/// One element of the list that `GET /admin/v1/config/history` returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the change has in the log.
    pub revision: Revision,
    /// The id of the change.
    pub change_id: ChangeId,
    /// The author of the change.
    pub author: Author,
    /// The sections that the change edited.
    pub sections: Vec<SectionName>,
}
