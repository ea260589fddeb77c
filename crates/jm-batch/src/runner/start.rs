//! Starts runs, handles their events, and decides what happens when they end.

use std::sync::Arc;

use async_std::task;
use futures::future::{AbortHandle, AbortRegistration, Abortable, Aborted};
use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, RunKey, SendKind, Target};
use jm_types::{BatchId, DurationMs, ModelId, ServiceId, Timestamp};

use super::{
    IDLE_WAIT_MS, Runner, RunnerState,
    share::{Shares, item_requirements, item_service},
    write::mark_writing,
};
use crate::{
    BatchSpec, EngineLoads, GenerationEnd, GenerationEvent, GenerationRequest, ItemRequirements, PlacedItems,
    RewardKey,
    owned::{EventOutcome, OwnedBatch},
    placement::{Placed, Placement, PlacementReason},
};

/// Minimum number of events of a run before its item may move to a faster engine. It keeps items from moving back and
/// forth.
const EVENTS_BEFORE_MOVE: u64 = 3;

/// Minimum time between passes that cold engines cause. Dozens of them become ready at different times.
const MIN_PASS_INTERVAL_MS: DurationMs = DurationMs::new(10);

struct Start {
    batch: BatchId,
    item: usize,
    serial: u64,
    target: Target,
    request: GenerationRequest,
    registration: AbortRegistration,
}

/// An item that moves to a faster engine.
struct Move {
    from: RunKey,
    saving: DurationMs,
    start: Start,
}

/// The items that a pass starts, and how they were placed.
#[derive(Default)]
struct Starts {
    starts: Vec<Start>,
    placed: Vec<(BatchId, PlacedItems)>,
}

/// Inputs of one scheduling pass over all batches.
struct SchedulingContext<'a> {
    routing: &'a RoutingTable,
    catalog: &'a Catalog,
    shares: Shares,
    now: Timestamp,
    unix_ms: u64,
}

impl Runner {
    /// Starts the items that engines have room for.
    pub(super) fn start_ready(self: &Arc<Self>) {
        let Starts { starts, placed } = self.schedule(choose_starts);
        for start in starts {
            if let Some(events) = start.request.resume_after {
                let item = &start.request.spec.items[start.item].id;
                self.deps
                    .events
                    .resumed(&start.batch, item, &start.target, events);
            }
            self.spawn_run(start);
        }
        for (batch, placed) in placed {
            self.deps.events.placed(&batch, &placed);
        }
    }

    /// Moves items to faster engines and drops the records of engines that are gone.
    pub(super) fn move_to_faster(self: &Arc<Self>) {
        for Move { from, saving, start } in self.schedule(choose_moves) {
            let item = &start.request.spec.items[start.item].id;
            self.deps
                .events
                .moved(&start.batch, item, &from, &start.target.run, saving);
            self.spawn_run(start);
        }
    }

