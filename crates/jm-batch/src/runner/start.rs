//! Starts runs, handles their events, and decides what happens when they end.

use std::sync::Arc;

use async_std::task;
use futures::future::{AbortHandle, AbortRegistration, Abortable, Aborted};
use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, RunKey, Target};
use jm_types::{BatchId, DurationMs, ModelId, ServiceId, Timestamp};

use super::{
    Runner, RunnerState,
    share::{Shares, item_requirements, item_service, service_targets},
    write::mark_writing,
};
use crate::{
    BatchSpec, GenerationEnd, GenerationEvent, GenerationRequest, RewardKey,
    owned::{EventOutcome, OwnedBatch, Run},
    placement::Placement,
};

/// Minimum number of events of a run before its item may move to a faster engine. It keeps items from moving back and
/// forth.
const EVENTS_BEFORE_MOVE: u64 = 3;

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
    start: Start,
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
        for start in self.schedule(choose_starts) {
            self.spawn_run(start);
        }
    }

    /// Moves items to faster engines and drops the records of engines that are gone.
    pub(super) fn move_to_faster(self: &Arc<Self>) {
        for Move { from, start } in self.schedule(choose_moves) {
            let item = &start.request.spec.items[start.item].id;
            self.deps
                .events
                .moved(&start.batch, item, &from, &start.target.run);
            self.spawn_run(start);
        }
    }

    /// What `choose` decides to do now: nothing without a configuration, or while the owners of the batches are unknown.
    fn schedule<T>(&self, choose: impl FnOnce(&mut RunnerState, &SchedulingContext<'_>) -> Vec<T>) -> Vec<T> {
        let Some(routing) = self.deps.routing_source.routing() else {
            return Vec::new();
        };
        let catalog = self.deps.routing_source.catalog();
        let mut state = self.state();
        if state.is_unconfirmed {
            return Vec::new();
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
        self.on_end(&batch, item, serial, &target, end);
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
            loads.record_version(&target.run, model, *version);
        }
        let Some(owned) = owned.get_mut(batch).filter(|owned| !owned.is_ended) else {
            return EventOutcome::Discarded;
        };
        let outcome = owned.on_event(item, serial, event, now);
        if let EventOutcome::Event { gap, is_first } = outcome {
            loads.clear_suspicion(&target.run);
            if !is_first {
                loads.record_event_gap(&target.run, gap);
            }
        }
        outcome
    }

    fn on_end(
        self: &Arc<Self>,
        batch: &BatchId,
        item: usize,
        serial: u64,
        target: &Target,
        end: GenerationEnd,
    ) {
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
        let expired = match &end {
            GenerationEnd::Complete => {
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
                owned.plan.requeue(item, now);
                None
            }
            GenerationEnd::Unsent { .. } | GenerationEnd::Lost { .. } => {
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
            self.report_failed_run(batch, &id, &target.run, &end, now.since(run.begun), events);
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

fn choose_starts(state: &mut RunnerState, context: &SchedulingContext<'_>) -> Vec<Start> {
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
    let mut starts = Vec::new();
    for owned in batches {
        let spec = Arc::clone(&owned.spec);
        let mut placements: IndexMap<&ServiceId, Placement<'_>> = IndexMap::new();
        let ready: Vec<usize> = owned.plan.ready(context.now).collect();
        for item in ready {
            let Some(service) = item_service(&spec, item, context.routing) else {
                break;
            };
            let requirements = item_requirements(&spec, item, context.routing, &context.shares);
            let placement = placements.entry(service).or_insert_with(|| {
                Placement::new(loads, context.catalog.serving(service), requirements, context.now)
            });
            let Some(target) = placement.start(loads, requirements, context.now) else {
                break;
            };
            starts.push(start(owned, item, next_serial, target, context));
        }
    }
    starts
}

/// Selects items on engines that are much slower than one with free capacity. The longest text determines when a step
/// ends, and a moved text continues after a few milliseconds.
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
        let movable = owned
            .runs
            .iter()
            .filter(|(_, run)| run.events >= EVENTS_BEFORE_MOVE);
        let items: Vec<usize> = movable.map(|(item, _)| *item).collect();
        let spec = Arc::clone(&owned.spec);
        let mut best: Option<&Target> = None;
        for item in items {
            let requirements = item_requirements(&spec, item, context.routing, &context.shares);
            // The engines are compared again only after a move, which changes their loads.
            let found = best.or_else(|| {
                let targets = service_targets(&spec, item, context.routing, context.catalog)?;
                loads.pick(targets, requirements, context.now)
            });
            let Some(target) = found else { break };
            best = Some(target);
            let is_faster = |run: &Run| loads.is_much_faster(&target.run, &run.target);
            let has_room = loads.has_memory(target, requirements);
            if !has_room || !owned.runs.get(&item).is_some_and(is_faster) {
                continue;
            }
            let Some(run) = owned.stop_run(item, context.now) else {
                continue;
            };
            loads.run_ended(&run.target, run.tokens);
            loads.run_started(&target.run, requirements.tokens);
            best = None;
            moves.push(Move {
                from: run.target,
                start: start(owned, item, next_serial, target, context),
            });
        }
    }
    moves
}

fn start(
    owned: &mut OwnedBatch,
    item: usize,
    next_serial: &mut u64,
    target: &Target,
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
    owned.start(item, serial, target.run.clone(), context.now, abort);
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
