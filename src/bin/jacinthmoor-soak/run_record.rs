//! Records the outcomes of requests and checks the invariants of the service.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use jm_standins::Recording;

use crate::fleet::{CLERK_KEY, Fleet, SPARE_KEY, TRAINER_KEY};

/// What the responses to one order say about its execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// A response said that the order ran.
    Ran,
    /// Every response said that the order was not run.
    NotRun,
    /// No response showed the outcome. The order must have run at most once.
    Unknown,
}

/// Counts, order outcomes and invariant violations of one run.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    stopped: AtomicBool,
    counts: Mutex<BTreeMap<String, u64>>,
    violations: Mutex<Vec<String>>,
    orders: Mutex<Vec<(String, OrderOutcome)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunRecord {
    /// Signals the load tasks to end.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    pub(crate) fn count(&self, what: &str) {
        *lock(&self.counts).entry(what.to_owned()).or_default() += 1;
    }

    pub(crate) fn add_violation(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    pub(crate) fn first_violation(&self) -> Option<String> {
        lock(&self.violations).first().cloned()
    }

    pub(crate) fn record_order(&self, id: String, outcome: OrderOutcome) {
        self.count(match outcome {
            OrderOutcome::Ran => "orders answered",
            OrderOutcome::NotRun => "orders refused as not run",
            OrderOutcome::Unknown => "orders of unknown outcome",
        });
        lock(&self.orders).push((id, outcome));
    }

    /// Checks the recorded outcomes of all orders against the execution counts of the order desks.
    pub(crate) fn check_orders(&self, fleet: &Fleet) {
        for (id, outcome) in lock(&self.orders).iter() {
            let runs: u64 = fleet.desks.iter().map(|desk| desk.executions(id)).sum();
            let is_consistent = match outcome {
                OrderOutcome::Ran => runs == 1,
                OrderOutcome::NotRun => runs == 0,
                OrderOutcome::Unknown => runs <= 1,
            };
            if !is_consistent {
                self.add_violation(format!(
                    "order {id} ran {runs} times, but its recorded outcome is {outcome:?}"
                ));
            }
        }
    }

    /// Checks that no target received a caller's key.
    pub(crate) fn check_keys(&self, fleet: &Fleet) {
        let engines = fleet.engines.iter().map(|engine| engine.recording());
        let desks = fleet.desks.iter().map(|desk| desk.recording());
        for recording in engines.chain(desks) {
            self.check_recording(&recording);
        }
    }

    fn check_recording(&self, recording: &Recording) {
        if !recording.complete {
            self.add_violation(
                "a stand-in did not record all requests, so the search for keys is incomplete".to_owned(),
            );
        }
        for key in [CLERK_KEY, TRAINER_KEY, SPARE_KEY] {
            if recording.contains(key.as_bytes()) {
                self.add_violation(format!("a target received the key {key}"));
            }
        }
    }
}

impl fmt::Display for RunRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, count) in lock(&self.counts).iter() {
            writeln!(f, "{what}: {count}")?;
        }
        writeln!(f, "violations: {}", lock(&self.violations).len())
    }
}
