//! Guards against scheduling passes whose work is the product of items and engines. On a large step the owner then has no
//! processor time left for the events of its runs.

mod common;

use std::cell::Cell;

use common::{engine, model};
use jm_batch::{EngineLoads, ItemRequirements, LoadOptions, Placement, PromptPart, PromptPartId};
use jm_forward::Target;
use jm_types::{ModelId, Timestamp, WeightVersion};
use quickcheck::quickcheck;

const NOW: Timestamp = Timestamp::new(0);

fn engines(count: usize, slots: impl Fn(usize) -> usize) -> Vec<Target> {
    (0..count)
        .map(|index| engine(&format!("e{index}"), slots(index), 1))
        .collect()
}

fn requirements<'a>(model: &'a ModelId, tokens: u64, parts: &'a [PromptPart]) -> ItemRequirements<'a> {
    ItemRequirements {
        model: Some(model),
        min_version: WeightVersion::new(1),
        own_work: 1,
        remote_work: &[],
        tokens,
        memory_tokens: Some(1_000),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        prompt_parts: parts,
        events_done: 0,
    }
}

/// Engines that the items are placed on, and how often an engine was compared.
struct Placed {
    engines: Vec<String>,
    comparisons: usize,
}

fn place_in_one_pass(targets: &[Target], items: &[u64], parts: &[PromptPart]) -> Placed {
    let (model, comparisons) = (model("m"), Cell::new(0));
    let mut loads = EngineLoads::new(LoadOptions::default());
    let counted = targets.iter().inspect(|_| comparisons.set(comparisons.get() + 1));
    let mut placement = Placement::new(&loads, counted, requirements(&model, 0, parts), NOW);
    let placed = items.iter().map_while(|tokens| {
        let placed = placement.start(&mut loads, requirements(&model, *tokens, parts), NOW)?;
        Some(placed.target.run.id.to_string())
    });
    Placed {
        engines: placed.collect(),
        comparisons: comparisons.get(),
    }
}

/// Compares all engines for each item.
fn place_each(targets: &[Target], items: &[u64]) -> Placed {
    let (model, comparisons) = (model("m"), Cell::new(0));
    let mut loads = EngineLoads::new(LoadOptions::default());
    let placed = items.iter().map_while(|tokens| {
        let counted = targets.iter().inspect(|_| comparisons.set(comparisons.get() + 1));
        let target = loads.pick(counted, requirements(&model, *tokens, &[]), NOW)?;
        loads.run_started(&target.run, *tokens);
        Some(target.run.id.to_string())
    });
    Placed {
        engines: placed.collect(),
        comparisons: comparisons.get(),
    }
}

/// A step of 1,500 items starts at once on 300 engines with six slots.
#[test]
fn large_step() {
    let (targets, items) = (engines(300, |_| 6), vec![10; 1_500]);
    let (one_pass, each) = (
        place_in_one_pass(&targets, &items, &[]),
        place_each(&targets, &items),
    );
    assert_eq!(one_pass.engines.len(), 1_500);
    assert_eq!(one_pass.engines, each.engines);
    assert_eq!(one_pass.comparisons, 300);
    assert_eq!(each.comparisons, 450_000);
}

/// All items of the same step share a prompt, which all engines hold in the end.
#[test]
fn large_step_with_hot_prompt() {
    let (targets, items) = (engines(300, |_| 6), vec![10; 1_500]);
    let part = PromptPart {
        id: PromptPartId::new(1),
        tokens: 1_000,
    };
    let placed = place_in_one_pass(&targets, &items, &[part]);
    assert_eq!((placed.engines.len(), placed.comparisons), (1_500, 300));
    let on = |engine: &str| placed.engines.iter().filter(|id| *id == engine).count();
    assert!(targets.iter().all(|target| on(target.run.id.as_str()) == 5));
}

quickcheck! {
    /// One pass places each item where a comparison of all engines would place it.
    fn same_engines(slots: Vec<u8>, items: Vec<u16>) -> bool {
        let targets = engines(slots.len().min(12), |index| usize::from(slots[index] % 8));
        let items: Vec<u64> = items.iter().map(|tokens| u64::from(tokens % 700)).collect();
        place_in_one_pass(&targets, &items, &[]).engines == place_each(&targets, &items).engines
    }
}
