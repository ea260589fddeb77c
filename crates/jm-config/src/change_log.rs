//! The state that a log of changes leads to. Section 4.1 of `docs/design.md` describes how the log is stored.

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

/// How many of the latest change ids are remembered. A change based on an older revision is refused, because its
/// repeat could not be told from a new change. At 48,000 changes a day this covers two hours.
pub const RETAINED_CHANGE_IDS: u64 = 4_096;

/// Why a change is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeRefused {
    /// The section changed after the author read it.
    #[snafu(display("section [{section}] changed at revision {newer}; the change expects {}", revision_text(*expected)))]
    Changed {
        /// The section.
        section: SectionName,
        /// The revision that the author saw; absent when the author saw no such section.
        expected: Option<Revision>,
        /// The revision of the section now.
        newer: Revision,
    },
    /// The section was removed after the author read it.
    #[snafu(display("section [{section}] was removed; the change expects revision {expected}"))]
    Removed {
        /// The section.
        section: SectionName,
        /// The revision that the author saw.
        expected: Revision,
    },
    /// The change is based on a revision whose successors' ids are no longer remembered.
    #[snafu(display("the change is based on revision {base}; the oldest accepted base is {oldest}"))]
    BaseTooOld {
        /// The revision that the author saw.
        base: Revision,
        /// The oldest revision that a change may be based on.
        oldest: Revision,
    },
    /// The change is based on a revision that is not in the log.
    #[snafu(display("the change is based on revision {base}; the newest revision here is {newest}"))]
    BaseUnknown {
        /// The revision that the change names.
        base: Revision,
        /// The newest revision of the log.
        newest: Revision,
    },
    /// The section belongs to another team.
    #[snafu(display("section [{section}] belongs to team {owner}, not to team {team}"))]
    WrongTeam {
        /// The section.
        section: SectionName,
        /// The team of the author.
        team: Team,
        /// The team that owns the section.
        owner: Team,
    },
    /// The change edits a section twice.
    #[snafu(display("section [{section}] is edited twice in one change; allowed: one edit for a section"))]
    EditedTwice {
        /// The section.
        section: SectionName,
    },
    /// The id belongs to another change that was accepted.
    #[snafu(display("change id {change_id} belongs to another change, accepted at revision {accepted}"))]
    IdReused {
        /// The id.
        change_id: ChangeId,
        /// The revision of the other change.
        accepted: Revision,
    },
    /// The change has no edits.
    #[snafu(display("the change has no edits; allowed: at least one"))]
    Empty,
    /// The document would not be valid.
    #[snafu(display("the document would not be valid:\n{source}"))]
    Invalid {
        /// The faults; their lines are those of the document as text.
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

/// Why a stored change cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// Changes between the state and this one are missing.
    #[snafu(display("revision {revision} follows {current} with a gap"))]
    Gap {
        /// The revision of the change.
        revision: Revision,
        /// The revision of the state.
        current: Revision,
    },
    /// The state has this revision already.
    #[snafu(display("revision {revision} is not newer than {current}"))]
    Older {
        /// The revision of the change.
        revision: Revision,
        /// The revision of the state.
        current: Revision,
    },
}

/// What a stored change did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Its edits are in the document.
    Applied,
    /// A change with the same id had been accepted at this revision; the document stays as it is.
    Repeated(Revision),
    /// It conflicts with an earlier change; the document stays as it is.
    Ignored(ChangeRefused),
}

/// A section in the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionState {
    /// The revision at which the section last changed.
    pub revision: Revision,
    /// The body.
    pub body: SectionBody,
}

/// The state as it is stored in a snapshot object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the state.
    pub revision: Revision,
    /// The sections in the order in which they were added.
    pub sections: Vec<SectionView>,
    /// The remembered changes, oldest first.
    pub accepted: Vec<AcceptedChange>,
}

/// What is remembered of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Its revision.
    pub revision: Revision,
    /// Its id.
    pub change_id: ChangeId,
    /// The digest of its edits.
    pub edits: EditsDigest,
}

/// The document, the revision of each section and the latest change ids. Equal logs give equal states.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ChangeLog {
    revision: Revision,
    sections: IndexMap<SectionName, SectionState>,
    /// Kept up to date section by section, because reading a whole document of 12,000 targets at every change would take
    /// nearly all of the control work that a daemon is permitted.
    document: Arc<Document>,
    /// Sections whose object is missing from the document.
    unreadable: HashSet<SectionName>,
    /// Ids of the remembered changes, oldest first.
    accepted_order: VecDeque<ChangeId>,
    accepted: HashMap<ChangeId, AcceptedChange>,
}

