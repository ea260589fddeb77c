//! Changes of the operators' document, as operators send them and as the log stores them.

use std::{fmt, str::FromStr};

use jm_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::section::{SectionBody, SectionName, Team};

const MAX_CHANGE_ID_BYTES: usize = 64;

/// Error for text that is not a valid change id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a change id: use 1 to {MAX_CHANGE_ID_BYTES} characters out of a-z, A-Z, 0-9, '-', '_' and '.'"
))]
pub struct ParseChangeIdError {
    text: String,
}

/// The id of a change, chosen at random by its author. A retry of the same change uses the same id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

impl ChangeId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ChangeId {
    type Err = ParseChangeIdError;

    fn from_str(text: &str) -> Result<Self, ParseChangeIdError> {
        let valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let valid = (1..=MAX_CHANGE_ID_BYTES).contains(&text.len()) && text.bytes().all(valid_byte);
        if valid {
            Ok(Self(text.to_owned()))
        } else {
            ParseChangeIdSnafu { text }.fail()
        }
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ParseChangeIdError;

    fn try_from(text: String) -> Result<Self, ParseChangeIdError> {
        text.parse()
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The author of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The name that the history shows.
    pub actor: String,
    /// The team whose sections the author may change. `None` means all sections.
    pub team: Option<Team>,
}

/// The new state of one section.
///
/// A message must contain all fields and no others. Otherwise a misspelt `body` would read as absent and remove the
/// section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The section to add, replace or remove.
    pub section: SectionName,
    /// The revision of the section that the edit is based on. `None` means that the section must not exist yet.
    #[serde(deserialize_with = "Option::deserialize")]
    pub expected: Option<Revision>,
    /// The new body. `None` removes the section.
    #[serde(deserialize_with = "Option::deserialize")]
    pub body: Option<SectionBody>,
}

/// Digest that distinguishes changes with the same id. It need not resist attackers, because they cannot choose another
/// operator's change id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditsDigest(u64);

/// A change of the document. Its edits are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id that distinguishes a retry from a new change.
    pub change_id: ChangeId,
    /// The author of the change. The entry daemon sets the team according to the admin token of the request.
    pub author: Author,
    /// The revision of the document that the change is based on.
    pub base: Revision,
    /// The edits, at most one per section.
    pub edits: Vec<Edit>,
}

impl Change {
    pub(crate) fn edits_digest(&self) -> EditsDigest {
        let mut hasher = Sha256::new();
        for edit in &self.edits {
            let expected = edit.expected.map(Revision::get);
            let body = edit.body.as_ref().map(SectionBody::to_string);
            hasher.update(format!("{} {expected:?} {body:?};", edit.section));
        }
        let hash = hasher.finalize();
        let (first, _) = hash.split_at(size_of::<u64>());
        EditsDigest(
            first
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte)),
        )
    }
}
