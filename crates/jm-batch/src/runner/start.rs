//! Starts runs, handles their events, and decides what happens when they end.

use std::{ops::ControlFlow, sync::Arc};

use async_std::task;
use futures::future::{Abortable, Aborted};
use jm_forward::{SendKind, Target};
use jm_types::{BatchId, DurationMs, ModelId};

use super::{
    IDLE_WAIT_MS, Runner, RunnerState,
    choose::{Move, SchedulingContext, Start, Starts, choose_moves, choose_starts},
    share::Shares,
    write::mark_writing,
};
use crate::{BatchSpec, BegunAnew, GenerationEnd, GenerationEvent, RewardKey, owned::EventOutcome};

/// Minimum time between passes that cold engines cause. Dozens of them become ready at different times.
const MIN_PASS_INTERVAL_MS: DurationMs = DurationMs::new(10);

impl Runner {
    /// Starts the items that engines have room for.
    pub(super) fn start_ready(self: &Arc<Self>) {
        let Starts { starts, placed } = self.schedule(choose_starts);
        for start in starts {
            self.report_text(&start);
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

    /// Reports what becomes of the text so far of an item that starts.
    fn report_text(&self, start: &Start) {
        let (batch, target) = (&start.batch, &start.target);
        let item = &start.request.spec.items[start.item].id;
        if let Some(events) = start.request.resume_after {
            self.deps.events.resumed(batch, item, target, events);
        }
        if let Some(replaced) = &start.replaced {
            self.deps.events.begun_anew(&BegunAnew {
                batch,
                item,
                target,
                origin: replaced.origin.as_ref(),
                events: replaced.events,
                took: replaced.took,
                waited: replaced.waited,
            });
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
            replaced: _,
        } = start;
        let sink_runner = Arc::clone(&self);
        let (sink_batch, sink_target) = (batch.clone(), target.clone());
        let model = request.spec.model.clone();
        let mut must_stop = None;
        let stop = &mut must_stop;
        let mut has_begun = false;
        let mut sink = move |event: GenerationEvent| {
            let begins = !has_begun && matches!(event, GenerationEvent::Data { .. });
            has_begun |= begins;
            if begins && sink_runner.has_changed(&sink_batch, item, serial) {
                *stop = Some(other_software());
                return ControlFlow::Break(());
            }
            let outcome =
                sink_runner.on_event(&sink_batch, item, serial, event, &sink_target, model.as_ref());
            if outcome == EventOutcome::TooLong {
                *stop = Some(text_too_long());
            }
            outcome.flow()
        };
        let generation = self.deps.generator.generate(&target, &request, &mut sink);
        let ended = Abortable::new(generation, registration).await;
        drop(sink);
        let end = match ended {
            Ok(end) => must_stop.unwrap_or(end),
            // The runner stopped the run and has released its capacity.
            Err(Aborted) => return,
        };
        self.on_end(&batch, item, serial, end);
    }

    /// Whether the engine of a run may run other software than its entry named when it was chosen, so that the run has to stop.
    fn has_changed(&self, batch: &BatchId, item: usize, serial: u64) -> bool {
        let catalog = self.deps.routing_source.catalog();
        let mut state = self.state();
        let owned = state.owned.get_mut(batch);
        owned.is_some_and(|owned| owned.is_current(item, serial) && owned.verify_origin(item, &catalog))
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
        let has_changed = self.has_changed(batch, item, serial);
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
        let is_without_text = run.replaces_text() && owned.events(item) > 0;
        let end = match end {
            GenerationEnd::Complete if has_changed => other_software(),
            GenerationEnd::Complete if is_without_text => text_missing(),
            end => end,
        };
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

/// The end of a run whose engine may have restarted with other software before it received the item.
pub(super) fn other_software() -> GenerationEnd {
    GenerationEnd::Lost {
        reason: "the engine may run other software than it did when it was chosen".to_owned(),
    }
}

/// The end of a run that was to begin a text anew. The text so far stems from another version and is not complete.
fn text_missing() -> GenerationEnd {
    GenerationEnd::Lost {
        reason: "the run ended without an event".to_owned(),
    }
}

/// The end of a run whose engine sends events without end.
fn text_too_long() -> GenerationEnd {
    GenerationEnd::Lost {
        reason: "the text exceeds the maximum size of a result".to_owned(),
    }
}

/// Time until the items of a batch may be given up.
pub(super) fn time_left(spec: &BatchSpec, unix_ms: u64) -> DurationMs {
    let end_unix_ms = spec.submitted_unix_ms.saturating_add(spec.give_up_ms.get());
    DurationMs::new(end_unix_ms.saturating_sub(unix_ms).max(1))
}
