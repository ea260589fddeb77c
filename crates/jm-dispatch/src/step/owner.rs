//! One owned step: its state, and the task that keeps drafts and copies going.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task::{self, JoinHandle},
};
use futures::{FutureExt, select};
use indexmap::IndexMap;
use jm_step::{Effects, FreeCapacity, StepAssembly, StepEvent};
use jm_types::{AttemptId, DurationMs, LogEvent, MemberId, Timestamp, TokenCount};

use super::registry::StepKey;
use crate::call::SharedDispatch;

/// Longest time between two looks at a step's drafts.
const REVIEW_INTERVAL_MS: DurationMs = DurationMs::new(100);

/// Bytes of a token, for the estimate of a draft's size.
const BYTES_PER_TOKEN: u64 = 4;

/// Drafts beyond the engines' windows that wait in the queues, so that no engine runs dry between two reviews.
const QUEUED_DRAFTS: usize = 8;

/// A step that this daemon owns.
pub(crate) struct OwnedStep {
    pub(crate) key: StepKey,
    assembly: Mutex<StepAssembly>,
    drafts: Mutex<IndexMap<AttemptId, JoinHandle<()>>>,
    readers: Mutex<Vec<Sender<()>>>,
    wake: Sender<()>,
    woken: Receiver<()>,
    touched_ms: AtomicU64,
    ended: AtomicBool,
    pub(crate) copy_holder: Mutex<Option<MemberId>>,
}

impl OwnedStep {
    pub(crate) fn new(key: StepKey, assembly: StepAssembly, now: Timestamp) -> Arc<Self> {
        let (wake, woken) = bounded(1);
        Arc::new(Self {
            key,
            assembly: Mutex::new(assembly),
            drafts: Mutex::default(),
            readers: Mutex::default(),
            wake,
            woken,
            touched_ms: AtomicU64::new(now.get()),
            ended: AtomicBool::new(false),
            copy_holder: Mutex::default(),
        })
    }

    pub(crate) fn assembly(&self) -> MutexGuard<'_, StepAssembly> {
        self.assembly.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drafts(&self) -> MutexGuard<'_, IndexMap<AttemptId, JoinHandle<()>>> {
        self.drafts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When a trainer last asked for the step.
    pub(crate) fn touched(&self) -> Timestamp {
        Timestamp::new(self.touched_ms.load(Ordering::Relaxed))
    }

    pub(crate) fn touch(&self, now: Timestamp) {
        self.touched_ms.fetch_max(now.get(), Ordering::Relaxed);
    }

    /// Whether the step was deleted or handed to another owner.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the step: drafts are cancelled, readers are told.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let drafts: Vec<_> = self.drafts().drain(..).collect();
        for (_, draft) in drafts {
            cancel(draft);
        }
        self.changed();
    }

    /// Receives a message after each change of what can be delivered.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.readers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        receiver
    }

    /// Wakes the step's task and its readers.
    pub(crate) fn changed(&self) {
        // A full channel already holds a wake-up that is not handled yet.
        let _ = self.wake.try_send(());
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.retain(|reader| !reader.is_closed());
        for reader in readers.iter() {
            let _ = reader.try_send(());
        }
    }

    /// Carries out what the assembly decided, copies excepted: those are sent by the step's task.
    pub(crate) fn carry_out(self: &Arc<Self>, dispatch: &SharedDispatch, effects: Effects) {
        for attempt in effects.cancel {
            let draft = self.drafts().swap_remove(&attempt);
            if let Some(draft) = draft {
                cancel(draft);
            }
        }
        for draft in effects.start {
            let attempt = draft.attempt;
            let task = task::spawn(super::drafts::run_draft(
                Arc::clone(dispatch),
                Arc::clone(self),
                draft,
            ));
            self.drafts().insert(attempt, task);
        }
        for event in &effects.events {
            self.log_event(dispatch, event);
        }
        if !effects.copy.is_empty() || !effects.events.is_empty() {
            self.changed();
        }
    }

    fn log_event(&self, dispatch: &SharedDispatch, event: &StepEvent) {
        let step = &self.key.step;
        match event {
            StepEvent::Reissued { slot, attempt } => {
                dispatch.node.metrics.reissued_drafts.inc();
                LogEvent::DraftReissued.write(format_args!("step {step} slot {slot} attempt {attempt}"));
            }
            StepEvent::Unusable { slot, reason, .. } => {
                LogEvent::SampleUnusable.write(format_args!("step {step} slot {slot}: {reason:?}"));
            }
            StepEvent::LateAnswer { .. } => {}
        }
    }

    /// Removes the task of a draft that has ended by itself.
    pub(crate) fn forget_draft(&self, attempt: AttemptId) {
        self.drafts().swap_remove(&attempt);
    }

    /// Starts drafts and sends copies until the step is complete or ended.
    pub(crate) async fn run(self: Arc<Self>, dispatch: SharedDispatch) {
        while !self.is_ended() && !self.assembly().is_complete() {
            let capacity = self.free_capacity(&dispatch);
            let effects = self.assembly().next_drafts(dispatch.node.now(), &capacity);
            self.carry_out(&dispatch, effects);
            super::copies::send_copies(&dispatch, &self).await;
            select! {
                _ = self.woken.recv().fuse() => {}
                () = task::sleep(REVIEW_INTERVAL_MS.as_std()).fuse() => {}
            }
        }
        if !self.is_ended() {
            super::copies::send_copies(&dispatch, &self).await;
            LogEvent::StepFinished.write(format_args!("step {}", self.key.step));
        }
    }

    /// Room for drafts by weight version: the windows of all engines over the size of a draft, less running drafts.
    fn free_capacity(&self, dispatch: &SharedDispatch) -> Vec<FreeCapacity> {
        let assembly = self.assembly();
        let spec = assembly.spec();
        let prompt_bytes = spec.prompts.iter().map(String::len).max().unwrap_or(0) as u64;
        let draft_tokens = (prompt_bytes / BYTES_PER_TOKEN + spec.max_tokens.get()).max(1);
        let mut running = assembly.status().running;
        let mut free = Vec::new();
        for known in dispatch.node.router.versions(&spec.service) {
            let places = places(known.window, draft_tokens);
            let used = running.min(places);
            running -= used;
            free.push(FreeCapacity {
                version: known.version,
                drafts: places - used,
            });
        }
        free
    }
}

fn places(window: TokenCount, draft_tokens: u64) -> usize {
    let places = usize::try_from(window.get() / draft_tokens).unwrap_or(usize::MAX);
    places.saturating_add(QUEUED_DRAFTS)
}

fn cancel(draft: JoinHandle<()>) {
    task::spawn(async move {
        draft.cancel().await;
    });
}
