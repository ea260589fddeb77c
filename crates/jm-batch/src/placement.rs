//! Placement of many items on many engines in one scheduling pass.
//!
//! Load pattern: a step of thousands of items is placed on hundreds of engines, and each run that ends triggers a pass.
//! Comparing all engines for each item makes a pass grow with the product of both, and the host that owns the step then
//! spends its processor on scheduling instead of on events. A pass therefore compares the engines once and keeps them in
//! a heap by cost, so that each placed item costs a logarithmic step.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use jm_forward::Target;
use jm_types::Timestamp;

use crate::{EngineLoads, ItemRequirements};

/// An engine that may take another item. Engines with equal costs are ordered as they are listed.
struct Candidate<'a> {
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

/// The engines that can take items with the same model and weights, the one that finishes an item first on top.
pub struct Placement<'a> {
    candidates: BinaryHeap<Reverse<Candidate<'a>>>,
}

impl<'a> Placement<'a> {
    /// Compares the engines once. `requirements` are those of any of the items, whose sizes may differ.
    pub fn new(
        loads: &EngineLoads,
        targets: impl Iterator<Item = &'a Target>,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Self {
        let open = targets.filter(|target| loads.has_slot(target, requirements, now));
        let candidates = open.enumerate().map(|(index, target)| {
            Reverse(Candidate {
                cost: loads.cost(target),
                index,
                target,
            })
        });
        Self {
            candidates: candidates.collect(),
        }
    }

    /// Starts an item on the engine that finishes it first. `None` if no engine has a slot and memory for it.
    pub fn start(
        &mut self,
        loads: &mut EngineLoads,
        requirements: ItemRequirements<'_>,
        now: Timestamp,
    ) -> Option<&'a Target> {
        let mut too_small = Vec::new();
        let mut chosen = None;
        while let Some(Reverse(candidate)) = self.candidates.pop() {
            if !loads.has_slot(candidate.target, requirements, now) {
                continue;
            }
            if loads.has_memory(candidate.target, requirements) {
                chosen = Some(candidate);
                break;
            }
            too_small.push(Reverse(candidate));
        }
        self.candidates.extend(too_small);
        let candidate = chosen?;
        loads.record_send(candidate.target, now);
        loads.run_started(&candidate.target.run, requirements.tokens);
        self.candidates.push(Reverse(Candidate {
            cost: loads.cost(candidate.target),
            ..candidate
        }));
        Some(candidate.target)
    }
}
