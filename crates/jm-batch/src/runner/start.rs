//! Starts runs, takes their events, and decides what follows when they end.

use std::sync::Arc;

use async_std::task;
use futures::future::{AbortHandle, AbortRegistration, Abortable};
use jm_forward::{Catalog, RoutingTable, RunKey, Target};
use jm_types::{BatchId, DurationMs, ModelId, Timestamp};

use super::{
    Runner, RunnerState,
    share::{Shares, need, service_targets},
    write::begin_writing,
};
use crate::{
    BatchSpec, EngineLoads, GenerationEnd, GenerationEvent, GenerationRequest,
    owned::{OwnedBatch, Progress},
};

/// Events of a run before its engine's speed can move it, so that items do not go to and fro.
const EVENTS_BEFORE_MOVE: u64 = 3;

/// A run that is about to start.
struct Start {
    batch: BatchId,
    item: usize,
    serial: u64,
    target: Target,
    request: GenerationRequest,
    registration: AbortRegistration,
}

/// An item that leaves an engine for a faster one.
struct Move {
    from: RunKey,
    start: Start,
}

/// What is known at one look at all batches.
struct Look<'a> {
    routing: &'a RoutingTable,
    catalog: &'a Catalog,
    shares: Shares,
    now: Timestamp,
    unix_ms: u64,
}

impl Runner {
    pub(super) fn start_ready(self: &Arc<Self>) {
        let Some(routing) = self.parts.routing_source.routing() else {
            return;
        };
        let catalog = self.parts.routing_source.catalog();
        let mut state = self.state();
        let look = Look {
            routing: &routing,
            catalog: &catalog,
            shares: Shares::new(&state.owned, self.foreign()),
            now: self.now(),
            unix_ms: self.parts.wall_clock.unix_ms(),
        };
        let moves = choose_moves(&mut state, &look);
        let mut starts = choose_starts(&mut state, &look);
        drop(state);
        for Move { from, start } in moves {
            let item = &start.request.spec.items[start.item].id;
            self.parts
                .events
                .moved(&start.batch, item, &from, &start.target.run);
            starts.push(start);
        }
        for start in starts {
            let runner = Arc::clone(self);
            task::spawn(async move { runner.run_item(start).await });
        }
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
        let mut sink = move |event: GenerationEvent| {
            let progress =
                sink_runner.on_event(&sink_batch, item, serial, event, &sink_target, model.as_ref());
            progress.flow()
        };
        let generation = self.parts.generator.generate(&target, &request, &mut sink);
        if let Ok(end) = Abortable::new(generation, registration).await {
            self.on_end(&batch, item, serial, &target, end);
        }
    }

    fn on_event(
        &self,
        batch: &BatchId,
        item: usize,
        serial: u64,
        event: GenerationEvent,
        target: &Target,
        model: Option<&ModelId>,
    ) -> Progress {
        let now = self.now();
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        if let (GenerationEvent::Version(version), Some(model)) = (&event, model) {
            loads.record_version(&target.run, model, *version);
        }
        let Some(owned) = owned.get_mut(batch).filter(|owned| !owned.is_ended) else {
            return Progress::Useless;
        };
        let progress = owned.on_event(item, serial, event, now);
        if let Progress::Event { gap, is_first } = progress {
            loads.is_alive(&target.run);
            if !is_first {
                loads.progressed(&target.run, gap);
            }
        }
        progress
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
        let RunnerState { owned, loads, .. } = &mut *guard;
        let Some(owned) = owned.get_mut(batch) else { return };
        let Some(run) = owned.finish_run(item, serial) else {
            return;
        };
        loads.ended(&run.target, run.tokens);
        let expired = match &end {
            GenerationEnd::Complete => {
                owned.complete(item);
                None
            }
            GenerationEnd::Impossible => Some("the engine says that it can never be done"),
            GenerationEnd::Failed { .. } => owned
                .plan
                .failed(item, now)
                .then_some("engines failed it too often"),
            GenerationEnd::NotRun { .. } => {
                loads.rejected(&run.target, now);
                owned.plan.again(item, now);
                None
            }
            GenerationEnd::Unsent { .. } | GenerationEnd::Lost { .. } => {
                loads.failed(&run.target, now);
                owned.plan.again(item, now);
                None
            }
            GenerationEnd::Stopped => {
                owned.plan.again(item, now);
                None
            }
        };
        if expired.is_some() {
            owned.expire(item);
        }
        let (events, id) = (owned.events(item), owned.spec.items[item].id.clone());
        let must_write = begin_writing(owned);
        drop(guard);
        if let Some(reason) = expired {
            self.parts.events.expired(batch, &id, reason);
        }
        if end != GenerationEnd::Complete {
            self.log_run(batch, &id, &target.run, &end, now.since(run.begun), events);
        }
        if must_write {
            task::spawn(Arc::clone(self).write_results(batch.clone()));
        }
        self.wake();
    }
}

