//! Order, placement and retries of the reward calls of a host.
//!
//! Load pattern: the texts of a step complete in bursts, and each needs a reward call from a service with far fewer
//! slots, which also answers live callers. Sent at once, the calls fill the service's queue: live requests wait behind
//! them or are rejected, and calls of the step that is due first wait behind those of others. Calls therefore wait here.
//! No target receives more of them than it has slots, less those reserved for live callers; the batch that is due first
//! goes first, and within it the groups that its submitter waits for and that are nearest to completion.

use std::{cmp::Reverse, sync::Arc};

use futures::future::{AbortHandle, AbortRegistration};
use indexmap::{IndexMap, IndexSet};
use jm_forward::{Catalog, ColdGate, RunKey, Target};
use jm_route::RetryBudget;
use jm_types::{BatchId, DurationMs, ServiceId, Timestamp, WeightVersion};

use crate::{AllowedSoftware, EngineLoads, ItemRequirements, LoadOptions, RemoteWork, RewardEnd};

/// Parameters of reward calls.
#[derive(Debug, Clone, Copy)]
pub struct RewardOptions {
    /// Parameters of the target selection.
    pub load: LoadOptions,
    /// A call that takes longer than this percentage of the fastest target's usual time is also sent to a second target.
    pub hedge_percent: u64,
    /// Minimum time after which a call is sent to a second target.
    pub min_hedge_ms: DurationMs,
    /// Delay before the second retry of a call. Each further one doubles it; the first retry has none.
    pub retry_delay_ms: DurationMs,
    /// Maximum delay before a retry.
    pub max_retry_delay_ms: DurationMs,
}

impl Default for RewardOptions {
    fn default() -> Self {
        Self {
            load: LoadOptions {
                initial_gap_ms: 80,
                avoid_rejecting_ms: DurationMs::new(50),
                avoid_failed_ms: DurationMs::new(500),
                reserved_slots: 1,
            },
            hedge_percent: 200,
            min_hedge_ms: DurationMs::new(60),
            retry_delay_ms: DurationMs::new(50),
            max_retry_delay_ms: DurationMs::new(800),
        }
    }
}

/// Calls that may be sent to a second target, per thousand calls.
const HEDGES_PER_THOUSAND: u64 = 300;
/// Calls that may be sent to a second target in a burst.
const HEDGE_BURST: u64 = 30;

/// Identifies the reward call of one item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RewardKey {
    /// Batch of the item.
    pub batch: BatchId,
    /// Index of the item in the batch.
    pub item: usize,
}

/// What decides which of the waiting calls is sent first. Smaller values go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RewardUrgency {
    /// When the results of the batch are due.
    pub due_at: Timestamp,
    /// Whether the submitter waits for this group in particular, because it carried the group over.
    pub is_awaited: Reverse<bool>,
    /// Number of items of the group whose text is not complete yet.
    pub open_texts: usize,
}

/// Inputs of one scheduling pass.
#[derive(Debug, Clone, Copy)]
pub struct RewardPass<'a> {
    /// Current time.
    pub now: Timestamp,
    /// Listed targets.
    pub catalog: &'a Catalog,
    /// Total work of this host's open batches, in tokens.
    pub own_work: u64,
    /// Batches of other hosts, whose calls share the targets.
    pub remote_work: &'a [RemoteWork],
}

/// A call that has to be sent now.
#[derive(Debug)]
pub struct RewardStart {
    /// The call.
    pub key: RewardKey,
    /// Distinguishes the attempts of this host.
    pub serial: u64,
    /// Target of the attempt.
    pub target: Target,
    /// Time after which [`RewardQueue::hedge`] has to be asked for a second attempt.
    pub hedge_after_ms: DurationMs,
    /// Stops the attempt when its call is removed from the queue.
    pub registration: AbortRegistration,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Target of the attempt.
    pub target: RunKey,
    /// Duration of the attempt.
    pub took: DurationMs,
    /// Time from the completion of the text to the start of the attempt.
    pub waited: DurationMs,
    /// Number of attempts of the call so far, including hedged ones.
    pub attempts: usize,
}

struct Attempt {
    serial: u64,
    target: RunKey,
    started_at: Timestamp,
    abort: AbortHandle,
}

struct PendingCall {
    /// When the text was complete.
    ready_at: Timestamp,
    /// Earliest time of the next attempt.
    not_before: Timestamp,
    open: Vec<Attempt>,
    attempts: usize,
    /// Attempts that ended without a score.
    retries: u32,
    /// Targets that failed the call. They are selected again only when no other one can take it.
    failed_at: Vec<RunKey>,
}

impl PendingCall {
    fn is_waiting(&self, now: Timestamp) -> bool {
        self.open.is_empty() && self.not_before <= now
    }
}

