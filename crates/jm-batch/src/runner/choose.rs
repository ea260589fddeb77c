//! Chooses which items start or move in a scheduling pass, and where.

use std::sync::Arc;

use futures::future::{AbortHandle, AbortRegistration};
use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, RunKey, Target};
use jm_types::{BatchId, DurationMs, ServiceId, Timestamp};

use super::{
    RunnerState,
    share::{Shares, item_requirements, item_service},
    start::time_left,
};
use crate::{
    AllowedSoftware, BatchSpec, EngineLoads, GenerationRequest, ItemRequirements, PlacedItems, TextOrigin,
    begins_anew,
    owned::{OwnedBatch, RunStart},
    placement::{Placed, Placement, PlacementReason},
};

/// Minimum number of events of a run before its item may move to a faster engine. It keeps items from moving back and
/// forth.
const EVENTS_BEFORE_MOVE: u64 = 3;

pub(super) struct Start {
    pub(super) batch: BatchId,
    pub(super) item: usize,
    pub(super) serial: u64,
    pub(super) target: Target,
    pub(super) request: GenerationRequest,
    pub(super) registration: AbortRegistration,
    pub(super) replaced: Option<ReplacedText>,
}

/// The text of an item that begins anew.
pub(super) struct ReplacedText {
    pub(super) origin: Option<TextOrigin>,
    pub(super) events: u64,
    pub(super) took: DurationMs,
    /// Time for which the item waited for engines of the text's version; `None` if none of them serves.
    pub(super) waited: Option<DurationMs>,
}

/// An item that moves to a faster engine.
pub(super) struct Move {
    pub(super) from: RunKey,
    pub(super) saving: DurationMs,
    pub(super) start: Start,
}

/// The items that a pass starts, and how they were placed.
#[derive(Default)]
pub(super) struct Starts {
    pub(super) starts: Vec<Start>,
    pub(super) placed: Vec<(BatchId, PlacedItems)>,
}

/// Inputs of one scheduling pass over all batches.
pub(super) struct SchedulingContext<'a> {
    pub(super) routing: &'a RoutingTable,
    pub(super) catalog: &'a Catalog,
    pub(super) shares: Shares,
    pub(super) now: Timestamp,
    pub(super) unix_ms: u64,
}

pub(super) fn choose_starts(state: &mut RunnerState, context: &SchedulingContext<'_>) -> Starts {
    let RunnerState {
        owned,
        loads,
        next_serial,
        ..
    } = state;
    let mut batches: Vec<&mut OwnedBatch> = owned
        .values_mut()
        .filter(|owned| !owned.is_ended && owned.plan.waiting() > 0)
        .collect();
    batches.sort_by_key(|owned| {
        (
            owned.spec.priority,
            owned.spec.submitted_unix_ms,
            owned.spec.id.clone(),
        )
    });
    let mut chosen = Starts::default();
    for owned in batches {
        let spec = Arc::clone(&owned.spec);
        let mut placements: IndexMap<&ServiceId, Placement<'_>> = IndexMap::new();
        let mut counts = PlacedItems::default();
        let ready: Vec<usize> = owned.plan.ready(context.now).collect();
        for item in ready {
            let Some(service) = item_service(&spec, item, context.routing) else {
                break;
            };
            let beginning = item_requirements(&spec, item, context.routing, &context.shares);
            let placement = placements.entry(service).or_insert_with(|| {
                Placement::new(loads, context.catalog.serving(service), beginning, context.now)
            });
            match place(placement, loads, owned, item, beginning, context) {
                Place::On(placed) => {
                    count(&mut counts, &placed, beginning);
                    chosen
                        .starts
                        .push(start(owned, item, next_serial, placed, context));
                }
                Place::Later => continue,
                Place::Nowhere => break,
            }
        }
        if counts != PlacedItems::default() {
            chosen.placed.push((spec.id.clone(), counts));
        }
    }
    chosen
}

/// Where an item starts in this pass.
enum Place<'a> {
    On(Placed<'a>),
    /// It waits for engines of its text's version, while others have room.
    Later,
    /// No engine has room for it.
    Nowhere,
}

/// Places an item where its text goes on, or else where it begins anew.
fn place<'a>(
    placement: &mut Placement<'a>,
    loads: &mut EngineLoads,
    owned: &mut OwnedBatch,
    item: usize,
    beginning: ItemRequirements<'_>,
    context: &SchedulingContext<'_>,
) -> Place<'a> {
    let now = context.now;
    let text = owned.text(item);
    let took = text.took_ms;
    let resuming = ItemRequirements {
        events_done: owned.events(item),
        software: text.allowed_software(),
        ..beginning
    };
    if placement.serves(resuming.software) {
        if let Some(placed) = placement.start(loads, resuming, now) {
            return Place::On(placed);
        }
        if resuming.software == AllowedSoftware::Any || placement.choose(loads, beginning, now).is_none() {
            return Place::Nowhere;
        }
        if !begins_anew(took, owned.bound_for(item, now)) {
            return Place::Later;
        }
    }
    let placed = placement.start(loads, beginning, now);
    placed.map_or(Place::Nowhere, Place::On)
}

