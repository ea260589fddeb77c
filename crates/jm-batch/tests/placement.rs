//! Guards against scheduling passes whose work is the product of items and engines. On a large step the owner then has no
//! processor time left for the events of its runs.

mod common;

use std::cell::Cell;

use common::{engine, model};
use jm_batch::{
    AllowedSoftware, EngineLoads, ItemRequirements, LoadOptions, Placement, PromptPart, PromptPartId,
    TextOrigin,
};
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
        software: AllowedSoftware::Any,
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

/// Places items in one pass, of which some have a text of version `1.0`.
fn place_texts(targets: &[Target], items: &[(u16, bool)]) -> Vec<String> {
    let (model, mut loads) = (model("m"), EngineLoads::new(LoadOptions::default()));
    let origin = TextOrigin {
        service: "engines".parse().unwrap(),
        software: "1.0".parse().unwrap(),
    };
    let mut placement = Placement::new(&loads, targets.iter(), requirements(&model, 0, &[]), NOW);
    let placed = items.iter().map_while(|(tokens, has_text)| {
        let beginning = requirements(&model, u64::from(tokens % 700), &[]);
        let resuming = ItemRequirements {
            software: AllowedSoftware::Same(Some(&origin)),
            ..beginning
        };
        let requirements = if *has_text { resuming } else { beginning };
        let placed = placement.start(&mut loads, requirements, NOW)?;
        Some(placed.target.run.id.to_string())
    });
    placed.collect()
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

    /// The version of the engines' software changes nothing for items without a text, nor for any item if all engines run the
    /// same version.
    fn software_versions(slots: Vec<u8>, items: Vec<(u16, bool)>) -> bool {
        let mut targets = engines(slots.len().min(12), |index| usize::from(slots[index] % 8));
        let sizes: Vec<u64> = items.iter().map(|(tokens, _)| u64::from(tokens % 700)).collect();
        let without_versions = place_each(&targets, &sizes).engines;
        for (index, target) in targets.iter_mut().enumerate() {
            target.software = Some(["1.0", "2.0", "3.0"][index % 3].parse().unwrap());
        }
        let several_versions = place_in_one_pass(&targets, &sizes, &[]).engines;
        targets.iter_mut().for_each(|target| target.software = Some("1.0".parse().unwrap()));
        let one_version = place_texts(&targets, &items);
        several_versions == without_versions && one_version == without_versions
    }
}
