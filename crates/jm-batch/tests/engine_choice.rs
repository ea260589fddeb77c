//! Guards against steps that end late because items start on slow engines, or because a cached prompt decides where the
//! load or the speed matter more. Each load runs against the product's rule and against naive ones, in virtual time.

mod common;

use common::{
    engine, model,
    virtual_engines::{Item, Outcome, Rule, VirtualFleet},
};
use jm_batch::{
    AllowedSoftware, EngineLoads, ItemRequirements, LoadOptions, Placed, Placement, PlacementReason,
    PromptPart, PromptPartId,
};
use jm_forward::Target;
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

const NOW: Timestamp = Timestamp::new(1_000);

/// Groups of 12 items with a prompt of their own, the longest texts first as the plan starts them.
fn groups(count: u64, first_prompt: u64, prompt_tokens: u64) -> Vec<Item> {
    let mut items: Vec<Item> = (0..count * 12)
        .map(|index| Item {
            prompt: first_prompt + index / 12,
            prompt_tokens,
            events: if index % 17 == 0 { 60 } else { 8 + index * 7 % 17 },
        })
        .collect();
    items.sort_by_key(|item| std::cmp::Reverse(item.events));
    items
}

/// The second of two steps, when the engines have been observed.
fn second_step(rule: Rule, speeds: &[f64], memory_tokens: u64, steps: [&[Item]; 2]) -> Outcome {
    let mut fleet = VirtualFleet::new(rule, speeds, 6, memory_tokens);
    fleet.run(steps[0]);
    let outcome = fleet.run(steps[1]);
    println!("{rule:?}: {outcome:?}");
    outcome
}

fn all_rules(speeds: &[f64], memory_tokens: u64, steps: [&[Item]; 2]) -> [Outcome; 4] {
    [
        Rule::ExpectedEnd,
        Rule::PromptIgnored,
        Rule::PromptFollowed,
        Rule::SpeedIgnored,
    ]
    .map(|rule| second_step(rule, speeds, memory_tokens, steps))
}

#[test]
fn unequal_engines() {
    let speeds: Vec<f64> = [0.7, 0.7, 1.7].repeat(8);
    let (first, second) = (groups(8, 0, 1_000), groups(8, 100, 1_000));
    let [ours, ignored, followed, same_speed] = all_rules(&speeds, 32_261, [&first, &second]);
    assert!(ours.last_end_ms < same_speed.last_end_ms * 3 / 4);
    assert!(ours.mean_end_ms < same_speed.mean_end_ms);
    assert!(ours.last_end_ms < followed.last_end_ms);
    assert!(ours.last_end_ms <= ignored.last_end_ms * 101 / 100);
    assert!(ours.prefilled_tokens < ignored.prefilled_tokens);
}

/// All items of a step have the same prompt.
#[test]
fn hot_prompt() {
    let hot: Vec<Item> = groups(8, 0, 1_000)
        .into_iter()
        .map(|item| Item { prompt: 7, ..item })
        .collect();
    let [ours, ignored, followed, _] = all_rules(&[1.0; 24], 32_261, [&hot, &hot]);
    assert!(ours.last_end_ms < followed.last_end_ms / 2);
    assert!(ours.last_end_ms <= ignored.last_end_ms);
    assert!(ours.mean_end_ms <= ignored.mean_end_ms);
}

/// Two engines hold three prompts each, and their memory has room for three runs besides. Six items with one of the prompts
/// displace the other prompts of its engine if they all go there.
#[test]
fn short_memory() {
    let item = |prompt: u64| Item {
        prompt,
        prompt_tokens: 1_000,
        events: 15,
    };
    let steps: [Vec<Item>; 3] = [
        (0..6).map(item).collect(),
        [0; 6].map(item).into(),
        (1..6).map(item).collect(),
    ];
    let [ours, ignored, followed] =
        [Rule::ExpectedEnd, Rule::PromptIgnored, Rule::PromptFollowed].map(|rule| {
            let mut fleet = VirtualFleet::new(rule, &[1.0; 2], 6, 8_000);
            let [_, group, others] = steps.each_ref().map(|step| fleet.run(step));
            println!("{rule:?}: {group:?}, {others:?}");
            (
                group.last_end_ms,
                group.prefilled_tokens + others.prefilled_tokens,
            )
        });
    assert!(ours.0 < followed.0 && ours.0 <= ignored.0);
    assert!(ours.1 < followed.1 && ours.1 < ignored.1);
}

fn requirements<'a>(model: &'a ModelId, parts: &'a [PromptPart]) -> ItemRequirements<'a> {
    ItemRequirements {
        model: Some(model),
        min_version: WeightVersion::new(1),
        own_work: 1,
        remote_work: &[],
        tokens: 1_300,
        memory_tokens: Some(32_261),
        prompt_tokens: 1_000,
        prompt_parts: parts,
        events_done: 0,
        software: AllowedSoftware::Any,
    }
}

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    let part = |id: &u64| PromptPart {
        id: PromptPartId::new(*id),
        tokens: 500,
    };
    ids.iter().map(part).collect()
}

/// Places one item in a pass of its own.
fn place(
    loads: &mut EngineLoads,
    targets: &[Target],
    parts: &[PromptPart],
) -> (String, PlacementReason, u64) {
    let model = model("m");
    let requirements = requirements(&model, parts);
    let mut placement = Placement::new(loads, targets.iter(), requirements, NOW);
    let placed = placement.start(loads, requirements, NOW).unwrap();
    (
        placed.target.run.id.to_string(),
        placed.reason,
        placed.cached_tokens,
    )
}

