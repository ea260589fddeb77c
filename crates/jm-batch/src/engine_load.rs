//! Which engine gets the next item.
//!
//! Load pattern: a step brings more items than the engines have slots, all at once; some engines are several times
//! slower than others, some are loading weights and reject all, and some have stopped. Work goes to the engine that would finish it
//! first, and never beyond its slots, so that the order of the items is decided here and not in the engines' queues.

use indexmap::IndexMap;
use jm_forward::{RunKey, Target};
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

/// Settings of the choice of engines.
#[derive(Debug, Clone, Copy)]
pub struct LoadOptions {
    /// Pause between events that is assumed of an engine that was not seen yet.
    pub initial_gap_ms: u64,
    /// How long an engine that rejected an item is left alone.
    pub avoid_rejecting_ms: DurationMs,
    /// How long an engine that broke a run is left alone.
    pub avoid_failed_ms: DurationMs,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            initial_gap_ms: 45,
            avoid_rejecting_ms: DurationMs::new(100),
            avoid_failed_ms: DurationMs::new(1_500),
        }
    }
}

/// An item moves to an engine whose pause between events is below this part of its engine's.
const MOVE_GAP_RATIO: f64 = 0.6;

/// Weight of the newest pause in the running pause between events.
const GAP_SMOOTHING_FACTOR: f64 = 0.1;

/// Factor on an engine's memory: runs hold their full size only at their ends, and they end at different times.
const MEMORY_OVERCOMMIT: f64 = 1.3;

#[derive(Debug, Clone)]
struct EngineLoad {
    running: usize,
    /// Tokens that its runs are expected to hold at their ends.
    tokens: u64,
    gap_ms: f64,
    avoid_until: Timestamp,
    /// It rejected an item, or a run broke or stood still, and no event has come since. Such an engine gets one item at a
    /// time.
    is_suspect: bool,
    /// Weights that its answers named; newer than what the platform lists.
    versions: IndexMap<ModelId, WeightVersion>,
}

/// What this host has seen of engines.
#[derive(Debug, Default)]
pub struct EngineLoads {
    options: LoadOptions,
    loads: IndexMap<RunKey, EngineLoad>,
}

/// Batches that another host runs for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RemoteWork {
    pub(crate) model: Option<ModelId>,
    pub(crate) min_version: WeightVersion,
    pub(crate) tokens: u64,
}

/// What an item needs of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ItemRequirements<'a> {
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) min_version: WeightVersion,
    /// Work of this host, in tokens.
    pub(crate) own_work: u64,
    /// Work of other hosts.
    pub(crate) remote_work: &'a [RemoteWork],
    /// Tokens that the item is expected to hold at its end.
    pub(crate) tokens: u64,
    /// Tokens that an engine's memory holds.
    pub(crate) memory_tokens: Option<u64>,
}

