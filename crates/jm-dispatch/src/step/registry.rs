//! The steps and copies of one dispatch daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use jm_step::StepCopy;
use jm_types::{DurationMs, Incarnation, MemberId, OrganisationId, StepId, Timestamp};

use super::owner::OwnedStep;

/// Time for which a step without any sign of its trainer or owner is kept.
const RETENTION_MS: DurationMs = DurationMs::new(1_800_000);

/// A step as it is known inside the system; organisations cannot name one another's steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct StepKey {
    pub(crate) organisation: OrganisationId,
    pub(crate) step: StepId,
}

/// A copy held for the owner of a step.
pub(crate) struct HeldCopy {
    pub(crate) copy: StepCopy,
    pub(crate) owner: MemberId,
    pub(crate) incarnation: Incarnation,
    pub(crate) touched: Timestamp,
}

/// The steps and copies of one dispatch daemon.
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

    /// Number of steps that this daemon owns and whose trainer does not hold every sample yet.
    pub(crate) fn running(&self) -> usize {
        let owned = self.owned();
        let running = owned
            .values()
            .filter(|step| !step.is_ended() && !step.assembly().is_complete());
        running.count()
    }

    /// Forgets steps and copies that nobody has asked for in a long time.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.owned()
            .retain(|_, step| now.since(step.touched()) < RETENTION_MS);
        self.copies()
            .retain(|_, held| now.since(held.touched) < RETENTION_MS);
    }
}