    /// What `choose` decides to do now: nothing without a configuration, or while the owners of the batches are unknown.
    fn schedule<T: Default>(&self, choose: impl FnOnce(&mut RunnerState, &SchedulingContext<'_>) -> T) -> T {
        let Some(routing) = self.deps.routing_source.routing() else {
            return T::default();
        };
        let catalog = self.deps.routing_source.catalog();
        let mut state = self.state();
        if state.is_unconfirmed {
            return T::default();
        }
        let context = SchedulingContext {
            routing: &routing,
            catalog: &catalog,
            shares: Shares::new(&state.owned, self.remote_work()),
            now: self.now(),
            unix_ms: self.deps.wall_clock.unix_ms(),
        };
        choose(&mut state, &context)
    }

    /// Time until the next pass: the interval of the checks while any item waits or runs, or less if a cold engine can take
    /// an item that was held back.
    pub(super) fn time_to_next_pass(&self) -> DurationMs {
        if self.is_idle() {
            return IDLE_WAIT_MS;
        }
        let now = self.now();
        let held = self
            .deps
            .routing_source
            .cold_gate()
            .filter(|gate| gate.has_cold())
            .and_then(|gate| {
                let catalog = self.deps.routing_source.catalog();
                gate.next_send_at(catalog.iter(), SendKind::Item, now)
            });
        let interval = self.options.check_interval_ms;
        held.map_or(interval, |at| at.since(now).clamp(MIN_PASS_INTERVAL_MS, interval))
    }

    fn spawn_run(self: &Arc<Self>, start: Start) {
        let runner = Arc::clone(self);
        task::spawn(async move { runner.run_item(start).await });
    }

    async fn run_item(self: Arc<Self>, start: Start) {
        let Start {
            batch,
            item,
            serial,
            target,
            request,
            registration,
        } = start;
        let sink_runner = Arc::clone(&self);
        let (sink_batch, sink_target) = (batch.clone(), target.clone());
        let model = request.spec.model.clone();
        let mut is_too_long = false;
        let is_last_too_long = &mut is_too_long;
        let mut sink = move |event: GenerationEvent| {
            let outcome =
                sink_runner.on_event(&sink_batch, item, serial, event, &sink_target, model.as_ref());
            *is_last_too_long = outcome == EventOutcome::TooLong;
            outcome.flow()
        };
        let generation = self.deps.generator.generate(&target, &request, &mut sink);
        let ended = Abortable::new(generation, registration).await;
        drop(sink);
        let end = match ended {
            Ok(_) if is_too_long => text_too_long(),
            Ok(end) => end,
            // The runner stopped the run and has released its capacity.
            Err(Aborted) => return,
        };
        self.on_end(&batch, item, serial, end);
    }

    fn on_event(
        &self,
        batch: &BatchId,
        item: usize,
        serial: u64,
        event: GenerationEvent,
        target: &Target,
        model: Option<&ModelId>,
    ) -> EventOutcome {
        let now = self.now();
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        if let (GenerationEvent::Version(version), Some(model)) = (&event, model) {
            loads.record_version(&target.run, model, *version, now);
        }
        let Some(owned) = owned.get_mut(batch).filter(|owned| !owned.is_ended) else {
            return EventOutcome::Discarded;
        };
        let outcome = owned.on_event(item, serial, event, now);
        if let EventOutcome::Event { gap, is_first } = outcome {
            loads.clear_suspicion(&target.run);
            match is_first {
                true => loads.record_first_event(target, owned.uncached_tokens(item), gap),
                false => loads.record_event(target, gap),
            }
        }
        outcome
    }

    fn on_end(self: &Arc<Self>, batch: &BatchId, item: usize, serial: u64, end: GenerationEnd) {
        let now = self.now();
        let mut guard = self.state();
        let RunnerState {
            owned,
            loads,
            rewards,
            ..
        } = &mut *guard;
        let Some(owned) = owned.get_mut(batch) else { return };
        let Some(run) = owned.finish_run(item, serial) else {
            return;
        };
        loads.run_ended(&run.target, run.tokens);
        let parts = &owned.spec.items[item].prompt_parts;
        let expired = match &end {
            GenerationEnd::Complete => {
                loads.record_text(owned.spec.items[item].estimated_tokens(), owned.events(item));
                // The next owner makes the reward calls of a batch that was handed over.
                if owned.complete(item) && !owned.is_handed_over {
                    let batch = batch.clone();
                    rewards.push(RewardKey { batch, item }, now);
                }
                None
            }
            GenerationEnd::Impossible => Some("the engine reported that the item cannot be processed"),
            GenerationEnd::Failed { .. } => owned
                .plan
                .record_failure(item, now)
                .then_some("too many runs of the item failed"),
            GenerationEnd::NotRun { .. } => {
                loads.record_rejection(&run.target, now);
                loads.prompt_not_run(&run.target, parts, run.cached_tokens, run.tokens);
                owned.plan.requeue(item, now);
                None
            }
            GenerationEnd::Unsent { .. } => {
                loads.record_failure(&run.target, now);
                loads.prompts_lost(&run.target);
                owned.plan.requeue(item, now);
                None
            }
            GenerationEnd::Lost { .. } => {
                loads.record_failure(&run.target, now);
                owned.plan.requeue(item, now);
                None
            }
            GenerationEnd::Stopped => {
                owned.plan.requeue(item, now);
                None
            }
        };
        if expired.is_some() {
            owned.expire(item);
        }
        let (events, id) = (owned.events(item), owned.spec.items[item].id.clone());
        let must_write = mark_writing(owned);
        drop(guard);
        if let Some(reason) = expired {
            self.deps.events.expired(batch, &id, reason);
        }
        if end != GenerationEnd::Complete {
            self.report_failed_run(batch, &id, &run, &end, now.since(run.begun), events);
        }
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch.clone()));
        }
        self.wake();
    }
}

/// The end of a run whose engine sends events without end.
fn text_too_long() -> GenerationEnd {
    GenerationEnd::Lost {
        reason: "the text exceeds the maximum size of a result".to_owned(),
    }
}

fn choose_starts(state: &mut RunnerState, context: &SchedulingContext<'_>) -> Starts {
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
            let requirements = open_requirements(&spec, owned, item, context);
            let placement = placements.entry(service).or_insert_with(|| {
                Placement::new(loads, context.catalog.serving(service), requirements, context.now)
            });
            let Some(placed) = placement.start(loads, requirements, context.now) else {
                break;
            };
            count(&mut counts, &placed, requirements);
            chosen
                .starts
                .push(start(owned, item, next_serial, placed, context));
        }
        if counts != PlacedItems::default() {
            chosen.placed.push((spec.id.clone(), counts));
        }
    }
    chosen
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
    owned: &OwnedBatch,
    item: usize,
    context: &'a SchedulingContext<'_>,
) -> ItemRequirements<'a> {
    ItemRequirements {
        events_done: owned.events(item),
        ..item_requirements(spec, item, context.routing, &context.shares)
    }
}

/// Selects items that would end much earlier on another engine with free capacity. The longest text determines when a
/// step ends, so the items with the most work left are moved first.
fn choose_moves(state: &mut RunnerState, context: &SchedulingContext<'_>) -> Vec<Move> {
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
            let Some(placed) = placement.choose(loads, requirements, context.now) else {
                break;
            };
            let listed = context.catalog.get(&run.target.id);
            let slots = listed.map_or(placed.target.slots, |current| current.slots);
            let saving = loads.move_saving(&run.target, slots, &placed, requirements);
            let Some(saving) = saving else { continue };
            let Some(run) = owned.stop_run(item, context.now) else {
                continue;
            };
            loads.run_ended(&run.target, run.tokens);
            loads.record_send(placed.target, context.now);
            loads.start_item(&placed.target.run, requirements, context.now);
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
    let request = GenerationRequest {
        spec: Arc::clone(&owned.spec),
        item,
        resume_after: owned.resume_after(item),
        time_left_ms: time_left(&owned.spec, context.unix_ms),
    };
    let target = placed.target;
    owned.start(item, serial, target, placed.cached_tokens, context.now, abort);
    Start {
        batch: owned.spec.id.clone(),
        item,
        serial,
        target: target.clone(),
        request,
        registration,
    }
}

/// Time until the items of a batch may be given up.
pub(super) fn time_left(spec: &BatchSpec, unix_ms: u64) -> DurationMs {
    let end_unix_ms = spec.submitted_unix_ms.saturating_add(spec.give_up_ms.get());
    DurationMs::new(end_unix_ms.saturating_sub(unix_ms).max(1))
}