fn count(counts: &mut PlacedItems, placed: &Placed<'_>, requirements: ItemRequirements<'_>) {
    match placed.reason {
        PlacementReason::Fastest => counts.fastest += 1,
        PlacementReason::CachedPrompt => counts.cached_prompt += 1,
    }
    counts.cached_tokens += placed.cached_tokens;
    counts.uncached_tokens += requirements.prompt_tokens.saturating_sub(placed.cached_tokens);
}

/// Requirements of an item that continues its text so far.
fn open_requirements<'a>(
    spec: &'a BatchSpec,
    owned: &'a OwnedBatch,
    item: usize,
    context: &'a SchedulingContext<'_>,
) -> ItemRequirements<'a> {
    ItemRequirements {
        events_done: owned.events(item),
        software: owned.text(item).allowed_software(),
        ..item_requirements(spec, item, context.routing, &context.shares)
    }
}

/// Selects items that would end much earlier on another engine with free capacity. The longest text determines when a
/// step ends, so the items with the most work left are moved first.
pub(super) fn choose_moves(state: &mut RunnerState, context: &SchedulingContext<'_>) -> Vec<Move> {
    let RunnerState {
        owned,
        loads,
        next_serial,
        ..
    } = state;
    loads.retain(|run| {
        let listed = context.catalog.get(&run.id);
        listed.is_some_and(|target| target.run == *run)
    });
    let mut moves = Vec::new();
    for owned in owned.values_mut().filter(|owned| !owned.is_ended) {
        let spec = Arc::clone(&owned.spec);
        let mut placements: IndexMap<&ServiceId, Placement<'_>> = IndexMap::new();
        for item in movable_items(&spec, owned, loads, context) {
            let Some(service) = item_service(&spec, item, context.routing) else {
                break;
            };
            let Some(run) = owned.runs.get(&item) else {
                continue;
            };
            let requirements = open_requirements(&spec, owned, item, context);
            let placement = placements.entry(service).or_insert_with(|| {
                Placement::new(loads, context.catalog.serving(service), requirements, context.now)
            });
            // Texts of other versions may move nevertheless.
            let Some(placed) = placement.choose(loads, requirements, context.now) else {
                continue;
            };
            let listed = context.catalog.get(&run.target.id);
            let slots = listed.map_or(placed.target.slots, |current| current.slots);
            let saving = loads.move_saving(&run.target, slots, &placed, requirements);
            let Some(saving) = saving else { continue };
            let size = item_requirements(&spec, item, context.routing, &context.shares);
            let Some(run) = owned.stop_run(item, context.now) else {
                continue;
            };
            loads.run_ended(&run.target, run.tokens);
            loads.record_send(placed.target, context.now);
            loads.start_item(&placed.target.run, size, context.now);
            moves.push(Move {
                from: run.target,
                saving,
                start: start(owned, item, next_serial, placed, context),
            });
        }
    }
    moves
}

/// The running items that may move, those with the most work left first.
fn movable_items(
    spec: &BatchSpec,
    owned: &OwnedBatch,
    loads: &EngineLoads,
    context: &SchedulingContext<'_>,
) -> Vec<usize> {
    let movable = owned
        .runs
        .iter()
        .filter(|(_, run)| run.events >= EVENTS_BEFORE_MOVE);
    let mut movable: Vec<(f64, usize)> = movable
        .map(|(item, _)| {
            let requirements = open_requirements(spec, owned, *item, context);
            (loads.events_left(requirements), *item)
        })
        .collect();
    movable.sort_by(|a, b| b.0.total_cmp(&a.0));
    movable.into_iter().map(|(_, item)| item).collect()
}

fn start(
    owned: &mut OwnedBatch,
    item: usize,
    next_serial: &mut u64,
    placed: Placed<'_>,
    context: &SchedulingContext<'_>,
) -> Start {
    let serial = *next_serial;
    *next_serial += 1;
    let (abort, registration) = AbortHandle::new_pair();
    let target = placed.target;
    let replaced = replaced_text(owned, item, target, context.now);
    let run = RunStart {
        serial,
        target,
        cached_tokens: placed.cached_tokens,
        unix_ms: context.unix_ms,
    };
    let resume_after = owned.start(item, run, context.now, abort);
    let request = GenerationRequest {
        spec: Arc::clone(&owned.spec),
        item,
        resume_after,
        time_left_ms: time_left(&owned.spec, context.unix_ms),
    };
    Start {
        replaced,
        batch: owned.spec.id.clone(),
        item,
        serial,
        target: target.clone(),
        request,
        registration,
    }
}

/// The text of the item if it begins anew on `target`.
fn replaced_text(owned: &OwnedBatch, item: usize, target: &Target, now: Timestamp) -> Option<ReplacedText> {
    let text = owned.text(item);
    if text.allowed_software().accepts_target(target) {
        return None;
    }
    Some(ReplacedText {
        origin: text.origin.clone(),
        events: owned.events(item),
        took: text.took_ms,
        waited: owned.bound_since(item).map(|since| now.since(since)),
    })
}
