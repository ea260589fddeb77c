//! What was asked, what came back, and which invariant was broken.

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

/// What the answers to one order allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The order was answered as run.
    Ran,
    /// Every answer said that the order was not run.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// Counts and violations of one run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    stopped: AtomicBool,
    counts: Mutex<BTreeMap<String, u64>>,
    violations: Mutex<Vec<String>>,
    orders: Mutex<Vec<(String, OrderOutcome)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Ledger {
    /// Ends the load.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    pub(crate) fn count(&self, what: &str) {
        *lock(&self.counts).entry(what.to_owned()).or_default() += 1;
    }

    pub(crate) fn violate(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    pub(crate) fn first_violation(&self) -> Option<String> {
        lock(&self.violations).first().cloned()
    }

    pub(crate) fn settle_order(&self, id: String, outcome: OrderOutcome) {
        self.count(match outcome {
            OrderOutcome::Ran => "orders answered",
            OrderOutcome::NotRun => "orders refused as not run",
            OrderOutcome::Unknown => "orders of unknown outcome",
        });
        lock(&self.orders).push((id, outcome));
    }

    /// Compares the outcomes of all orders with what the desks ran.
    pub(crate) fn check_orders(&self, fleet: &Fleet) {
        for (id, outcome) in lock(&self.orders).iter() {
            let runs: u64 = fleet.desks.iter().map(|desk| desk.executions(id)).sum();
            let is_true = match outcome {
                OrderOutcome::Ran => runs == 1,
                OrderOutcome::NotRun => runs == 0,
                OrderOutcome::Unknown => runs <= 1,
            };
            if !is_true {
                self.violate(format!("order {id} ran {runs} times, its outcome is {outcome:?}"));
            }
        }
    }

    /// Looks for the callers' keys in everything that targets received.
    pub(crate) fn check_keys(&self, fleet: &Fleet) {
        let engines = fleet.engines.iter().map(|engine| engine.recording());
        let desks = fleet.desks.iter().map(|desk| desk.recording());
        for recording in engines.chain(desks) {
            self.check_recording(&recording);
        }
    }

    fn check_recording(&self, recording: &Recording) {
        if !recording.complete {
            self.violate("a stand-in did not record everything, so keys cannot be ruled out".to_owned());
        }
        for key in [CLERK_KEY, TRAINER_KEY, SPARE_KEY] {
            if recording.contains(key.as_bytes()) {
                self.violate(format!("a target received the key {key}"));
            }
        }
    }
}

impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, count) in lock(&self.counts).iter() {
            writeln!(f, "{what}: {count}")?;
        }
        writeln!(f, "violations: {}", lock(&self.violations).len())
    }
}
