//! Runs of items and their events.

use std::ops::ControlFlow;

use futures::future::AbortHandle;
use jm_forward::{Catalog, RunKey, Target};
use jm_types::{DurationMs, Timestamp, WeightVersion};

use super::OwnedBatch;
use crate::{
    AllowedSoftware, GenerationEvent, TextOrigin, begins_anew,
    item_text::{AppendError, FIRST_EVENT, ItemText},
    resumption::may_differ,
};

pub(crate) struct Run {
    pub(crate) serial: u64,
    pub(crate) target: RunKey,
    /// Origin of the events, as the target's entry said when the target was chosen.
    pub(crate) origin: Option<TextOrigin>,
    /// Number of the event after which the run resumes the text; `None` if the text begins.
    resume_after: Option<u64>,
    /// Expected size of the item at its end, in tokens.
    pub(crate) tokens: u64,
    /// Prompt tokens that the engine was expected to have cached.
    pub(crate) cached_tokens: u64,
    pub(crate) begun: Timestamp,
    begun_unix_ms: u64,
    pub(crate) last_progress: Timestamp,
    /// Number of events that this run produced.
    pub(crate) events: u64,
    version: Option<WeightVersion>,
    pub(super) abort: AbortHandle,
}

/// A run that is about to start.
pub(crate) struct RunStart<'a> {
    pub(crate) serial: u64,
    pub(crate) target: &'a Target,
    /// Prompt tokens that the engine is expected to have cached.
    pub(crate) cached_tokens: u64,
    /// Time of day.
    pub(crate) unix_ms: u64,
}

impl Run {
    /// Whether the next event begins the text anew, whatever the item has.
    pub(crate) fn replaces_text(&self) -> bool {
        self.resume_after.is_none() && self.events == 0
    }
}

/// How an event of a run was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventOutcome {
    /// A part of the text arrived, `gap` after the previous one.
    Event { gap: DurationMs, is_first: bool },
    /// The engine reported its weight version.
    Version(WeightVersion),
    /// The event was not used, and the run has to stop.
    Discarded,
    /// The event made the text longer than any result can be. The text was dropped, and the run has to stop.
    TooLong,
}

impl EventOutcome {
    pub(crate) fn flow(self) -> ControlFlow<()> {
        match self {
            Self::Discarded | Self::TooLong => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }
}

impl OwnedBatch {
    /// Starts a run and returns the number of the event after which it resumes the text. A text that `target` may not
    /// continue begins anew, and is replaced by the first event of the run.
    pub(crate) fn start(
        &mut self,
        index: usize,
        start: RunStart<'_>,
        now: Timestamp,
        abort: AbortHandle,
    ) -> Option<u64> {
        let RunStart { serial, target, .. } = start;
        self.plan.mark_running(index);
        self.bound_since.swap_remove(&index);
        let text = &self.texts[index];
        let may_resume = text.allowed_software().accepts_target(target);
        let resume_after = text.last_event.filter(|_| may_resume);
        let run = Run {
            serial,
            target: target.run.clone(),
            origin: TextOrigin::of(target),
            resume_after,
            tokens: self.spec.items[index].work_tokens(),
            cached_tokens: start.cached_tokens,
            begun: now,
            begun_unix_ms: start.unix_ms,
            last_progress: now,
            events: 0,
            version: None,
            abort,
        };
        self.runs.insert(index, run);
        resume_after
    }

    /// The engines that could run a running item instead, which has had no event for `silent_for`.
    pub(crate) fn alternatives(&self, index: usize, silent_for: DurationMs) -> AllowedSoftware<'_> {
        let text = &self.texts[index];
        let is_replaced = self.runs.get(&index).is_some_and(Run::replaces_text);
        match is_replaced || begins_anew(text.took_ms, silent_for) {
            true => AllowedSoftware::Any,
            false => text.allowed_software(),
        }
    }

    /// Since when the item waits for engines of its text's version although others have room.
    pub(crate) fn bound_since(&self, index: usize) -> Option<Timestamp> {
        self.bound_since.get(&index).copied()
    }

    /// How long the item could have begun anew on other engines while it waits for those of its text's version.
    pub(crate) fn bound_for(&mut self, index: usize, now: Timestamp) -> DurationMs {
        now.since(*self.bound_since.entry(index).or_insert(now))
    }