/// The reward calls of all batches of this host.
pub struct RewardQueue {
    options: RewardOptions,
    calls: IndexMap<RewardKey, PendingCall>,
    loads: EngineLoads,
    hedges: RetryBudget,
    next_serial: u64,
}

impl RewardQueue {
    /// Creates an empty queue.
    pub fn new(options: RewardOptions) -> Self {
        Self {
            calls: IndexMap::new(),
            loads: EngineLoads::new(options.load),
            hedges: RetryBudget::new(HEDGES_PER_THOUSAND, HEDGE_BURST),
            next_serial: 0,
            options,
        }
    }

    /// Sends to cold targets only what `gate` allows.
    pub fn with_cold_gate(self, gate: Option<Arc<ColdGate>>) -> Self {
        Self {
            loads: self.loads.with_cold_gate(gate),
            ..self
        }
    }

    /// Adds the call of a text that is complete. A call that is already queued is not changed.
    pub fn push(&mut self, key: RewardKey, now: Timestamp) {
        self.hedges.deposit();
        self.calls.entry(key).or_insert_with(|| PendingCall {
            ready_at: now,
            not_before: now,
            open: Vec::new(),
            attempts: 0,
            retries: 0,
            failed_at: Vec::new(),
        });
    }

    /// Whether no call waits or is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call may be sent now, if a target has room for it.
    pub fn has_waiting(&self, now: Timestamp) -> bool {
        self.calls.values().any(|call| call.is_waiting(now))
    }

    /// Number of calls of a batch that wait or are in progress.
    pub fn pending(&self, batch: &BatchId) -> usize {
        self.calls.keys().filter(|key| key.batch == *batch).count()
    }

    /// Time since the text of an item was complete; `None` when its call is not queued.
    pub fn waited(&self, key: &RewardKey, now: Timestamp) -> Option<DurationMs> {
        self.calls.get(key).map(|call| now.since(call.ready_at))
    }

    /// Removes the calls that `keeps` does not hold for, and stops their attempts.
    pub fn retain(&mut self, keeps: impl Fn(&RewardKey) -> bool) {
        let removed: Vec<RewardKey> = self.calls.keys().filter(|key| !keeps(key)).cloned().collect();
        for key in removed {
            self.remove(&key);
        }
    }

    /// Removes a call and stops its attempts.
    pub fn remove(&mut self, key: &RewardKey) {
        let Some(call) = self.calls.swap_remove(key) else {
            return;
        };
        for attempt in call.open {
            attempt.abort.abort();
            self.loads.run_ended(&attempt.target, 0);
        }
    }

    /// Selects the calls to send now, the most urgent first. `service` names the service that a call's route selects;
    /// a call without one waits.
    pub fn start_ready(
        &mut self,
        pass: &RewardPass<'_>,
        urgency: impl Fn(&RewardKey) -> RewardUrgency,
        service: impl Fn(&RewardKey) -> Option<ServiceId>,
    ) -> Vec<RewardStart> {
        self.loads.retain(|run| {
            let listed = pass.catalog.get(&run.id);
            listed.is_some_and(|target| target.run == *run)
        });
        let mut full = IndexSet::new();
        let mut starts = Vec::new();
        for key in self.waiting_calls(pass.now, urgency) {
            let Some(service) = service(&key).filter(|service| !full.contains(service)) else {
                continue;
            };
            match self.start(&key, &service, pass) {
                Some(start) => starts.push(start),
                None => drop(full.insert(service)),
            }
        }
        starts
    }

    fn waiting_calls(&self, now: Timestamp, urgency: impl Fn(&RewardKey) -> RewardUrgency) -> Vec<RewardKey> {
        let waiting = self.calls.iter().filter(|(_, call)| call.is_waiting(now));
        let mut waiting: Vec<_> = waiting
            .map(|(key, call)| (urgency(key), call.ready_at, key))
            .collect();
        waiting.sort_by_key(|(urgency, ready_at, key)| (*urgency, *ready_at, key.item));
        waiting.into_iter().map(|(_, _, key)| key.clone()).collect()
    }

    /// Starts a second attempt of a call whose only attempt is `serial`, at another target. `None` if there is none. While
    /// nothing else indicates that the first target fails, a budget limits the calls that are sent twice.
    pub fn hedge(
        &mut self,
        key: &RewardKey,
        serial: u64,
        pass: &RewardPass<'_>,
        service: &ServiceId,
    ) -> Option<RewardStart> {
        let call = self.calls.get(key)?;
        let [only] = call.open.as_slice() else {
            return None;
        };
        let is_suspect = self.loads.is_suspect(&only.target);
        if only.serial != serial || !(is_suspect || self.hedges.available() > 0) {
            return None;
        }
        let start = self.start(key, service, pass)?;
        if !is_suspect {
            self.hedges.withdraw();
        }
        Some(start)
    }

