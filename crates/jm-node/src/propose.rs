//! Acceptance of a configuration change by a conditional create in the store. If the response to the create is lost,
//! the object is read back to determine the outcome.

use async_std::{future::timeout, task};
use jm_config::{Change, ChangeAccepted, ChangeRefused};
use jm_platform::{Condition, ObjectError};
use jm_types::{DurationMs, ResultCode, Revision, Timestamp};
use snafu::Snafu;

use crate::{Node, change_key, codec};

/// Maximum number of attempts to create the next revision before the change is refused. Concurrent changes of other
/// operators make attempts fail.
const MAX_ATTEMPTS: usize = 32;

/// Maximum wait for an accepted change to be in force at a majority.
const IN_FORCE_MS: DurationMs = DurationMs::new(5_000);

/// Interval at which the wait checks the majority.
const IN_FORCE_POLL_MS: DurationMs = DurationMs::new(20);

/// Delay before a failed store call is retried.
const RETRY_MS: DurationMs = DurationMs::new(100);

/// A change that an operator proposes for the next revision.
pub type Proposal = Change;

/// The reason why a change was not accepted, or why its outcome is unknown.
#[derive(Debug, Snafu)]
pub enum ProposeError {
    /// The change is not valid for the current document.
    #[snafu(display("{reason}"))]
    Refused {
        /// The numbered result code.
        code: ResultCode,
        /// The message for the operator. Includes the newer revision of a section in conflict.
        reason: String,
    },
    /// The store is unavailable. The change was not stored.
    #[snafu(display("the object API is unavailable: {reason}; the change was not stored"))]
    Unavailable {
        /// The error of the store call.
        reason: String,
    },
    /// The response of the store was lost, and the log cannot be read back.
    #[snafu(display("it is unknown whether the change was stored; send it again with the same change id"))]
    Unknown,
}

impl ProposeError {
    /// The numbered result code.
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

enum CreateOutcome {
    /// The store holds the change at the attempted revision.
    Stored,
    /// The attempted revision holds another change, or no change yet.
    LostRace,
    Failed(ProposeError),
}

impl Node {
    /// Stores a change as the next revision, then waits for a limited time until a majority has it in force. A retry of
    /// an accepted change returns its revision.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused, when the store is unavailable, or when the outcome is unknown.
    pub async fn propose(&self, change: &Proposal) -> Result<ChangeAccepted, ProposeError> {
        let revision = self.store_change(change).await?;
        let stored_at = self.now();
        let in_force = timeout(IN_FORCE_MS.as_std(), self.wait_in_force(revision, stored_at))
            .await
            .is_ok();
        Ok(ChangeAccepted { revision, in_force })
    }

    async fn store_change(&self, change: &Change) -> Result<Revision, ProposeError> {
        // Whether an earlier attempt may have stored the change although its response was lost.
        let mut may_be_stored = false;
        for _ in 0..MAX_ATTEMPTS {
            let next = match self.next_step(change) {
                Ok(NextStep::AlreadyAccepted(revision)) => return Ok(revision),
                Ok(NextStep::Create(next)) => next,
                Err(_) if may_be_stored => return UnknownSnafu.fail(),
                Err(refused) => return Err(refused),
            };
            match self.create(next, change, &mut may_be_stored).await {
                CreateOutcome::Stored => return self.confirm_predecessor(next, change).await,
                CreateOutcome::LostRace => {}
                CreateOutcome::Failed(_) if may_be_stored => return UnknownSnafu.fail(),
                CreateOutcome::Failed(error) => return Err(error),
            }
        }
        let reason = "too many concurrent changes; send the change again".to_owned();
        RefusedSnafu {
            code: ResultCode::SectionConflict,
            reason,
        }
        .fail()
    }

    fn next_step(&self, change: &Change) -> Result<NextStep, ProposeError> {
        let state = self.config.state();
        if let Some(revision) = state.log.repeat_of(change)? {
            return Ok(NextStep::AlreadyAccepted(revision));
        }
        state.log.check(change)?;
        Ok(NextStep::Create(state.log.revision().next()))
    }

    async fn create(&self, next: Revision, change: &Change, may_be_stored: &mut bool) -> CreateOutcome {
        let key = change_key(next);
        match self
            .platform
            .objects
            .put(&key, codec::encode(change), Condition::Absent)
            .await
        {
            Ok(_) => CreateOutcome::Stored,
            Err(ObjectError::Conflict { .. }) => self.read_stored_change(next, change).await,
            Err(ObjectError::AnswerLost { .. }) => {
                *may_be_stored = true;
                self.read_stored_change(next, change).await
            }
            Err(error) => CreateOutcome::Failed(ProposeError::Unavailable {
                reason: error.to_string(),
            }),
        }
    }

    /// Reads the change that the store holds at `revision`. Applies it if it is another change.
    async fn read_stored_change(&self, revision: Revision, change: &Change) -> CreateOutcome {
        for _ in 0..MAX_ATTEMPTS {
            match self.platform.objects.get(&change_key(revision)).await {
                Ok(Some(object)) => return self.compare_stored_change(revision, change, &object.value),
                // The create may still take effect. The next attempt uses the same revision and the same change.
                Ok(None) => return CreateOutcome::LostRace,
                Err(_) => task::sleep(RETRY_MS.as_std()).await,
            }
        }
        CreateOutcome::Failed(ProposeError::Unknown)
    }

    fn compare_stored_change(&self, revision: Revision, change: &Change, value: &[u8]) -> CreateOutcome {
        let Ok(stored) = codec::decode::<Change>(value) else {
            return CreateOutcome::Failed(ProposeError::Unknown);
        };
        if stored == *change {
            return CreateOutcome::Stored;
        }
        self.apply_accepted(revision, &stored);
        CreateOutcome::LostRace
    }

    /// Applies a stored change, unless the store no longer holds its predecessor. Old changes are deleted in order, so
    /// a missing predecessor means that this daemon lags behind the deleted changes. No other daemon would then ever
    /// apply the stored change.
    async fn confirm_predecessor(
        &self,
        revision: Revision,
        change: &Change,
    ) -> Result<Revision, ProposeError> {
        let predecessor = revision.saturating_sub(Revision::new(1));
        if predecessor > Revision::default() && !self.is_stored(predecessor).await? {
            // If the delete fails, the change has no effect and is deleted later together with other old changes.
            let _ = self
                .platform
                .objects
                .delete(&change_key(revision), Condition::Any)
                .await;
            let reason =
                format!("this daemon has revision {predecessor}, which is older than the log in the store");
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
        // The watch delivers any missing changes, because the change is already in the store.
        let _ = self.config.apply(revision, change);
        self.peers.set_own_revision(self.config.revision());
    }

    /// Waits until a majority has `revision` in force. The list of registered daemons must be from `stored_at` or
    /// later, because an older list would omit daemons that registered since.
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

enum NextStep {
    /// The change was already accepted at this revision.
    AlreadyAccepted(Revision),
    /// The change can be created at this revision.
    Create(Revision),
}
