//! What the observations of the engines say about the end of an item.

use jm_forward::{RunKey, Target};
use jm_types::{DurationMs, Timestamp};

use super::{DEFAULT_MEMORY_TOKENS, EngineLoads, ItemRequirements, MOVE_NOISE_FACTOR};
use crate::{
    ObservedSpeed, PromptPart,
    engine_speed::{SpeedScale, is_faster, load_beside},
    expected_end::{ExpectedRun, move_saving},
    held_prompts::Prefix,
    placement::Placed,
};

/// A deviation of the time to the first event beyond this is caused by something else than the prefill.
const MAX_PREFILL_SAMPLE_MS: f64 = 50.0;

impl EngineLoads {
    /// Records the time between two events of a run on the engine.
    pub fn record_event(&mut self, target: &Target, gap: DurationMs) {
        let load = self.load_beside_run(&target.run, target.slots);
        let mut slope = self.slope;
        self.load(&target.run).speed.record(gap, load, &mut slope);
        self.slope = slope;
    }

    /// Records the time from the start of a run to its first event. `uncached_tokens` had to be prefilled.
    pub fn record_first_event(&mut self, target: &Target, uncached_tokens: u64, took: DurationMs) {
        let load = self.load_beside_run(&target.run, target.slots);
        if let Some(base_ms) = self.observed_base_ms(&target.run) {
            let prefill_ms = took.get() as f64 - base_ms * self.slope.factor(load);
            let prefill_ms = prefill_ms.clamp(-MAX_PREFILL_SAMPLE_MS, MAX_PREFILL_SAMPLE_MS);
            self.prefill.record(uncached_tokens, prefill_ms);
        }
    }

    /// Records a complete text, so that later estimates in tokens can be compared with events.
    pub fn record_text(&mut self, estimated_tokens: u64, events: u64) {
        self.lengths.record(estimated_tokens, events);
    }

    /// The observed speeds, for the next owner of this host's batches.
    pub fn speeds(&self) -> Vec<ObservedSpeed> {
        let observed = self
            .loads
            .iter()
            .filter(|(_, load)| load.speed.gap_ms().is_some());
        let speeds = observed.map(|(run, load)| ObservedSpeed {
            target: run.id.clone(),
            started_unix_ms: run.started_unix_ms,
            speed: load.speed,
        });
        speeds.collect()
    }

    /// Adopts the speeds that an earlier owner observed, except for engines that this host has observed itself.
    pub fn adopt_speeds(&mut self, speeds: Vec<ObservedSpeed>) {
        for observed in speeds {
            let run = RunKey {
                id: observed.target,
                started_unix_ms: observed.started_unix_ms,
            };
            if self.observed_base_ms(&run).is_none() && observed.speed.is_valid() {
                self.load(&run).speed = observed.speed;
            }
        }
    }

