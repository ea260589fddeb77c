//! Targets that said in an answer that they are about to exit.
//!
//! Load pattern: targets are replaced one after the other, and a host that cannot reach the store goes on with its last list,
//! in which they still serve. Requests that it sends to such a target are cut when the target exits. The target's own
//! answers are the earliest notice, and the only one that needs no store.

use indexmap::IndexMap;
use jm_types::{DurationMs, Timestamp};

use crate::{Catalog, RunKey, Target, TargetState};

/// Time for which a target that is no longer listed is remembered. An entry may return after an outage of the store, and
/// the target may serve for many seconds after its notice.
const UNLISTED_RETENTION_MS: DurationMs = DurationMs::new(300_000);

/// The runs of targets that gave notice. A restart is another run and serves again.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    /// When each run gave notice or was last listed.
    runs: IndexMap<RunKey, Timestamp>,
}

impl LeavingTargets {
    /// Records the notice of a target. Returns whether it is the first one.
    pub fn record(&mut self, run: &RunKey, now: Timestamp) -> bool {
        self.runs.insert(run.clone(), now).is_none()
    }

    /// The entry of a target as this host uses it. An entry in the store may be older than the notice.
    pub fn apply(&self, mut target: Target) -> Target {
        if self.runs.contains_key(&target.run) {
            target.state = TargetState::Leaving;
        }
        target
    }

    /// Forgets runs that have not been listed for a long time, so that the record stays bounded.
    pub fn forget_unlisted(&mut self, catalog: &Catalog, now: Timestamp) {
        self.runs.retain(|run, seen_at| {
            let is_listed = catalog.get(&run.id).is_some_and(|target| target.run == *run);
            if is_listed {
                *seen_at = now;
            }
            now.since(*seen_at) < UNLISTED_RETENTION_MS
        });
    }
}
