//! The state that results from replaying a log of changes. Section 4.1 of `docs/design.md` describes how the log is
//! stored.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
};

use indexmap::IndexMap;
use jm_types::{ResultCode, Revision};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    change::{Change, ChangeId, Edit, EditsDigest},
    document::Document,
    error::ConfigErrors,
    section::{SectionBody, SectionName, Team},
    view::{ConfigView, SectionView},
};

/// Number of revisions for which the ids of accepted changes are retained. A change with an older base is refused,
/// because a retry of it could not be distinguished from a new change. At 48,000 changes a day this covers two hours.
pub const RETAINED_CHANGE_IDS: u64 = 4_096;

/// The reason for refusing a change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeRefused {
    /// The section changed after the revision that the edit is based on.
    #[snafu(display("section [{section}] changed at revision {newer}; the change expects {}", revision_text(*expected)))]
    Changed {
        /// The section in conflict.
        section: SectionName,
        /// The revision that the edit is based on. `None` means that the section must not exist yet.
        expected: Option<Revision>,
        /// The current revision of the section.
        newer: Revision,
    },
    /// The section was removed after the revision that the edit is based on.
    #[snafu(display("section [{section}] was removed; the change expects revision {expected}"))]
    Removed {
        /// The removed section.
        section: SectionName,
        /// The revision that the edit is based on.
        expected: Revision,
    },
    /// The base of the change is older than the retained change ids.
    #[snafu(display("the change is based on revision {base}; the oldest accepted base is {oldest}"))]
    BaseTooOld {
        /// The revision that the change is based on.
        base: Revision,
        /// The oldest accepted base.
        oldest: Revision,
    },
    /// The base of the change is newer than this log.
    #[snafu(display("the change is based on revision {base}; the newest revision in the log is {newest}"))]
    BaseUnknown {
        /// The revision that the change is based on.
        base: Revision,
        /// The newest revision of the log.
        newest: Revision,
    },
    /// The section belongs to another team.
    #[snafu(display("section [{section}] belongs to team {owner}, not to team {team}"))]
    WrongTeam {
        /// The section that the change edits.
        section: SectionName,
        /// The team of the author.
        team: Team,
        /// The team that owns the section.
        owner: Team,
    },
    /// The change contains two edits of the same section.
    #[snafu(display("section [{section}] is edited twice in one change; allowed: one edit per section"))]
    EditedTwice {
        /// The section with two edits.
        section: SectionName,
    },
    /// An accepted change with other edits has the same id.
    #[snafu(display("change id {change_id} belongs to another change, accepted at revision {accepted}"))]
    IdReused {
        /// The id of both changes.
        change_id: ChangeId,
        /// The revision of the accepted change.
        accepted: Revision,
    },
    /// The change has no edits.
    #[snafu(display("the change has no edits; allowed: at least one"))]
    Empty,
    /// The resulting document is invalid.
    #[snafu(display("the change makes the document invalid:\n{source}"))]
    Invalid {
        /// The errors. Line numbers refer to the resulting document as text.
        source: ConfigErrors,
    },
}

fn revision_text(revision: Option<Revision>) -> String {
    match revision {
        Some(revision) => format!("revision {revision}"),
        None => "no such section".to_owned(),
    }
}

impl ChangeRefused {
    /// The result code for the author.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Changed { .. } | Self::Removed { .. } | Self::BaseTooOld { .. } => {
                ResultCode::SectionConflict
            }
            Self::BaseUnknown { .. } => ResultCode::NotFresh,
            Self::WrongTeam { .. } => ResultCode::WrongTeam,
            Self::EditedTwice { .. } => ResultCode::Duplicate,
            Self::IdReused { .. } => ResultCode::RequestMismatch,
            Self::Empty => ResultCode::MissingSetting,
            Self::Invalid { source } => source.code(),
        }
    }
}

/// The reason why a stored change cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// Changes between the state and the stored change are missing.
    #[snafu(display(
        "cannot apply revision {revision} to revision {current}: the revisions between them are missing"
    ))]
    Gap {
        /// The revision of the change.
        revision: Revision,
        /// The revision of the state.
        current: Revision,
    },
    /// The state already includes the revision.
    #[snafu(display("cannot apply revision {revision}: the current revision is already {current}"))]
    Older {
        /// The revision of the change.
        revision: Revision,
        /// The revision of the state.
        current: Revision,
    },
}

/// The effect of applying a stored change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The edits were applied to the document.
    Applied,
    /// A change with the same id was accepted at the given revision. The document is unchanged.
    Repeated(Revision),
    /// The change conflicts with an earlier change. The document is unchanged.
    Ignored(ChangeRefused),
}

