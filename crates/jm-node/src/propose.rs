//! Acceptance of a configuration change: one conditional create, settled by reading back when its answer is lost.

use async_std::{future::timeout, task};
use jm_config::{Change, ChangeAccepted, ChangeRefused};
use jm_platform::{Condition, ObjectError};
use jm_types::{DurationMs, ResultCode, Revision, Timestamp};
use snafu::Snafu;

use crate::{Node, change_key, codec};

/// Attempts to win the next revision against other operators before the change is refused.
const MAX_ATTEMPTS: usize = 32;

/// Time within which an accepted change is expected to be in force at a majority.
const IN_FORCE_MS: DurationMs = DurationMs::new(5_000);

/// Interval at which the majority is looked at.
const IN_FORCE_POLL_MS: DurationMs = DurationMs::new(20);

/// Pause before a store call is repeated.
const RETRY_MS: DurationMs = DurationMs::new(100);

/// A change to accept.
pub type Proposal = Change;

/// Why a change was not accepted, or why that is not known.
#[derive(Debug, Snafu)]
pub enum ProposeError {
    /// The change does not fit the current document.
    #[snafu(display("{reason}"))]
    Refused {
        /// The numbered code.
        code: ResultCode,
        /// The text for the operator, with the newer revision of a section in conflict.
        reason: String,
    },
    /// The store does not answer; the change was not stored.
    #[snafu(display("the object API does not answer: {reason}; the change was not stored"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
    /// The answer was lost and the log cannot be read back.
    #[snafu(display("whether the change was stored is not known; send it again with the same change id"))]
    Unknown,
}

impl ProposeError {
    /// The numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Refused { code, .. } => *code,
            Self::Unavailable { .. } => ResultCode::StoreUnavailable,
            Self::Unknown => ResultCode::ChangeUnknown,
        }
    }
}

impl From<ChangeRefused> for ProposeError {
    fn from(refused: ChangeRefused) -> Self {
        Self::Refused {
            code: refused.code(),
            reason: refused.to_string(),
        }
    }
}

enum Attempt {
    /// The change is in the store at the revision that was tried.
    Stored,
    LostRace,
    Failed(ProposeError),
}

impl Node {
    /// Accepts a change and waits until a majority has it in force.
    pub async fn propose(&self, change: &Proposal) -> Result<ChangeAccepted, ProposeError> {
        let revision = self.store_change(change).await?;
        let stored_at = self.now();
        let in_force = timeout(IN_FORCE_MS.as_std(), self.wait_in_force(revision, stored_at))
            .await
            .is_ok();
        Ok(ChangeAccepted { revision, in_force })
    }

    async fn store_change(&self, change: &Change) -> Result<Revision, ProposeError> {
        // Whether an earlier attempt may have stored the change without an answer.
        let mut uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            let next = match self.next_revision(change) {
                Ok(Next::Repeat(revision)) => return Ok(revision),
                Ok(Next::Create(next)) => next,
                Err(_) if uncertain => return UnknownSnafu.fail(),
                Err(refused) => return Err(refused),
            };
            match self.create(next, change, &mut uncertain).await {
                Attempt::Stored => return self.confirm_place(next, change).await,
                Attempt::LostRace => {}
                Attempt::Failed(_) if uncertain => return UnknownSnafu.fail(),
                Attempt::Failed(error) => return Err(error),
            }
        }
        let reason = "too many other changes at the same time; send the change again".to_owned();
        RefusedSnafu {
            code: ResultCode::SectionConflict,
            reason,
        }
        .fail()
    }

    fn next_revision(&self, change: &Change) -> Result<Next, ProposeError> {
        let state = self.config.state();
        if let Some(revision) = state.log.repeat_of(change)? {
            return Ok(Next::Repeat(revision));
        }
        state.log.check(change)?;
        Ok(Next::Create(state.log.revision().next()))
    }

    async fn create(&self, next: Revision, change: &Change, uncertain: &mut bool) -> Attempt {
        let key = change_key(next);
        match self
            .platform
            .objects
            .put(&key, codec::encode(change), Condition::Absent)
            .await
        {
            Ok(_) => Attempt::Stored,
            Err(ObjectError::Conflict { .. }) => self.read_winner(next, change).await,
            Err(ObjectError::AnswerLost { .. }) => {
                *uncertain = true;
                self.read_winner(next, change).await
            }
            Err(error) => Attempt::Failed(ProposeError::Unavailable {
                reason: error.to_string(),
            }),
        }
    }

    /// Reads which change has the revision, and applies it.
    async fn read_winner(&self, revision: Revision, change: &Change) -> Attempt {
        for _ in 0..MAX_ATTEMPTS {
            match self.platform.objects.get(&change_key(revision)).await {
                Ok(Some(object)) => return self.take_winner(revision, change, &object.value),
                // The create may still arrive; the same revision is tried again with the same change.
                Ok(None) => return Attempt::LostRace,
                Err(_) => task::sleep(RETRY_MS.as_std()).await,
            }
        }
        Attempt::Failed(ProposeError::Unknown)
    }

    fn take_winner(&self, revision: Revision, change: &Change, value: &[u8]) -> Attempt {
        let Ok(winner) = codec::decode::<Change>(value) else {
            return Attempt::Failed(ProposeError::Unknown);
        };
        if winner == *change {
            return Attempt::Stored;
        }
        self.apply_accepted(revision, &winner);
        Attempt::LostRace
    }

    /// Accepts a stored change, unless its predecessor is missing. Old changes are deleted in their order, so this
    /// daemon is then behind the deleted ones, and no other daemon will ever apply what it stored there.
    async fn confirm_place(&self, revision: Revision, change: &Change) -> Result<Revision, ProposeError> {
        let before = revision.saturating_sub(Revision::new(1));
        if before > Revision::default() && !self.is_stored(before).await? {
            // A change that stays there is without effect, and is deleted with the other old ones.
            let _ = self
                .platform
                .objects
                .delete(&change_key(revision), Condition::Any)
                .await;
            let reason = format!("revision {before} of this daemon is older than the log in the store");
            let code = ResultCode::NotFresh;
            return RefusedSnafu { code, reason }.fail();
        }
        self.apply_accepted(revision, change);
        Ok(revision)
    }

    async fn is_stored(&self, revision: Revision) -> Result<bool, ProposeError> {
        for _ in 0..MAX_ATTEMPTS {
            match self.platform.objects.get(&change_key(revision)).await {
                Ok(object) => return Ok(object.is_some()),
                Err(_) => task::sleep(RETRY_MS.as_std()).await,
            }
        }
        UnknownSnafu.fail()
    }

    fn apply_accepted(&self, revision: Revision, change: &Change) {
        // A gap is filled by the watch; the change is in the store already.
        let _ = self.config.apply(revision, change);
        self.peers.set_own_revision(self.config.revision());
    }

    /// Waits until a majority has the revision. The majority is that of the daemons registered at `stored_at` or later:
    /// with an older list, daemons that registered since would not count.
    async fn wait_in_force(&self, revision: Revision, stored_at: Timestamp) {
        while !self.peers.listed_since(stored_at) {
            self.read_registrations().await;
            task::sleep(IN_FORCE_POLL_MS.as_std()).await;
        }
        while !(self.config.revision() >= revision && self.peers.majority_applied(revision)) {
            task::sleep(IN_FORCE_POLL_MS.as_std()).await;
        }
    }
}

enum Next {
    Repeat(Revision),
    Create(Revision),
}