    /// The base times of the engines that one pass compares.
    pub(crate) fn scale<'a>(&self, targets: impl Iterator<Item = &'a Target>) -> SpeedScale {
        let observed = targets.filter_map(|target| self.observed_base_ms(&target.run));
        SpeedScale::new(observed, self.options.initial_gap_ms as f64)
    }

    /// Time between events that another item would have on the engine.
    pub(crate) fn event_ms(&self, target: &Target, scale: &SpeedScale) -> f64 {
        let base_ms = scale.base_ms(self.observed_base_ms(&target.run));
        base_ms
            * self
                .slope
                .factor(load_beside(self.running(&target.run), target.slots))
    }

    /// Time until the item would end on an engine that has the given part of its prompt cached.
    pub(crate) fn expected_end_ms(
        &self,
        target: &Target,
        requirements: ItemRequirements<'_>,
        scale: &SpeedScale,
        cached_tokens: u64,
    ) -> f64 {
        let expected = ExpectedRun {
            events_left: self.events_left(requirements),
            event_ms: self.event_ms(target, scale),
            uncached_tokens: requirements.prompt_tokens.saturating_sub(cached_tokens) as f64
                + self.lengths.tokens_of(requirements.events_done),
            prefill_ms_per_token: self.prefill.ms_per_token(),
            other_runs: self.running(&target.run),
        };
        expected.end_ms()
    }

    /// The time that a move of a running item from an engine with `slots` slots saves; `None` if the move is not worthwhile.
    /// An engine that was not observed is never faster.
    pub fn move_saving(
        &self,
        current: &RunKey,
        slots: usize,
        placed: &Placed<'_>,
        requirements: ItemRequirements<'_>,
    ) -> Option<DurationMs> {
        let target = placed.target;
        let current_ms = self.observed_base_ms(current)?;
        let other_ms = self.observed_base_ms(&target.run)?;
        // A difference of loads alone justifies no move, whether the slope is estimated too high or too low.
        let gap_ms = |run: &RunKey| self.loads.get(run)?.speed.gap_ms();
        if !is_faster(other_ms, current_ms) || !is_faster(gap_ms(&target.run)?, gap_ms(current)?) {
            return None;
        }
        let load = self.load_beside_run(current, slots);
        let stay_ms = self.events_left(requirements) * current_ms * self.slope.factor(load);
        let scale = SpeedScale::new([current_ms, other_ms].into_iter(), other_ms);
        let move_ms = self.expected_end_ms(target, requirements, &scale, placed.cached_tokens);
        let noise = self.noise(current) + self.noise(&target.run);
        move_saving(stay_ms, move_ms, noise * MOVE_NOISE_FACTOR)
    }

    /// Number of tokens at the start of the prompt that the engine has cached.
    pub(crate) fn cached_tokens(&self, run: &RunKey, prompt: &[Prefix], now: Timestamp) -> u64 {
        self.held.cached_tokens(run, prompt, now)
    }

    /// The engines that have most of the prompt cached.
    pub(crate) fn holders(&self, prompt: &[Prefix]) -> Vec<&RunKey> {
        self.held.holders(prompt)
    }

    /// Time by which a cached prompt can end an item earlier at most.
    pub(crate) fn max_prompt_saving_ms(&self, requirements: ItemRequirements<'_>) -> f64 {
        2.0 * requirements.prompt_tokens as f64 * self.prefill.ms_per_token()
    }

    /// Records that an item is sent to the engine, which then has its prompt cached.
    pub(crate) fn start_item(&mut self, run: &RunKey, requirements: ItemRequirements<'_>, now: Timestamp) {
        let running_tokens = self.loads.get(run).map_or(0, |load| load.tokens);
        self.run_started(run, requirements.tokens);
        self.load(run).memory_tokens = requirements.memory_tokens;
        let memory_tokens = requirements.memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS);
        let capacity_tokens = memory_tokens.saturating_sub(running_tokens);
        // The prompt of a running item cannot be evicted.
        let capacity_tokens = capacity_tokens.max(requirements.prompt_tokens);
        self.held
            .record(run, requirements.prompt_parts, capacity_tokens, now);
    }

    /// Records that the engine did not run an item, whose prompt it had cached up to `cached_tokens`. If the expected
    /// sizes of its runs exceed its memory, it was full, and its cached prompts made room for them.
    pub(crate) fn prompt_not_run(
        &mut self,
        run: &RunKey,
        parts: &[PromptPart],
        cached_tokens: u64,
        item_tokens: u64,
    ) {
        let load = self.loads.get(run);
        let is_full = load.is_some_and(|load| {
            let memory_tokens = load.memory_tokens.unwrap_or(u64::MAX);
            load.tokens.saturating_add(item_tokens) > memory_tokens
        });
        match is_full {
            true => self.held.clear(run),
            false => self.held.remove_uncached(run, parts, cached_tokens),
        }
    }

    /// Records that the engine cannot be reached. It may have restarted, which removes its cached prompts.
    pub(crate) fn prompts_lost(&mut self, run: &RunKey) {
        self.held.clear(run);
    }

    /// Expected number of events that the item still has to generate.
    pub(crate) fn events_left(&self, requirements: ItemRequirements<'_>) -> f64 {
        self.lengths
            .events_left(requirements.estimated_tokens(), requirements.events_done)
    }

    /// Load of an engine beside one of its runs.
    fn load_beside_run(&self, run: &RunKey, slots: usize) -> f64 {
        load_beside(self.running(run).saturating_sub(1), slots)
    }

    fn observed_base_ms(&self, run: &RunKey) -> Option<f64> {
        self.loads.get(run)?.speed.base_ms(&self.slope)
    }

    fn noise(&self, run: &RunKey) -> f64 {
        self.loads.get(run).map_or(0.0, |load| load.speed.noise())
    }
}