/// The body of a section and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionState {
    /// The revision at which the section last changed.
    pub revision: Revision,
    /// The keys and values of the section.
    pub body: SectionBody,
}

/// The serialized state of a [`ChangeLog`], which the store holds as a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the state.
    pub revision: Revision,
    /// The sections, in the order in which they were added.
    pub sections: Vec<SectionView>,
    /// The accepted changes whose ids are retained, oldest first.
    pub accepted: Vec<AcceptedChange>,
}

/// The retained data of an accepted change, for the detection of retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The revision of the change.
    pub revision: Revision,
    /// The id of the change.
    pub change_id: ChangeId,
    /// Digest of the edits, to detect an id that is reused for another change.
    pub edits: EditsDigest,
}

/// The document, the revision of each section and the retained change ids. Replaying equal logs gives equal states.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ChangeLog {
    revision: Revision,
    sections: IndexMap<SectionName, SectionState>,
    /// Updated incrementally, one section at a time. Parsing a whole document of 12,000 targets at every change would
    /// use nearly all of the control work that a daemon is permitted.
    document: Arc<Document>,
    /// Invalid sections. The document contains their text but not their entities.
    invalid_sections: HashSet<SectionName>,
    /// Retained change ids, oldest first.
    accepted_order: VecDeque<ChangeId>,
    accepted: HashMap<ChangeId, AcceptedChange>,
}

impl ChangeLog {
    /// Creates the empty state at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of the latest applied change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a section; `None` when the state has no such section.
    pub fn section(&self, name: &SectionName) -> Option<&SectionState> {
        self.sections.get(name)
    }

    /// The revision at which the change with this id was accepted. `None` when the id is unknown or no longer retained.
    pub fn accepted(&self, id: &ChangeId) -> Option<Revision> {
        self.accepted.get(id).map(|accepted| accepted.revision)
    }

    /// The revision at which an identical change was accepted before, to answer a retry. `None` when `change` is new.
    ///
    /// # Errors
    ///
    /// Fails when an accepted change with other edits has the same id.
    pub fn repeat_of(&self, change: &Change) -> Result<Option<Revision>, ChangeRefused> {
        let Some(first) = self.accepted.get(&change.change_id) else {
            return Ok(None);
        };
        let accepted = first.revision;
        let change_id = change.change_id.clone();
        ensure!(
            first.edits == change.edits_digest(),
            IdReusedSnafu { change_id, accepted }
        );
        Ok(Some(accepted))
    }

    /// The document at the current revision.
    ///
    /// # Errors
    ///
    /// Fails when a section is invalid, which happens only when a change was stored without [`ChangeLog::check`].
    pub fn document(&self) -> Result<Arc<Document>, ConfigErrors> {
        if self.invalid_sections.is_empty() {
            return Ok(Arc::clone(&self.document));
        }
        let sections = self.sections.iter().map(|(name, state)| (name, &state.body));
        Document::from_sections(&format!("revision {}", self.revision), sections).map(Arc::new)
    }

    /// Checks whether `change` may be stored as the next revision of this state. Call [`ChangeLog::repeat_of`] first: a
    /// change that is already in the log conflicts with itself.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, with the newer revision of a section in conflict.
    pub fn check(&self, change: &Change) -> Result<(), ChangeRefused> {
        check_teams(change)?;
        self.check_revisions(change)?;
        let mut next = self.sections.clone();
        apply_edits(&mut next, change, self.revision.next());
        let sections = next.iter().map(|(name, state)| (name, &state.body));
        Document::from_sections(change.change_id.as_str(), sections).context(InvalidSnafu)?;
        Ok(())
    }

    /// Applies the change that is stored at `revision`. The document changes only when the sections have the revisions
    /// that the change expects and its id is new. All daemons therefore reach the same state, even after replays and
    /// races.
    ///
    /// # Errors
    ///
    /// Fails when `revision` is not the successor of the current revision.
    pub fn apply(&mut self, revision: Revision, change: &Change) -> Result<ChangeOutcome, ApplyError> {
        let current = self.revision;
        ensure!(revision > current, OlderSnafu { revision, current });
        ensure!(revision == current.next(), GapSnafu { revision, current });
        let outcome = self.evaluate(change);
        if outcome == ChangeOutcome::Applied {
            apply_edits(&mut self.sections, change, revision);
            self.edit_document(change);
            self.retain_change_id(AcceptedChange {
                revision,
                change_id: change.change_id.clone(),
                edits: change.edits_digest(),
            });
        }
        self.revision = revision;
        self.expire_change_ids();
        Ok(outcome)
    }

