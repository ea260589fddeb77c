//! Placement of many items on many engines in one scheduling pass.
//!
//! Load pattern: a step of thousands of items is placed on hundreds of engines, and each run that ends triggers a pass.
//! Comparing all engines for each item makes a pass grow with the product of both, and the host that owns the step then
//! spends its processor on scheduling instead of on events. A pass therefore compares the engines once and keeps them in
//! a heap by the time between events, so that each placed item costs a logarithmic step. The engines that hold the item's
//! prompt are few; they are looked up and compared with the top of the heap by the expected end of the item.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use indexmap::IndexMap;
use jm_forward::{RunKey, Target};
use jm_types::{ServiceId, SoftwareVersion, Timestamp};

use crate::{
    AllowedSoftware, EngineLoads, ItemRequirements,
    engine_speed::SpeedScale,
    held_prompts::{Prefix, prefixes},
};

/// Why an item is placed on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// The engine has the shortest time between events.
    Fastest,
    /// The engine has more of the prompt cached than the fastest one and ends the item earlier.
    CachedPrompt,
}

/// An item on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placed<'a> {
    /// The engine.
    pub target: &'a Target,
    /// Why the engine was selected.
    pub reason: PlacementReason,
    /// Prompt tokens that the engine probably has cached.
    pub cached_tokens: u64,
}

/// An engine that may take another item. Engines with equal costs are ordered as they are listed.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    /// Time between events that a further item would have, in milliseconds. It is outdated once an item was placed on the
    /// engine because of its prompt.
    cost: f64,
    index: usize,
    target: &'a Target,
}

impl Candidate<'_> {
    fn key(&self) -> (f64, usize) {
        (self.cost, self.index)
    }
}

impl Ord for Candidate<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let (a, b) = (self.key(), other.key());
        a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
    }
}

impl PartialOrd for Candidate<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate<'_> {}

type Candidates<'a> = BinaryHeap<Reverse<Candidate<'a>>>;

/// The engines that can take items with the same model and weights, the one that finishes an item first on top.
pub struct Placement<'a> {
    /// Engines that may take an item, by service and software version. Versions whose engines all lack a slot are included.
    candidates: IndexMap<(&'a ServiceId, Option<&'a SoftwareVersion>), Candidates<'a>>,
    targets: IndexMap<&'a RunKey, &'a Target>,
    scale: SpeedScale,
}