    fn start(&mut self, key: &RewardKey, service: &ServiceId, pass: &RewardPass<'_>) -> Option<RewardStart> {
        let call = self.calls.get(key)?;
        let target = self.pick(call, service, pass)?.clone();
        let hedge_after_ms = self.hedge_after(service, pass);
        let serial = self.next_serial;
        self.next_serial += 1;
        let (abort, registration) = AbortHandle::new_pair();
        self.loads.record_send(&target, pass.now);
        self.loads.run_started(&target.run, 0);
        let call = self.calls.get_mut(key)?;
        call.attempts += 1;
        call.open.push(Attempt {
            serial,
            target: target.run.clone(),
            started_at: pass.now,
            abort,
        });
        Some(RewardStart {
            key: key.clone(),
            serial,
            target,
            hedge_after_ms,
            registration,
        })
    }

    fn pick<'a>(
        &self,
        call: &PendingCall,
        service: &'a ServiceId,
        pass: &RewardPass<'a>,
    ) -> Option<&'a Target> {
        let requirements = ItemRequirements {
            model: None,
            min_version: WeightVersion::new(0),
            own_work: pass.own_work,
            remote_work: pass.remote_work,
            tokens: 0,
            memory_tokens: None,
            prompt_tokens: 0,
            prompt_parts: &[],
            events_done: 0,
            software: AllowedSoftware::Any,
        };
        let is_open = |run: &RunKey| call.open.iter().any(|attempt| attempt.target == *run);
        let closed = || {
            pass.catalog
                .serving(service)
                .filter(|target| !is_open(&target.run))
        };
        let untried = closed().filter(|target| !call.failed_at.contains(&target.run));
        let picked = self.loads.pick(untried, requirements, pass.now);
        picked.or_else(|| self.loads.pick(closed(), requirements, pass.now))
    }

    fn hedge_after(&self, service: &ServiceId, pass: &RewardPass<'_>) -> DurationMs {
        let targets = pass.catalog.serving(service);
        let fastest_ms = targets
            .map(|target| self.loads.gap_ms(&target.run))
            .min_by(f64::total_cmp);
        let fastest_ms = fastest_ms.unwrap_or(self.options.load.initial_gap_ms as f64);
        let hedge_ms = fastest_ms * self.options.hedge_percent as f64 / 100.0;
        DurationMs::new(hedge_ms as u64).max(self.options.min_hedge_ms)
    }

    /// Records the end of an attempt. A call without a score and without another attempt in progress waits for its next
    /// attempt. Returns `None` for an attempt that was stopped before.
    pub fn attempt_ended(
        &mut self,
        key: &RewardKey,
        serial: u64,
        end: &RewardEnd,
        now: Timestamp,
    ) -> Option<EndedAttempt> {
        let options = self.options;
        let call = self.calls.get_mut(key)?;
        let index = call.open.iter().position(|attempt| attempt.serial == serial)?;
        let attempt = call.open.remove(index);
        let took = now.since(attempt.started_at);
        self.loads.run_ended(&attempt.target, 0);
        match end {
            RewardEnd::Scored(_) => {
                self.loads.clear_suspicion(&attempt.target);
                self.loads.record_event_gap(&attempt.target, took);
                let slower = call.open.iter().filter(|other| other.serial < serial);
                for other in slower {
                    self.loads.record_failure(&other.target, now);
                }
            }
            // Some calls fail at every target, so a failure says nothing about the target's health.
            RewardEnd::Failed { .. } => call.failed_at.push(attempt.target.clone()),
            RewardEnd::NotRun { .. } => self.loads.record_rejection(&attempt.target, now),
            RewardEnd::Unsent { .. } | RewardEnd::Lost { .. } => {
                self.loads.record_failure(&attempt.target, now);
            }
        }
        call.not_before = now.after(options.retry_delay(call.retries));
        call.retries += 1;
        Some(EndedAttempt {
            target: attempt.target,
            took,
            waited: attempt.started_at.since(call.ready_at),
            attempts: call.attempts,
        })
    }
}

impl RewardOptions {
    /// Delay before the next attempt of a call that was retried `retries` times.
    fn retry_delay(&self, retries: u32) -> DurationMs {
        let Some(doublings) = retries.checked_sub(1) else {
            return DurationMs::new(0);
        };
        let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let delay_ms = self.retry_delay_ms.get().saturating_mul(factor);
        DurationMs::new(delay_ms).min(self.max_retry_delay_ms)
    }
}
