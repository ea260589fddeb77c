//! Runs of items and their events.

use std::ops::ControlFlow;

use futures::future::AbortHandle;
use jm_forward::{RunKey, Target};
use jm_types::{DurationMs, SoftwareVersion, Timestamp, WeightVersion};

use super::OwnedBatch;
use crate::{
    GenerationEvent,
    item_text::{AppendError, ItemText},
};

pub(crate) struct Run {
    pub(crate) serial: u64,
    pub(crate) target: RunKey,
    /// Version of the target's software when the target was chosen.
    pub(crate) software: Option<SoftwareVersion>,
    /// Expected size of the item at its end, in tokens.
    pub(crate) tokens: u64,
    /// Prompt tokens that the engine was expected to have cached.
    pub(crate) cached_tokens: u64,
    pub(crate) begun: Timestamp,
    pub(crate) last_progress: Timestamp,
    /// Number of events that this run produced.
    pub(crate) events: u64,
    version: Option<WeightVersion>,
    pub(super) abort: AbortHandle,
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
    pub(crate) fn start(
        &mut self,
        index: usize,
        serial: u64,
        target: &Target,
        cached_tokens: u64,
        now: Timestamp,
        abort: AbortHandle,
    ) {
        self.plan.mark_running(index);
        let run = Run {
            serial,
            target: target.run.clone(),
            software: target.software.clone(),
            tokens: self.spec.items[index].work_tokens(),
            cached_tokens,
            begun: now,
            last_progress: now,
            events: 0,
            version: None,
            abort,
        };
        self.runs.insert(index, run);
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
                run.last_progress = now;
                run.events += 1;
                self.stalls.swap_remove(&index);
                let version = run.version;
                let text = &mut self.texts[index];
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
        let is_mixed = text.versions.iter().any(|earlier| *earlier != version);
        if self.spec.is_single_version && is_mixed {
            // The text has to restart so that a single version generates all of it.
            *text = ItemText::default();
            return EventOutcome::Discarded;
        }
        if let Some(run) = self.runs.get_mut(&index) {
            run.version = Some(version);
        }
        EventOutcome::Version(version)
    }

    /// Removes a run that ended; `None` when it was replaced or had ended before.
    pub(crate) fn finish_run(&mut self, index: usize, serial: u64) -> Option<Run> {
        let is_current = self.runs.get(&index).is_some_and(|run| run.serial == serial);
        if is_current {
            self.runs.swap_remove(&index)
        } else {
            None
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