    fn edit_document(&mut self, change: &Change) {
        let document = Arc::make_mut(&mut self.document);
        for Edit { section, body, .. } in &change.edits {
            self.invalid_sections.remove(section);
            match body {
                Some(body) if document.put(section, body) => {}
                Some(_) => {
                    self.invalid_sections.insert(section.clone());
                }
                None => document.remove(section),
            }
        }
    }

    fn evaluate(&self, change: &Change) -> ChangeOutcome {
        if let Some(first) = self.accepted(&change.change_id) {
            return ChangeOutcome::Repeated(first);
        }
        match self.check_revisions(change) {
            Ok(()) => ChangeOutcome::Applied,
            Err(refused) => ChangeOutcome::Ignored(refused),
        }
    }

    fn check_revisions(&self, change: &Change) -> Result<(), ChangeRefused> {
        let (base, newest) = (change.base, self.revision);
        ensure!(base <= newest, BaseUnknownSnafu { base, newest });
        let oldest = newest.saturating_sub(Revision::new(RETAINED_CHANGE_IDS));
        ensure!(base >= oldest, BaseTooOldSnafu { base, oldest });
        ensure!(!change.edits.is_empty(), EmptySnafu);
        let mut edited = HashSet::new();
        for edit in &change.edits {
            let section = &edit.section;
            ensure!(
                edited.insert(section),
                EditedTwiceSnafu {
                    section: section.clone()
                }
            );
            self.check_section(section, edit.expected)?;
        }
        Ok(())
    }

    fn check_section(&self, section: &SectionName, expected: Option<Revision>) -> Result<(), ChangeRefused> {
        let section = section.clone();
        match (self.sections.get(&section).map(|state| state.revision), expected) {
            (Some(newer), expected) if expected != Some(newer) => ChangedSnafu {
                section,
                expected,
                newer,
            }
            .fail(),
            (None, Some(expected)) => RemovedSnafu { section, expected }.fail(),
            _ => Ok(()),
        }
    }

    fn retain_change_id(&mut self, accepted: AcceptedChange) {
        self.accepted_order.push_back(accepted.change_id.clone());
        self.accepted.insert(accepted.change_id.clone(), accepted);
    }

    /// Drops the change ids that are older than the oldest accepted base.
    fn expire_change_ids(&mut self) {
        let oldest = self.revision.saturating_sub(Revision::new(RETAINED_CHANGE_IDS));
        while let Some(id) = self.accepted_order.front() {
            if self.accepted(id).is_some_and(|revision| revision > oldest) {
                break;
            }
            self.accepted.remove(id);
            self.accepted_order.pop_front();
        }
    }

    /// Creates a snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            sections: self.view().sections,
            accepted: self
                .accepted_order
                .iter()
                .filter_map(|id| self.accepted.get(id))
                .cloned()
                .collect(),
        }
    }

    /// Restores the state from a snapshot.
    pub fn from_snapshot(snapshot: Snapshot) -> Self {
        let mut log = Self {
            revision: snapshot.revision,
            ..Self::default()
        };
        let document = Arc::make_mut(&mut log.document);
        for SectionView { name, revision, body } in snapshot.sections {
            if !document.put(&name, &body) {
                log.invalid_sections.insert(name.clone());
            }
            log.sections.insert(name, SectionState { revision, body });
        }
        for accepted in snapshot.accepted {
            log.retain_change_id(accepted);
        }
        log
    }

    /// The sections with their revisions, for the admin API.
    pub fn view(&self) -> ConfigView {
        let sections = self.sections.iter().map(|(name, state)| SectionView {
            name: name.clone(),
            revision: state.revision,
            body: state.body.clone(),
        });
        ConfigView {
            revision: self.revision,
            sections: sections.collect(),
        }
    }
}

fn check_teams(change: &Change) -> Result<(), ChangeRefused> {
    let Some(team) = change.author.team else {
        return Ok(());
    };
    for edit in &change.edits {
        let section = edit.section.clone();
        let owner = section.kind().team();
        ensure!(owner == team, WrongTeamSnafu { section, team, owner });
    }
    Ok(())
}

fn apply_edits(sections: &mut IndexMap<SectionName, SectionState>, change: &Change, revision: Revision) {
    for edit in &change.edits {
        match &edit.body {
            Some(body) => {
                let body = body.clone();
                sections.insert(edit.section.clone(), SectionState { revision, body });
            }
            None => {
                sections.shift_remove(&edit.section);
            }
        }
    }
}
