//! Selection of the engine for the next item.
//!
//! Load pattern: a step submits more items than the engines have slots, all at once. Some engines are several times
//! slower than others, some reject everything while they load weights, and some have stopped. An item goes to the
//! engine that would finish it first, see `expected_end.rs`. An engine never receives more items than it has slots, so that
//! the batch plan decides the order and not the engines' queues.

mod forecast;

use std::sync::Arc;

use indexmap::IndexMap;
use jm_forward::{ColdGate, RunKey, SendKind, Target};
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

use crate::{
    AllowedSoftware, EngineSpeed, PromptPart,
    engine_speed::LoadSlope,
    expected_end::{PrefillTime, TextLengths},
    held_prompts::HeldPrompts,
};

/// Parameters of the engine selection.
#[derive(Debug, Clone, Copy)]
pub struct LoadOptions {
    /// Assumed time between events of an engine that has not been observed yet.
    pub initial_gap_ms: u64,
    /// How long no item is sent to an engine after it rejected one.
    pub avoid_rejecting_ms: DurationMs,
    /// How long no item is sent to an engine after one of its runs failed.
    pub avoid_failed_ms: DurationMs,
    /// Slots of each engine that this host leaves to others.
    pub reserved_slots: usize,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            initial_gap_ms: 45,
            avoid_rejecting_ms: DurationMs::new(100),
            avoid_failed_ms: DurationMs::new(1_500),
            reserved_slots: 0,
        }
    }
}

/// Weight of the newest sample in the moving average of the time between events.
const GAP_SMOOTHING_FACTOR: f64 = 0.1;

/// Overcommit factor for an engine's memory. A run reaches its full size only at its end, and runs end at different
/// times.
const MEMORY_OVERCOMMIT: f64 = 1.3;

/// Memory assumed for cached prompts of an engine whose memory is not configured.
const DEFAULT_MEMORY_TOKENS: u64 = 32_000;

/// Number of standard errors by which two observed speeds have to differ for a move.
const MOVE_NOISE_FACTOR: f64 = 2.0;

#[derive(Debug, Clone)]
struct EngineLoad {
    running: usize,
    /// Expected total size of its runs at their ends, in tokens.
    tokens: u64,
    /// Capacity of its memory at the last start of an item.
    memory_tokens: Option<u64>,
    gap_ms: f64,
    speed: EngineSpeed,
    avoid_until: Timestamp,
    /// Set when the engine rejects an item or one of its runs fails or stalls, and cleared by its next event. A suspect
    /// engine receives one item at a time.
    is_suspect: bool,
    /// Versions reported by the engine's responses, which may be newer than those listed by the platform.
    versions: IndexMap<ModelId, WeightVersion>,
}

/// Load and observed speed of the engines, as measured by this host.
#[derive(Debug, Default)]
pub struct EngineLoads {
    options: LoadOptions,
    loads: IndexMap<RunKey, EngineLoad>,
    cold: Option<Arc<ColdGate>>,
    slope: LoadSlope,
    prefill: PrefillTime,
    lengths: TextLengths,
    held: HeldPrompts,
}

/// A batch that another host runs, as a competitor for engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteWork {
    /// Model of the batch; `None` if any engine of the service may generate its texts.
    pub model: Option<ModelId>,
    /// Minimum version of the weights.
    pub min_version: WeightVersion,
    /// Expected size of all its items, in tokens.
    pub tokens: u64,
}

/// Requirements of an item for an engine.
#[derive(Debug, Clone, Copy)]
pub struct ItemRequirements<'a> {
    /// Model that the engine must serve; `None` accepts any engine.
    pub model: Option<&'a ModelId>,
    /// Minimum version of the weights.
    pub min_version: WeightVersion,
    /// Total work of this host's open batches, in tokens.
    pub own_work: u64,
    /// Batches of other hosts that may use the same engines.
    pub remote_work: &'a [RemoteWork],
    /// Expected size of the item at its end, in tokens.
    pub tokens: u64,
    /// Capacity of an engine's memory in tokens; `None` if it is not configured.
    pub memory_tokens: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Parts at the start of the prompt that other items may share.
    pub prompt_parts: &'a [PromptPart],
    /// Events that earlier runs of the item generated.
    pub events_done: u64,
    /// Engines at which the item may run because of its text so far.
    pub software: AllowedSoftware<'a>,
}

