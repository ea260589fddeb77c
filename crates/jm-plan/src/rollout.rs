//! Roll-out of a weight version to the engines of one model.

use indexmap::IndexMap;
use jm_route::Backoff;
use jm_types::{DurationMs, FencingNumber, TargetId, Timestamp, WeightVersion};
use rand::RngCore;

/// Settings of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct RolloutOptions {
    /// Time after the start within which all engines should report the version.
    pub goal: DurationMs,
    /// Expected duration of one swap, during which the engine does not serve.
    pub swap_time: DurationMs,
    /// Time after which a swap without a result is ordered again.
    pub swap_timeout: DurationMs,
    /// Delay before a failed swap is ordered again.
    pub backoff: Backoff,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self {
            goal: DurationMs::new(11_000),
            swap_time: DurationMs::new(1_000),
            swap_timeout: DurationMs::new(4_000),
            backoff: Backoff {
                base: DurationMs::new(200),
                cap: DurationMs::new(5_000),
            },
        }
    }
}

/// An engine with the version that it currently reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutEngine {
    /// Target id of the engine.
    pub target: TargetId,
    /// Reported version.
    pub version: WeightVersion,
}

/// An order for one engine to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// Target id of the engine.
    pub target: TargetId,
    /// Version to load.
    pub version: WeightVersion,
    /// Fencing number of the lease. Engines that check it refuse the order if they have received a larger one.
    pub fencing: FencingNumber,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The engine serves again and reports this version.
    Reports(WeightVersion),
    /// The swap failed. The engine still serves its previous version.
    Failed,
    /// The engine has received a larger fencing number, so another control daemon holds the lease.
    Fenced,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Number of engines that report the version.
    pub done: usize,
    /// Number of engines with an open order.
    pub swapping: usize,
    /// Number of all engines of the roll-out.
    pub engines: usize,
    /// Whether another control daemon holds the lease. No more orders are sent then.
    pub fenced: bool,
    /// Whether the time goal has passed before all engines were done.
    pub late: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Serves an older version and may be ordered from this time on.
    Old(Timestamp),
    /// Was ordered at this time and has not responded.
    Swapping(Timestamp),
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Engine {
    state: State,
    failures: u32,
}

/// Rolls one weight version out to the engines of one model, a few at a time. An engine counts as done only after it
/// reports the version itself.
#[derive(Debug)]
pub struct Rollout {
    options: RolloutOptions,
    version: WeightVersion,
    fencing: FencingNumber,
    started: Timestamp,
    engines: IndexMap<TargetId, Engine>,
    fenced: bool,
}

impl Rollout {
    /// Starts a roll-out of `version` at `now`, under a lease with the given fencing number.
    pub fn new(
        version: WeightVersion,
        fencing: FencingNumber,
        engines: Vec<RolloutEngine>,
        now: Timestamp,
        options: RolloutOptions,
    ) -> Self {
        let mut rollout = Self {
            options,
            version,
            fencing,
            started: now,
            engines: IndexMap::new(),
            fenced: false,
        };
        rollout.set_engines(engines, now);
        rollout
    }

    /// Replaces the list of engines and their reported versions. Open orders of engines that are still listed stay
    /// open. An engine that reports another version after it was done is ordered again.
    pub fn set_engines(&mut self, engines: Vec<RolloutEngine>, now: Timestamp) {
        let mut previous = std::mem::take(&mut self.engines);
        for RolloutEngine { target, version } in engines {
            let mut engine = previous.swap_remove(&target).unwrap_or(Engine {
                state: State::Old(now),
                failures: 0,
            });
            engine.state = match (version == self.version, engine.state) {
                (true, _) => State::Done,
                (false, State::Done) => State::Old(now),
                (false, state) => state,
            };
            self.engines.insert(target, engine);
        }
    }

    /// Returns the orders to send now. `live_engines` is the number of engines that live service needs. At most the
    /// other engines swap concurrently, and no more of them than the time goal requires.
    pub fn next_orders(&mut self, live_engines: usize, now: Timestamp) -> Vec<WeightOrder> {
        if self.fenced {
            return Vec::new();
        }
        let available = self
            .max_concurrent(live_engines, now)
            .saturating_sub(self.swapping());
        let due = |engine: &Engine| match engine.state {
            State::Old(from) => from <= now,
            State::Swapping(_) | State::Done => false,
        };
        let (version, fencing) = (self.version, self.fencing);
        let timeout = self.options.swap_timeout;
        let overdue = |engine: &Engine| match engine.state {
            State::Swapping(since) => now.since(since) >= timeout,
            State::Old(_) | State::Done => false,
        };
        let mut started = 0;
        let mut orders = Vec::new();
        for (target, engine) in &mut self.engines {
            let start = due(engine) && started < available;
            if start || overdue(engine) {
                started += usize::from(start);
                engine.state = State::Swapping(now);
                let target = target.clone();
                orders.push(WeightOrder {
                    target,
                    version,
                    fencing,
                });
            }
        }
        orders
    }

    fn swapping(&self) -> usize {
        let states = self.engines.values().map(|engine| engine.state);
        states.filter(|state| matches!(state, State::Swapping(_))).count()
    }

    /// Maximum number of engines that may swap concurrently: as few as the time goal permits, and never so many that
    /// live service lacks engines. A third of the remaining time is reserved for retries.
    fn max_concurrent(&self, live_engines: usize, now: Timestamp) -> usize {
        let spare = self.engines.len().saturating_sub(live_engines);
        let open = self
            .engines
            .values()
            .filter(|engine| engine.state != State::Done)
            .count() as u64;
        let left = self
            .options
            .goal
            .get()
            .saturating_sub(now.since(self.started).get())
            * 2
            / 3;
        let rounds = (left / self.options.swap_time.get().max(1)).max(1);
        (open.div_ceil(rounds) as usize).max(1).min(spare)
    }

    /// Records an engine's response. A failed swap is ordered again after a backoff with jitter. Responses of engines
    /// that are no longer listed are ignored.
    pub fn on_result(
        &mut self,
        target: &TargetId,
        result: SwapResult,
        now: Timestamp,
        random: &mut impl RngCore,
    ) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        match result {
            SwapResult::Reports(version) if version == self.version => {
                *engine = Engine {
                    state: State::Done,
                    failures: 0,
                };
            }
            SwapResult::Reports(_) | SwapResult::Failed => {
                let delay = self.options.backoff.delay(engine.failures, random);
                engine.failures += 1;
                engine.state = State::Old(now.after(delay));
            }
            SwapResult::Fenced => self.fenced = true,
        }
    }

    /// Progress of the roll-out at `now`.
    pub fn status(&self, now: Timestamp) -> RolloutStatus {
        let done = self
            .engines
            .values()
            .filter(|engine| engine.state == State::Done)
            .count();
        RolloutStatus {
            done,
            swapping: self.swapping(),
            engines: self.engines.len(),
            fenced: self.fenced,
            late: done < self.engines.len() && now.since(self.started) > self.options.goal,
        }
    }
}
