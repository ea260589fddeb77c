//! Changes of the operators' document as they are sent and stored.

use std::{fmt, str::FromStr};

use jm_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::section::{SectionBody, SectionName, Team};

const MAX_CHANGE_ID_BYTES: usize = 64;

/// The text is not a change id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a change id: use 1 to {MAX_CHANGE_ID_BYTES} characters out of a-z, A-Z, 0-9, '-', '_' and '.'"
))]
pub struct ParseChangeIdError {
    text: String,
}

/// The id of a change, chosen at random by whoever makes it. A change that is sent again keeps its id.
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

/// Who makes a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The name for the history.
    pub actor: String,
    /// The team whose sections the author may change; absent for an author who may change all.
    pub team: Option<Team>,
}

/// The new state of one section.
///
/// All fields must be present in a message and no others, because a misspelt `body` must not remove a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The section.
    pub section: SectionName,
    /// The revision at which the author saw the section last change; absent when the section must not exist.
    #[serde(deserialize_with = "Option::deserialize")]
    pub expected: Option<Revision>,
    /// The new body; absent to remove the section.
    #[serde(deserialize_with = "Option::deserialize")]
    pub body: Option<SectionBody>,
}

/// Tells changes with the same id apart. Not meant to resist attackers, who cannot choose another operator's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditsDigest(u64);

/// A change of the document; its edits take effect together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id that tells a repeat from a new change.
    pub change_id: ChangeId,
    /// Who makes the change. The entry daemon sets the team by the admin token that came with it.
    pub author: Author,
    /// The revision of the document that the author saw.
    pub base: Revision,
    /// The edits, at most one for a section.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The digest of the edits.
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