impl ItemRequirements<'_> {
    fn estimated_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.prompt_tokens)
    }
}

impl EngineLoads {
    /// Creates a tracker without any observed engine.
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sends to cold engines only what `gate` allows.
    pub fn with_cold_gate(self, gate: Option<Arc<ColdGate>>) -> Self {
        Self { cold: gate, ..self }
    }

    /// The engine that would finish an item first, among those with a free slot and sufficiently new weights.
    pub fn pick<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let candidates = targets.filter(|target| self.can_take(target, requirements, now));
        candidates.min_by(|a, b| self.cost(a).total_cmp(&self.cost(b)))
    }

    /// Counts all targets, those with sufficiently new weights, and those that can accept the item now.
    pub(crate) fn count<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> (usize, usize, usize) {
        targets.fold((0, 0, 0), |(all, with_weights, with_capacity), target| {
            let has_weights = usize::from(self.has_weights(target, requirements));
            let has_capacity = usize::from(self.can_take(target, requirements, now));
            (all + 1, with_weights + has_weights, with_capacity + has_capacity)
        })
    }

    fn can_take(&self, target: &Target, requirements: ItemRequirements<'_>, now: Timestamp) -> bool {
        requirements.software.accepts_target(target)
            && self.has_slot(target, requirements, now)
            && self.has_memory(target, requirements)
    }

    /// Whether the engine has a free slot and sufficiently new weights, is not avoided, and may receive a request if it is
    /// cold.
    pub(crate) fn has_slot(
        &self,
        target: &Target,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> bool {
        let load = self.loads.get(&target.run);
        let running = load.map_or(0, |load| load.running);
        let window = match load.is_some_and(|load| load.is_suspect) {
            true => 1,
            false => (self.usable_slots(target) as f64 * self.share(target, requirements))
                .ceil()
                .max(1.0) as usize,
        };
        let is_avoided = load.is_some_and(|load| now < load.avoid_until);
        running < window
            && !is_avoided
            && self.has_weights(target, requirements)
            && self
                .cold
                .as_ref()
                .is_none_or(|gate| gate.may_send(target, SendKind::Item, now))
    }

    /// Records a request to the engine at the moment of the decision, so that one pass does not exceed what a cold engine
    /// tolerates.
    pub(crate) fn record_send(&self, target: &Target, now: Timestamp) {
        if let Some(gate) = &self.cold {
            gate.record_send(target, SendKind::Item, now);
        }
    }

    fn usable_slots(&self, target: &Target) -> usize {
        target.slots.saturating_sub(self.options.reserved_slots)
    }

    /// Whether the engine can hold the item without preempting another one. An idle engine accepts any item.
    pub(crate) fn has_memory(&self, target: &Target, requirements: ItemRequirements<'_>) -> bool {
        let Some(memory) = requirements.memory_tokens else {
            return true;
        };
        let Some(load) = self.loads.get(&target.run).filter(|load| load.running > 0) else {
            return true;
        };
        let usable = memory as f64 * self.share(target, requirements) * MEMORY_OVERCOMMIT;
        (load.tokens + requirements.tokens) as f64 <= usable
    }

    /// Fraction of an engine's slots and memory that this host may use. A batch of another host counts only if the
    /// engine has the weights for it.
    fn share(&self, target: &Target, requirements: ItemRequirements<'_>) -> f64 {
        let competing = requirements
            .remote_work
            .iter()
            .filter(|work| self.has_version(target, work.model.as_ref(), work.min_version));
        let remote_tokens: u64 = competing.map(|work| work.tokens).sum();
        requirements.own_work.max(1) as f64 / (requirements.own_work.max(1) + remote_tokens) as f64
    }

    fn has_weights(&self, target: &Target, requirements: ItemRequirements<'_>) -> bool {
        self.has_version(target, requirements.model, requirements.min_version)
    }

    fn has_version(&self, target: &Target, model: Option<&ModelId>, min_version: WeightVersion) -> bool {
        let Some(model) = model else { return true };
        match self.version(target, model) {
            Some(version) => version >= min_version,
            // An engine without listed models is accepted because its response names the weights.
            None => target.models.is_empty(),
        }
    }

    /// The newest version of a model on an engine, from the target list or from the engine's responses.
    pub fn version(&self, target: &Target, model: &ModelId) -> Option<WeightVersion> {
        let listed = target.models.get(model).copied();
        let reported = self
            .loads
            .get(&target.run)
            .and_then(|load| load.versions.get(model).copied());
        listed.max(reported)
    }

    /// Time that an item takes on the engine relative to other engines.
    pub(crate) fn cost(&self, target: &Target) -> f64 {
        let utilization = self.running(&target.run) as f64 / target.slots.max(1) as f64;
        self.gap_ms(&target.run) * (1.0 + utilization)
    }

    /// Average time between events of an engine.
    pub(crate) fn gap_ms(&self, run: &RunKey) -> f64 {
        let initial_ms = self.options.initial_gap_ms as f64;
        self.loads.get(run).map_or(initial_ms, |load| load.gap_ms)
    }

    /// Number of items that this host runs on an engine.
    pub fn running(&self, run: &RunKey) -> usize {
        self.loads.get(run).map_or(0, |load| load.running)
    }

    /// Records that an item of the given size started on the engine.
    pub fn run_started(&mut self, run: &RunKey, tokens: u64) {
        let load = self.load(run);
        load.running += 1;
        load.tokens += tokens;
    }

    /// Releases the capacity of a run, whatever its outcome.
    pub fn run_ended(&mut self, run: &RunKey, tokens: u64) {
        let load = self.load(run);
        load.running = load.running.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(tokens);
    }

    /// Updates the average time between events; `gap` is the time since the previous event of the run.
    pub(crate) fn record_event_gap(&mut self, run: &RunKey, gap: DurationMs) {
        let load = self.load(run);
        load.gap_ms += GAP_SMOOTHING_FACTOR * (gap.get() as f64 - load.gap_ms);
    }

    /// Whether the engine failed or rejected the last item that it ended.
    pub(crate) fn is_suspect(&self, run: &RunKey) -> bool {
        self.loads.get(run).is_some_and(|load| load.is_suspect)
    }

    /// Ends the restriction of the engine to one item at a time, because it sent an event.
    pub(crate) fn clear_suspicion(&mut self, run: &RunKey) {
        self.load(run).is_suspect = false;
    }

    /// Records the version that the engine reported in a response. A new version means that the engine has loaded
    /// weights, which removes its cached prompts.
    pub fn record_version(&mut self, run: &RunKey, model: &ModelId, version: WeightVersion, now: Timestamp) {
        let previous = self.load(run).versions.insert(model.clone(), version);
        match previous.is_none_or(|previous| previous == version) {
            true => self.held.version_confirmed(run, now),
            false => self.held.version_changed(run, now),
        }
    }

    /// Records that the engine rejected an item. An engine that loads weights rejects all items, so it is probed with
    /// one item at a time afterwards.
    pub(crate) fn record_rejection(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_rejecting_ms);
        let load = self.load(run);
        load.avoid_until = load.avoid_until.max(until);
        load.is_suspect = true;
    }

    /// Records that a run on the engine failed or stalled.
    pub(crate) fn record_failure(&mut self, run: &RunKey, now: Timestamp) {
        let until = now.after(self.options.avoid_failed_ms);
        let load = self.load(run);
        load.avoid_until = load.avoid_until.max(until);
        load.is_suspect = true;
    }

    /// Removes engines that are no longer listed and run nothing.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&RunKey) -> bool) {
        self.loads.retain(|run, load| load.running > 0 || is_listed(run));
        self.held.retain(|run| is_listed(run));
    }

    fn load(&mut self, run: &RunKey) -> &mut EngineLoad {
        let gap_ms = self.options.initial_gap_ms as f64;
        self.loads.entry(run.clone()).or_insert_with(|| EngineLoad {
            running: 0,
            tokens: 0,
            memory_tokens: None,
            gap_ms,
            speed: EngineSpeed::default(),
            avoid_until: Timestamp::new(0),
            is_suspect: false,
            versions: IndexMap::new(),
        })
    }
}
