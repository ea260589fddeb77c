//! Messages of the admin API about configuration.

use jm_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    change::{Author, ChangeId},
    section::{SectionBody, SectionName},
};

/// A section with the revision at which it last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionView {
    /// The name.
    pub name: SectionName,
    /// The revision to send as expected when the section is edited.
    pub revision: Revision,
    /// The body.
    pub body: SectionBody,
}

/// The answer to `GET /admin/v1/config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// The revision of the document.
    pub revision: Revision,
    /// The sections in the order in which they were added.
    pub sections: Vec<SectionView>,
}

/// The answer to an accepted `POST /admin/v1/config`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAccepted {
    /// The revision that the change has in the log.
    pub revision: Revision,
    /// Whether a majority of members has confirmed it.
    pub in_force: bool,
}

/// One line of the answer to `GET /admin/v1/config/history`, which is a list of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the change has in the log.
    pub revision: Revision,
    /// The id of the change.
    pub change_id: ChangeId,
    /// Who made it.
    pub author: Author,
    /// The sections that it edited.
    pub sections: Vec<SectionName>,
}
