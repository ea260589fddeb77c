//! Roll-out of a weight version over owned engines.

use indexmap::IndexMap;
use jm_route::Backoff;
use jm_types::{DurationMs, FencingNumber, TargetId, Timestamp, WeightVersion};
use rand::RngCore;

/// Settings of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct RolloutOptions {
    /// All engines should have the version after this time.
    pub goal: DurationMs,
    /// Expected time of one swap, during which the engine does not serve.
    pub swap_time: DurationMs,
    /// A swap without a result after this time is ordered again.
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

/// An engine and the version that it reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutEngine {
    /// The engine.
    pub target: TargetId,
    /// The version that it reports.
    pub version: WeightVersion,
}

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// The engine.
    pub target: TargetId,
    /// The version to load.
    pub version: WeightVersion,
    /// Engines that check it refuse the order when they have seen a larger one.
    pub fencing: FencingNumber,
}

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The engine serves again and reports this version.
    Reports(WeightVersion),
    /// The swap failed; the engine serves the version that it had.
    Failed,
    /// The engine has seen a larger fencing number: another control daemon is in charge.
    Fenced,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Engines that report the version.
    pub done: usize,
    /// Engines that are swapping.
    pub swapping: usize,
    /// All engines.
    pub engines: usize,
    /// Another control daemon is in charge; no more orders are given.
    pub fenced: bool,
    /// The time goal has passed before all engines were done.
    pub late: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Serves an older version; may be ordered from this time on.
    Old(Timestamp),
    /// Was ordered at this time and has not answered.
    Swapping(Timestamp),
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Engine {
    state: State,
    failures: u32,
}

/// Rolls one weight version out over the engines of one model, a few at a time. An engine counts as done only
/// when it reports the version itself.
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
    /// Starts a roll-out under a lease with the given fencing number.
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

    /// Replaces the list of engines with the versions that they report. Open orders of engines that are kept stay
    /// open; an engine that reports another version after it was done starts over.
    pub fn set_engines(&mut self, engines: Vec<RolloutEngine>, now: Timestamp) {
        let mut known = std::mem::take(&mut self.engines);
        for RolloutEngine { target, version } in engines {
            let mut engine = known.swap_remove(&target).unwrap_or(Engine {
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

    /// The orders to give now. `live_engines` is the number of engines that live service needs; at most the rest
    /// swaps at once, and no more than the time goal requires.
    pub fn next_orders(&mut self, live_engines: usize, now: Timestamp) -> Vec<WeightOrder> {
        if self.fenced {
            return Vec::new();
        }
        let room = self.parallel(live_engines, now).saturating_sub(self.swapping());
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
        let mut fresh = 0;
        let mut orders = Vec::new();
        for (target, engine) in &mut self.engines {
            let start = due(engine) && fresh < room;
            if start || overdue(engine) {
                fresh += usize::from(start);
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

    /// How many engines may swap at once: as few as the goal allows, but never so many that live service lacks
    /// engines. A third of the time left is kept for retries.
    fn parallel(&self, live_engines: usize, now: Timestamp) -> usize {
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

    /// Takes an engine's answer. A failed swap is ordered again after a backoff with jitter.
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

    /// How far the roll-out is.
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
