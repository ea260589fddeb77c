//! Registry of the training steps that a dispatch daemon owns and of the copies that it holds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use jm_step::StepCopy;
use jm_types::{DurationMs, Incarnation, MemberId, OrganisationId, StepId, Timestamp};

use super::owner::OwnedStep;

/// Time after the last access by its trainer or owner at which a step or copy expires.
const RETENTION_MS: DurationMs = DurationMs::new(1_800_000);

/// The internal key of a step. It includes the organisation, so that organisations cannot access one another's steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct StepKey {
    pub(crate) organisation: OrganisationId,
    pub(crate) step: StepId,
}

/// A copy that this daemon holds for the owner of a step.
pub(crate) struct HeldCopy {
    pub(crate) copy: StepCopy,
    pub(crate) owner: MemberId,
    pub(crate) incarnation: Incarnation,
    pub(crate) last_access: Timestamp,
}

/// The owned steps and the held copies, by step.
#[derive(Default)]
pub(crate) struct Steps {
    owned: Mutex<IndexMap<StepKey, Arc<OwnedStep>>>,
    copies: Mutex<IndexMap<StepKey, HeldCopy>>,
}

impl Steps {
    pub(crate) fn owned(&self) -> MutexGuard<'_, IndexMap<StepKey, Arc<OwnedStep>>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn copies(&self) -> MutexGuard<'_, IndexMap<StepKey, HeldCopy>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, key: &StepKey) -> Option<Arc<OwnedStep>> {
        self.owned().get(key).cloned()
    }

    /// Number of owned steps whose trainer has not received all samples yet.
    pub(crate) fn running(&self) -> usize {
        let owned = self.owned();
        let running = owned
            .values()
            .filter(|step| !step.is_ended() && !step.assembly().is_complete());
        running.count()
    }

    /// Removes steps and copies without access for [`RETENTION_MS`].
    pub(crate) fn expire(&self, now: Timestamp) {
        self.owned()
            .retain(|_, step| now.since(step.last_access()) < RETENTION_MS);
        self.copies()
            .retain(|_, held| now.since(held.last_access) < RETENTION_MS);
    }
}