fn observe(loads: &mut EngineLoads, target: &Target, gap_ms: u64) {
    for _ in 0..100 {
        loads.record_event(target, DurationMs::new(gap_ms));
    }
}

fn on(id: &str, reason: PlacementReason, cached_tokens: u64) -> (String, PlacementReason, u64) {
    (id.to_owned(), reason, cached_tokens)
}

/// Three engines, the last of which has run an item with the parts 1 and 2.
fn fleet() -> (EngineLoads, Vec<Target>) {
    let targets: Vec<Target> = ["a", "b", "c"].map(|id| engine(id, 2, 1)).into();
    let mut loads = EngineLoads::new(LoadOptions::default());
    place(&mut loads, &targets[2..], &parts(&[1, 2]));
    loads.run_ended(&targets[2].run, 1_300);
    (loads, targets)
}

/// Between equal engines, the one that has the prompt cached is selected; a part after another beginning is not cached.
#[test]
fn equal_engines() {
    use PlacementReason::{CachedPrompt, Fastest};
    let (mut loads, targets) = fleet();
    assert_eq!(place(&mut loads, &targets, &[]), on("a", Fastest, 0));
    assert_eq!(place(&mut loads, &targets, &parts(&[2])), on("b", Fastest, 0));
    let (mut loads, targets) = fleet();
    assert_eq!(
        place(&mut loads, &targets, &parts(&[1, 3])),
        on("c", CachedPrompt, 500)
    );
    // The holder has a run now, and its load costs more than the prefill.
    assert_eq!(place(&mut loads, &targets, &parts(&[1, 3])), on("a", Fastest, 0));
}

#[test]
fn full_holder() {
    let (mut loads, targets) = fleet();
    loads.run_started(&targets[2].run, 10);
    loads.run_started(&targets[2].run, 10);
    assert_eq!(
        place(&mut loads, &targets, &parts(&[1, 2])),
        on("a", PlacementReason::Fastest, 0)
    );
}

#[test]
fn slow_holder() {
    let (mut loads, targets) = fleet();
    observe(&mut loads, &targets[0], 64);
    observe(&mut loads, &targets[1], 26);
    observe(&mut loads, &targets[2], 64);
    assert_eq!(
        place(&mut loads, &targets, &parts(&[1, 2])),
        on("b", PlacementReason::Fastest, 0)
    );
}

/// Guards against prompts that count as cached after a weight load, and against losing those of the new weights: the items
/// of a step are sent before the first response names the new version.
#[test]
fn weight_load() {
    let (mut loads, targets) = fleet();
    let report = |at: u64, version: u64, loads: &mut EngineLoads| {
        let (version, at) = (WeightVersion::new(version), Timestamp::new(at));
        loads.record_version(&targets[2].run, &model("m"), version, at);
    };
    report(1_000, 1, &mut loads);
    report(1_100, 2, &mut loads);
    let is_cached = |loads: &mut EngineLoads| place(loads, &targets[2..], &parts(&[1, 2])).2 == 1_000;
    assert!(
        !is_cached(&mut loads),
        "sent before the last response of version 1"
    );

    let (mut loads, _) = fleet();
    report(500, 1, &mut loads);
    report(1_100, 2, &mut loads);
    assert!(is_cached(&mut loads), "sent after the last response of version 1");
}

/// The next owner of a batch knows the speeds of the previous one.
#[test]
fn speeds_handed_over() {
    let (mut loads, targets) = fleet();
    observe(&mut loads, &targets[0], 64);
    observe(&mut loads, &targets[1], 26);
    let mut next = EngineLoads::new(LoadOptions::default());
    next.adopt_speeds(loads.speeds());
    assert_eq!(next.speeds(), loads.speeds());
    assert_eq!(place(&mut next, &targets, &[]).0, "b");
}

/// Saving of a move from the first to the second engine, whose events came at the given pauses beside the given runs.
fn saving(current: (u64, usize), other: (u64, usize)) -> Option<DurationMs> {
    let (mut loads, model) = (EngineLoads::new(LoadOptions::default()), model("m"));
    let targets = [engine("current", 4, 1), engine("other", 4, 1)];
    for (target, (gap_ms, runs)) in targets.iter().zip([current, other]) {
        (0..runs).for_each(|_| loads.run_started(&target.run, 10));
        observe(&mut loads, target, gap_ms);
        (1..runs).for_each(|_| loads.run_ended(&target.run, 10));
    }
    loads.run_ended(&targets[1].run, 10);
    let placed = Placed {
        target: &targets[1],
        reason: PlacementReason::Fastest,
        cached_tokens: 0,
    };
    loads.move_saving(&targets[0].run, 4, &placed, requirements(&model, &[]))
}

/// Guards against work that is thrown away: an item moves only to an engine that is observed to be faster, by more than a
/// fifth of the time left and 100 ms. An item without a text has 16 events left.
#[test]
fn worthwhile_moves() {
    let saved = saving((64, 1), (26, 1)).unwrap();
    assert!((590..=608).contains(&saved.get()), "{saved}");
    assert_eq!(saving((26, 1), (64, 1)), None);
    assert_eq!(saving((31, 1), (25, 1)), None, "less than 100 ms");
    assert_eq!(saving((200, 1), (170, 1)), None, "less than a fifth");
    assert_eq!(
        saving((64, 1), (64, 4)),
        None,
        "only faster if the slope is right"
    );
}