impl<'a> Placement<'a> {
    /// Compares the engines once. `requirements` are those of any of the items, whose sizes may differ.
    pub fn new(
        loads: &EngineLoads,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Self {
        let mut candidates: IndexMap<_, Candidates<'a>> = IndexMap::new();
        let open = targets.filter(|target| {
            candidates.entry(software_of(target)).or_default();
            loads.has_slot(target, requirements, now)
        });
        let targets: IndexMap<&RunKey, &Target> = open.map(|target| (&target.run, target)).collect();
        let scale = loads.scale(targets.values().copied());
        for (index, target) in targets.values().copied().enumerate() {
            let cost = loads.event_ms(target, &scale);
            let candidate = Candidate { cost, index, target };
            let same_software = candidates.entry(software_of(target)).or_default();
            same_software.push(Reverse(candidate));
        }
        Self {
            candidates,
            targets,
            scale,
        }
    }

    /// Whether engines that may run the item serve, with or without room for it.
    pub(crate) fn serves(&self, software: AllowedSoftware<'_>) -> bool {
        let mut served = self.candidates.keys();
        served.any(|(service, version)| software.accepts(service, *version))
    }

    /// Starts an item on the engine that finishes it first. `None` if no engine has a slot and memory for it.
    pub fn start(
        &mut self,
        loads: &mut EngineLoads,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<Placed<'a>> {
        let placed = self.choose(loads, requirements, now)?;
        loads.record_send(placed.target, now);
        loads.start_item(&placed.target.run, requirements, now);
        Some(placed)
    }

    /// The engine that finishes the item first, without starting it there. If there is none for an item that is bound to one
    /// version, that version gets no other item, so that many waiting texts do not compare its engines again and again.
    pub(crate) fn choose(
        &mut self,
        loads: &EngineLoads,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<Placed<'a>> {
        let Some(target) = self.fastest(loads, requirements, now) else {
            self.close(requirements.software);
            return None;
        };
        let prompt: Vec<Prefix> = prefixes(requirements.prompt_parts).collect();
        let cached_tokens = loads.cached_tokens(&target.run, &prompt, now);
        let fastest = Placed {
            target,
            reason: PlacementReason::Fastest,
            cached_tokens: cached_tokens.min(requirements.prompt_tokens),
        };
        let holder = self.best_holder(loads, requirements, &prompt, fastest, now);
        Some(holder.unwrap_or(fastest))
    }

    fn close(&mut self, software: AllowedSoftware<'_>) {
        if software == AllowedSoftware::Any {
            return;
        }
        for ((service, version), candidates) in &mut self.candidates {
            if software.accepts(service, *version) {
                candidates.clear();
            }
        }
    }

    /// The engine with the shortest time between events among those that may run the item and have a slot and memory for it.
    fn fastest(
        &mut self,
        loads: &EngineLoads,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let scale = &self.scale;
        let allowed = self
            .candidates
            .iter_mut()
            .filter(|((service, version), _)| requirements.software.accepts(service, *version));
        let fastest =
            allowed.filter_map(|(_, candidates)| first(candidates, loads, scale, requirements, now));
        fastest.min().map(|candidate| candidate.target)
    }

    /// The holder of the prompt that finishes the item before `fastest`. Only engines with a free slot are compared, so an
    /// item never waits for a cached prompt.
    fn best_holder(
        &self,
        loads: &EngineLoads,
        requirements: ItemRequirements<'_>,
        prompt: &[Prefix],
        fastest: Placed<'a>,
        now: Timestamp,
    ) -> Option<Placed<'a>> {
        if fastest.cached_tokens >= requirements.prompt_tokens {
            return None;
        }
        let end_ms = |placed: &Placed<'_>| {
            loads.expected_end_ms(placed.target, requirements, &self.scale, placed.cached_tokens)
        };
        // Most holders are too busy to make up for the prefill. They are excluded by a comparison of the time between
        // events, which keeps the cost of a pass low.
        let max_saving_ms = loads.max_prompt_saving_ms(requirements);
        let max_event_ms =
            loads.event_ms(fastest.target, &self.scale) + max_saving_ms / loads.events_left(requirements);
        let fastest_ms = end_ms(&fastest);
        let holders = loads.holders(prompt).into_iter();
        let open = holders
            .filter_map(|run| self.targets.get(run).copied())
            .filter(|target| requirements.software.accepts_target(target))
            .filter(|target| loads.event_ms(target, &self.scale) < max_event_ms)
            .filter(|target| loads.has_slot(target, requirements, now))
            .filter(|target| loads.has_memory(target, requirements));
        let placed = open.map(|target| {
            let cached_tokens = loads.cached_tokens(&target.run, prompt, now);
            let placed = Placed {
                target,
                reason: PlacementReason::CachedPrompt,
                cached_tokens: cached_tokens.min(requirements.prompt_tokens),
            };
            (end_ms(&placed), placed)
        });
        let (best_ms, best) = placed.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (best_ms < fastest_ms).then_some(best)
    }
}

fn software_of(target: &Target) -> (&ServiceId, Option<&SoftwareVersion>) {
    (&target.service, target.software.as_ref())
}

/// The first candidate with a slot and memory for the item. It remains among the candidates.
fn first<'a>(
    candidates: &mut Candidates<'a>,
    loads: &EngineLoads,
    scale: &SpeedScale,
    requirements: ItemRequirements<'_>,
    now: Timestamp,
) -> Option<Candidate<'a>> {
    let mut too_small = Vec::new();
    let mut chosen = None;
    while let Some(Reverse(candidate)) = candidates.pop() {
        let target = candidate.target;
        if !loads.has_slot(target, requirements, now) {
            continue;
        }
        // Costs only grow during a pass, so an entry with its present cost is the smallest.
        let cost = loads.event_ms(target, scale);
        if cost.total_cmp(&candidate.cost).is_ne() {
            candidates.push(Reverse(Candidate { cost, ..candidate }));
            continue;
        }
        too_small.push(Reverse(candidate));
        if loads.has_memory(target, requirements) {
            chosen = Some(candidate);
            break;
        }
    }
    candidates.extend(too_small);
    chosen
}