fn choose_starts(state: &mut RunnerState, look: &Look<'_>) -> Vec<Start> {
    let RunnerState {
        owned,
        loads,
        next_serial,
        ..
    } = state;
    loads.retain(|run| {
        let listed = look.catalog.get(&run.id);
        listed.is_some_and(|target| target.run == *run)
    });
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
        let ready: Vec<usize> = owned.plan.ready(look.now).collect();
        for item in ready {
            let Some(target) = choose_target(owned, item, loads, look) else {
                break;
            };
            loads.began(&target.run, owned.spec.items[item].work_tokens());
            starts.push(start(owned, item, next_serial, target, look));
        }
    }
    starts
}

/// Moves items off engines that are much slower than one with room. The longest text decides when a step ends, and a text
/// goes on at another engine after a few milliseconds.
fn choose_moves(state: &mut RunnerState, look: &Look<'_>) -> Vec<Move> {
    let RunnerState {
        owned,
        loads,
        next_serial,
        ..
    } = state;
    let mut moves = Vec::new();
    for owned in owned.values_mut().filter(|owned| !owned.is_ended) {
        let settled = owned
            .runs
            .iter()
            .filter(|(_, run)| run.events >= EVENTS_BEFORE_MOVE);
        let items: Vec<usize> = settled.map(|(item, _)| *item).collect();
        for item in items {
            let Some(target) = faster_target(owned, item, loads, look) else {
                continue;
            };
            let Some(run) = owned.stop_run(item, look.now) else {
                continue;
            };
            loads.ended(&run.target, run.tokens);
            loads.began(&target.run, owned.spec.items[item].work_tokens());
            moves.push(Move {
                from: run.target,
                start: start(owned, item, next_serial, target, look),
            });
        }
    }
    moves
}

fn faster_target<'a>(
    owned: &OwnedBatch,
    item: usize,
    loads: &EngineLoads,
    look: &Look<'a>,
) -> Option<&'a Target> {
    let current = &owned.runs.get(&item)?.target;
    let targets = service_targets(owned, item, look.routing, look.catalog)?;
    let need = need(&owned.spec, item, look.routing, &look.shares);
    loads.pick_faster(current, targets, need, look.now)
}

fn choose_target<'a>(
    owned: &OwnedBatch,
    item: usize,
    loads: &EngineLoads,
    look: &Look<'a>,
) -> Option<&'a Target> {
    let targets = service_targets(owned, item, look.routing, look.catalog)?;
    let need = need(&owned.spec, item, look.routing, &look.shares);
    loads.pick(targets, need, look.now)
}

fn start(
    owned: &mut OwnedBatch,
    item: usize,
    next_serial: &mut u64,
    target: &Target,
    look: &Look<'_>,
) -> Start {
    let serial = *next_serial;
    *next_serial += 1;
    let (abort, registration) = AbortHandle::new_pair();
    let request = GenerationRequest {
        spec: Arc::clone(&owned.spec),
        item,
        resume_after: owned.resume_after(item),
        time_left_ms: time_left(&owned.spec, look.unix_ms),
    };
    owned.start(item, serial, target.run.clone(), look.now, abort);
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
fn time_left(spec: &BatchSpec, unix_ms: u64) -> DurationMs {
    let end_unix_ms = spec.submitted_unix_ms.saturating_add(spec.give_up_ms.get());
    DurationMs::new(end_unix_ms.saturating_sub(unix_ms).max(1))
}
