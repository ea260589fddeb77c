//! Engines in virtual time: speed, load, prefill and a cache of prompts in a shared memory.

use jm_batch::{
    AllowedSoftware, EngineLoads, ItemRequirements, LoadOptions, Placement, PromptPart, PromptPartId,
};
use jm_forward::Target;
use jm_types::{DurationMs, Timestamp, WeightVersion};

use super::{engine, model};

const PREFILL_TOKENS_PER_MS: u64 = 350;
const MEAN_EVENT_MS: f64 = 45.0;
/// Slowdown of a full engine. It differs from the slope that the product assumes.
const LOAD_SLOPE: f64 = 0.6;
const TOKENS_PER_EVENT: u64 = 20;

/// How items are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    ExpectedEnd,
    PromptIgnored,
    /// An item waits for the engine that last prefilled its prompt.
    PromptFollowed,
    SpeedIgnored,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Item {
    pub(crate) prompt: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) events: u64,
}

#[derive(Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) last_end_ms: u64,
    pub(crate) mean_end_ms: u64,
    pub(crate) prefilled_tokens: u64,
}

struct VirtualRun {
    item: Item,
    progress: f64,
    events: u64,
    last_event_at: u64,
    uncached_tokens: u64,
}

struct VirtualEngine {
    target: Target,
    speed: f64,
    memory_tokens: u64,
    runs: Vec<VirtualRun>,
    /// Ids and tokens of prompts, least recently used first.
    cache: Vec<(u64, u64)>,
    prefill_tokens_left: u64,
}

fn run_tokens(item: Item) -> u64 {
    item.prompt_tokens + item.events * TOKENS_PER_EVENT
}

impl VirtualEngine {
    /// Starts a run and returns the tokens that it prefills.
    fn start(&mut self, item: Item, now: u64) -> u64 {
        let held = self.cache.iter().position(|(prompt, _)| *prompt == item.prompt);
        let uncached_tokens = match held {
            Some(index) => {
                self.cache.remove(index);
                0
            }
            None => item.prompt_tokens,
        };
        self.cache.push((item.prompt, item.prompt_tokens));
        self.prefill_tokens_left += uncached_tokens;
        self.runs.push(VirtualRun {
            item,
            progress: 0.0,
            events: 0,
            last_event_at: now,
            uncached_tokens,
        });
        let running: u64 = self.runs.iter().map(|run| run_tokens(run.item)).sum();
        let cached = |cache: &[(u64, u64)]| cache.iter().map(|(_, tokens)| tokens).sum::<u64>();
        while self.cache.len() > 1 && cached(&self.cache) + running > self.memory_tokens {
            self.cache.remove(0);
        }
        uncached_tokens
    }

    /// Advances the engine by 1 ms and returns the items that ended.
    fn advance(&mut self, loads: &mut EngineLoads, now: u64, is_observed: bool) -> Vec<Item> {
        if self.prefill_tokens_left > 0 {
            self.prefill_tokens_left = self.prefill_tokens_left.saturating_sub(PREFILL_TOKENS_PER_MS);
            return Vec::new();
        }
        let others = self.runs.len().saturating_sub(1) as f64;
        let load = 1.0 + LOAD_SLOPE * others / self.target.slots as f64;
        let mut ended = Vec::new();
        for run in &mut self.runs {
            run.progress += self.speed / (MEAN_EVENT_MS * load);
            if (run.progress as u64) <= run.events {
                continue;
            }
            let gap = DurationMs::new(now - run.last_event_at);
            match run.events {
                _ if !is_observed => {}
                0 => loads.record_first_event(&self.target, run.uncached_tokens, gap),
                _ => loads.record_event(&self.target, gap),
            }
            run.events += 1;
            run.last_event_at = now;
        }
        self.runs.retain(|run| {
            let is_open = run.events < run.item.events;
            if !is_open {
                ended.push(run.item);
            }
            is_open
        });
        for item in &ended {
            loads.run_ended(&self.target.run, run_tokens(*item));
            loads.record_text(item.events * TOKENS_PER_EVENT, item.events);
        }
        ended
    }
}

/// A host and its engines.
pub(crate) struct VirtualFleet {
    rule: Rule,
    engines: Vec<VirtualEngine>,
    loads: EngineLoads,
    now: u64,
}

impl VirtualFleet {
    pub(crate) fn new(rule: Rule, speeds: &[f64], slots: usize, memory_tokens: u64) -> Self {
        let engine = |(index, speed): (usize, &f64)| VirtualEngine {
            target: engine(&format!("e{index}"), slots, 1),
            speed: *speed,
            memory_tokens,
            runs: Vec::new(),
            cache: Vec::new(),
            prefill_tokens_left: 0,
        };
        Self {
            rule,
            engines: speeds.iter().enumerate().map(engine).collect(),
            loads: EngineLoads::new(LoadOptions::default()),
            now: 0,
        }
    }

    /// Runs a step whose items come at once, in the given order.
    pub(crate) fn run(&mut self, items: &[Item]) -> Outcome {
        let (begun, mut ends) = (self.now, Vec::new());
        let mut waiting = items.to_vec();
        let mut outcome = Outcome::default();
        while ends.len() < items.len() {
            outcome.prefilled_tokens += self.start_waiting(&mut waiting);
            self.now += 1;
            let is_observed = self.rule != Rule::SpeedIgnored;
            for engine in &mut self.engines {
                let ended = engine.advance(&mut self.loads, self.now, is_observed);
                ends.extend(ended.iter().map(|_| self.now - begun));
            }
        }
        outcome.last_end_ms = ends.iter().max().copied().unwrap_or(0);
        outcome.mean_end_ms = ends.iter().sum::<u64>() / ends.len().max(1) as u64;
        outcome
    }

    fn start_waiting(&mut self, waiting: &mut Vec<Item>) -> u64 {
        let (model, now) = (model("m"), Timestamp::new(self.now));
        let targets: Vec<Target> = self.engines.iter().map(|engine| engine.target.clone()).collect();
        let memory_tokens = self.engines[0].memory_tokens;
        let mut placement = None;
        let mut prefilled = 0;
        waiting.retain(|item| {
            let parts = [PromptPart {
                id: PromptPartId::new(item.prompt),
                tokens: item.prompt_tokens,
            }];
            let requirements = ItemRequirements {
                model: Some(&model),
                min_version: WeightVersion::new(1),
                own_work: 1,
                remote_work: &[],
                tokens: run_tokens(*item),
                memory_tokens: Some(memory_tokens),
                prompt_tokens: item.prompt_tokens,
                prompt_parts: if self.rule == Rule::PromptIgnored {
                    &[]
                } else {
                    &parts
                },
                events_done: 0,
                software: AllowedSoftware::Any,
            };
            let last_holder = self.engines.iter().position(|engine| {
                let mut held = engine.cache.iter();
                self.rule == Rule::PromptFollowed && held.any(|(prompt, _)| *prompt == item.prompt)
            });
            let index = if let Some(index) = last_holder {
                if self.engines[index].runs.len() >= targets[index].slots {
                    return true;
                }
                self.loads.run_started(&targets[index].run, requirements.tokens);
                index
            } else {
                let placement = placement
                    .get_or_insert_with(|| Placement::new(&self.loads, targets.iter(), requirements, now));
                let Some(placed) = placement.start(&mut self.loads, requirements, now) else {
                    return true;
                };
                let index = targets.iter().position(|target| target == placed.target);
                index.expect("the engine is listed")
            };
            prefilled += self.engines[index].start(*item, self.now);
            false
        });
        prefilled
    }
}