impl EngineLoads {
    /// Nothing seen yet.
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            loads: IndexMap::new(),
        }
    }

    /// The engine that would finish an item first, among those with a free slot and weights that are new enough.
    pub(crate) fn pick<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let able = targets.filter(|target| self.can_take(target, requirements, now));
        able.min_by(|a, b| self.cost(a).total_cmp(&self.cost(b)))
    }

    /// How many of the targets have weights that are new enough, and how many of these would take the item now.
    pub(crate) fn count<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> (usize, usize, usize) {
        targets.fold((0, 0, 0), |(all, with_weights, with_capacity), target| {
            let has_weights = usize::from(self.has_weights(target, requirements));
            let has_room = usize::from(self.can_take(target, requirements, now));
            (all + 1, with_weights + has_weights, with_capacity + has_room)
        })
    }

    fn can_take(&self, target: &Target, requirements: ItemRequirements<'_>, now: Timestamp) -> bool {
        let load = self.loads.get(&target.run);
        let running = load.map_or(0, |load| load.running);
        let window = match load.is_some_and(|load| load.is_suspect) {
            true => 1,
            false => (target.slots as f64 * self.share(target, requirements))
                .ceil()
                .max(1.0) as usize,
        };
        let is_avoided = load.is_some_and(|load| now < load.avoid_until);
        running < window
            && !is_avoided
            && self.has_memory(target, requirements)
            && self.has_weights(target, requirements)
    }

    /// Whether the engine would hold the item without preempting another. An engine that runs nothing takes any item.
    fn has_memory(&self, target: &Target, requirements: ItemRequirements<'_>) -> bool {
        let Some(memory) = requirements.memory_tokens else {
            return true;
        };
        let Some(load) = self.loads.get(&target.run).filter(|load| load.running > 0) else {
            return true;
        };
        let usable = memory as f64 * self.share(target, requirements) * MEMORY_OVERCOMMIT;
        (load.tokens + requirements.tokens) as f64 <= usable
    }

    /// Part of an engine's slots and memory for this host. Work of other hosts only counts where the engine has the
    /// weights for it.
    fn share(&self, target: &Target, requirements: ItemRequirements<'_>) -> f64 {
        let competing = requirements
            .remote_work
            .iter()
            .filter(|work| self.has_version(target, work.model.as_ref(), work.min_version));
        let remote_work: u64 = competing.map(|work| work.tokens).sum();
        requirements.own_work.max(1) as f64 / (requirements.own_work.max(1) + remote_work) as f64
    }

    fn has_weights(&self, target: &Target, requirements: ItemRequirements<'_>) -> bool {
        self.has_version(target, requirements.model, requirements.min_version)
    }

    fn has_version(&self, target: &Target, model: Option<&ModelId>, min_version: WeightVersion) -> bool {
        let Some(model) = model else { return true };
        match self.version(target, model) {
            Some(version) => version >= min_version,
            // An engine that lists no model says nothing; its answer names the weights.
            None => target.models.is_empty(),
        }
    }

    /// The newest weights of a model that are known to be on an engine.
    pub fn version(&self, target: &Target, model: &ModelId) -> Option<WeightVersion> {
        let listed = target.models.get(model).copied();
        let seen = self
            .loads
            .get(&target.run)
            .and_then(|load| load.versions.get(model).copied());
        listed.max(seen)
    }

    fn cost(&self, target: &Target) -> f64 {
        let initial_ms = self.options.initial_gap_ms as f64;
        let (running, gap_ms) = match self.loads.get(&target.run) {
            Some(load) => (load.running, load.gap_ms),
            None => (0, initial_ms),
        };
        let filled = running as f64 / target.slots.max(1) as f64;
        gap_ms * (1.0 + filled)
    }

    /// Items of this host that run on an engine.
    pub fn running(&self, run: &RunKey) -> usize {
        self.loads.get(run).map_or(0, |load| load.running)
    }

    /// A run starts.
    pub(crate) fn run_started(&mut self, run: &RunKey, tokens: u64) {
        let load = self.load(run);
        load.running += 1;
        load.tokens += tokens;
    }

    /// A run ended, however.
    pub(crate) fn run_ended(&mut self, run: &RunKey, tokens: u64) {
        let load = self.load(run);
        load.running = load.running.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(tokens);
    }

    /// An event came `gap` after the one before it.
    pub(crate) fn record_event_gap(&mut self, run: &RunKey, gap: DurationMs) {
        let load = self.load(run);
        load.gap_ms += GAP_SMOOTHING_FACTOR * (gap.get() as f64 - load.gap_ms);
    }

    /// An engine brought an event.
    pub(crate) fn clear_suspicion(&mut self, run: &RunKey) {
        self.load(run).is_suspect = false;
    }

    /// An engine on which an item would go on so much faster that moving it is worth a second reading of its prompt.
    pub(crate) fn pick_faster<'a>(
        &self,
        current: &RunKey,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let current_gap_ms = self.loads.get(current)?.gap_ms;
        let others = targets.filter(|target| target.run != *current);
        let best = self.pick(others, requirements, now)?;
        let best_gap_ms = self.loads.get(&best.run).map(|load| load.gap_ms);
        (best_gap_ms? < current_gap_ms * MOVE_GAP_RATIO).then_some(best)
    }

    /// An answer named the engine's weights.
    pub(crate) fn record_version(&mut self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        self.load(run).versions.insert(model.clone(), version);
    }

    /// The engine rejected an item. While it loads weights it rejects all, so the next item to it is a question.
    pub(crate) fn record_rejection(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_rejecting_ms);
        let load = self.load(run);
        load.avoid_until = load.avoid_until.max(until);
        load.is_suspect = true;
    }

    /// A run broke or stood still.
    pub(crate) fn record_failure(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_failed_ms);
        let load = self.load(run);
        load.avoid_until = load.avoid_until.max(until);
        load.is_suspect = true;
    }

    /// Forgets engines that are no longer listed and run nothing.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&RunKey) -> bool) {
        self.loads.retain(|run, load| load.running > 0 || is_listed(run));
    }

    fn load(&mut self, run: &RunKey) -> &mut EngineLoad {
        let gap_ms = self.options.initial_gap_ms as f64;
        self.loads.entry(run.clone()).or_insert_with(|| EngineLoad {
            running: 0,
            tokens: 0,
            gap_ms,
            avoid_until: Timestamp::new(0),
            is_suspect: false,
            versions: IndexMap::new(),
        })
    }
}