    /// Compares the entry of the engine that runs an item with the one with which it was chosen. If the engine may run other
    /// software, a run that resumed has to stop, and a text that it continued is dropped because it may be joined. A text that
    /// the run began stems from one process, but it is unknown from which. Returns whether the run has to stop.
    pub(crate) fn verify_origin(&mut self, index: usize, catalog: &Catalog) -> bool {
        let Some(run) = self.runs.get_mut(&index) else {
            return false;
        };
        let listed = catalog.get(&run.target.id);
        let has_changed =
            listed.is_some_and(|listed| may_differ(run.origin.as_ref(), run.begun_unix_ms, listed));
        if !has_changed {
            return false;
        }
        let text = &mut self.texts[index];
        let has_resumed = run.resume_after.is_some();
        if !has_resumed {
            run.origin = None;
        }
        match (has_resumed, run.events) {
            (_, 0) => {}
            (true, _) => *text = text.begun_anew(None),
            (false, _) => text.origin = None,
        }
        has_resumed
    }

    /// The running items whose runs have to stop, see [`Self::verify_origin`].
    pub(crate) fn changed_runs(&mut self, catalog: &Catalog) -> Vec<usize> {
        let mut running: Vec<usize> = self.runs.keys().copied().collect();
        running.retain(|index| self.verify_origin(*index, catalog));
        running
    }

    /// Handles an event of a run. Events of a replaced run are discarded.
    pub(crate) fn on_event(
        &mut self,
        index: usize,
        serial: u64,
        event: GenerationEvent,
        now: Timestamp,
    ) -> EventOutcome {
        let Some(run) = self.runs.get_mut(&index).filter(|run| run.serial == serial) else {
            return EventOutcome::Discarded;
        };
        match event {
            GenerationEvent::Version(version) => self.on_version(index, version),
            GenerationEvent::Data { index: event, data } => {
                let gap = now.since(run.last_progress);
                let is_first = run.events == 0;
                let begins = run.replaces_text();
                run.last_progress = now;
                run.events += 1;
                self.stalls.swap_remove(&index);
                let version = run.version;
                let text = &mut self.texts[index];
                if begins {
                    if event != FIRST_EVENT {
                        return EventOutcome::Discarded;
                    }
                    *text = text.begun_anew(run.origin.clone());
                }
                text.took_ms = text.took_ms.saturating_add(gap);
                match text.append(event, &data, version) {
                    Ok(()) => EventOutcome::Event { gap, is_first },
                    Err(AppendError::Gap) => EventOutcome::Discarded,
                    Err(AppendError::TooLong) => {
                        // No engine can end this text, so the item starts again.
                        *text = ItemText::default();
                        EventOutcome::TooLong
                    }
                }
            }
        }
    }

    fn on_version(&mut self, index: usize, version: WeightVersion) -> EventOutcome {
        let text = &mut self.texts[index];
        if version < self.spec.min_version {
            return EventOutcome::Discarded;
        }
        let run = self.runs.get_mut(&index);
        let is_replaced = run.as_ref().is_some_and(|run| run.replaces_text());
        let is_mixed = !is_replaced && text.versions.iter().any(|earlier| *earlier != version);
        if self.spec.is_single_version && is_mixed {
            // The text has to restart so that a single version generates all of it.
            *text = ItemText::default();
            return EventOutcome::Discarded;
        }
        if let Some(run) = run {
            run.version = Some(version);
        }
        EventOutcome::Version(version)
    }

    /// Whether the item is running, and by this run.
    pub(crate) fn is_current(&self, index: usize, serial: u64) -> bool {
        self.runs.get(&index).is_some_and(|run| run.serial == serial)
    }

    /// Removes a run that ended; `None` when it was replaced or had ended before.
    pub(crate) fn finish_run(&mut self, index: usize, serial: u64) -> Option<Run> {
        match self.is_current(index, serial) {
            true => self.runs.swap_remove(&index),
            false => None,
        }
    }

    /// Stops the run of an item, so that it can start on another engine.
    pub(crate) fn stop_run(&mut self, index: usize, now: Timestamp) -> Option<Run> {
        let run = self.runs.swap_remove(&index)?;
        run.abort.abort();
        self.plan.requeue(index, now);
        Some(run)
    }

    /// Counts a run of the item that was stopped as stalled.
    pub(crate) fn record_stall(&mut self, index: usize) {
        *self.stalls.entry(index).or_default() += 1;
    }

    /// Number of stalled runs of an item since its last event.
    pub(crate) fn stalls(&self, index: usize) -> u32 {
        self.stalls.get(&index).copied().unwrap_or(0)
    }

    /// Stops all runs without requeueing their items.
    pub(crate) fn stop_all(&mut self) -> Vec<Run> {
        let runs: Vec<Run> = std::mem::take(&mut self.runs).into_values().collect();
        for run in &runs {
            run.abort.abort();
        }
        runs
    }
}