impl ChangeLog {
    /// The state before the first change, at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of the latest applied change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A section with its revision.
    pub fn section(&self, name: &SectionName) -> Option<&SectionState> {
        self.sections.get(name)
    }

    /// The revision at which a change with this id was accepted, for as long as it is remembered.
    pub fn accepted(&self, id: &ChangeId) -> Option<Revision> {
        self.accepted.get(id).map(|accepted| accepted.revision)
    }

    /// The revision at which `change` was accepted already; the answer to a change that is sent again.
    ///
    /// # Errors
    ///
    /// Fails when the id belongs to an accepted change with other edits.
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

    /// The document as the sections stand.
    ///
    /// # Errors
    ///
    /// Fails when a section cannot be read, which happens only when changes are stored without [`ChangeLog::check`].
    pub fn document(&self) -> Result<Arc<Document>, ConfigErrors> {
        if self.unreadable.is_empty() {
            return Ok(Arc::clone(&self.document));
        }
        let sections = self.sections.iter().map(|(name, state)| (name, &state.body));
        Document::from_sections(&format!("revision {}", self.revision), sections).map(Arc::new)
    }

    /// Whether `change` may be stored as the next revision of exactly this state. Ask [`ChangeLog::repeat_of`] first: a
    /// change that is in the log already conflicts with itself.
    ///
    /// # Errors
    ///
    /// Tells why the change is refused, with the newer revision of a section in conflict.
    pub fn check(&self, change: &Change) -> Result<(), ChangeRefused> {
        check_teams(change)?;
        self.check_revisions(change)?;
        let mut next = self.sections.clone();
        edit(&mut next, change, self.revision.next());
        let sections = next.iter().map(|(name, state)| (name, &state.body));
        Document::from_sections(change.change_id.as_str(), sections).context(InvalidSnafu)?;
        Ok(())
    }

    /// Brings the state to `revision` with the change that is stored there. The document changes only when the
    /// sections are as the change expects them and its id is new, so that replays and races end the same everywhere.
    ///
    /// # Errors
    ///
    /// Fails when `revision` does not follow the state's own.
    pub fn apply(&mut self, revision: Revision, change: &Change) -> Result<ChangeOutcome, ApplyError> {
        let current = self.revision;
        ensure!(revision > current, OlderSnafu { revision, current });
        ensure!(revision == current.next(), GapSnafu { revision, current });
        let outcome = self.outcome(change);
        if outcome == ChangeOutcome::Applied {
            edit(&mut self.sections, change, revision);
            self.edit_document(change);
            self.remember(AcceptedChange {
                revision,
                change_id: change.change_id.clone(),
                edits: change.edits_digest(),
            });
        }
        self.revision = revision;
        self.forget();
        Ok(outcome)
    }

    fn edit_document(&mut self, change: &Change) {
        let document = Arc::make_mut(&mut self.document);
        for Edit { section, body, .. } in &change.edits {
            self.unreadable.remove(section);
            match body {
                Some(body) if document.put(section, body) => {}
                Some(_) => {
                    self.unreadable.insert(section.clone());
                }
                None => document.remove(section),
            }
        }
    }

    fn outcome(&self, change: &Change) -> ChangeOutcome {
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

    fn remember(&mut self, accepted: AcceptedChange) {
        self.accepted_order.push_back(accepted.change_id.clone());
        self.accepted.insert(accepted.change_id.clone(), accepted);
    }

    /// Drops the ids that no accepted base can reach.
    fn forget(&mut self) {
        let oldest = self.revision.saturating_sub(Revision::new(RETAINED_CHANGE_IDS));
        while let Some(id) = self.accepted_order.front() {
            if self.accepted(id).is_some_and(|revision| revision > oldest) {
                break;
            }
            self.accepted.remove(id);
            self.accepted_order.pop_front();
        }
    }

    /// The state for a snapshot object.
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

    /// The state that a snapshot was taken of.
    pub fn from_snapshot(snapshot: Snapshot) -> Self {
        let mut log = Self {
            revision: snapshot.revision,
            ..Self::default()
        };
        let document = Arc::make_mut(&mut log.document);
        for SectionView { name, revision, body } in snapshot.sections {
            if !document.put(&name, &body) {
                log.unreadable.insert(name.clone());
            }
            log.sections.insert(name, SectionState { revision, body });
        }
        for accepted in snapshot.accepted {
            log.remember(accepted);
        }
        log
    }

    /// The sections with their revisions, for operators.
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

fn edit(sections: &mut IndexMap<SectionName, SectionState>, change: &Change, revision: Revision) {
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
