//! State of an owned step, and the task that starts its drafts and sends its copies.

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

/// Maximum time between two reviews of a step's drafts.
const REVIEW_INTERVAL_MS: DurationMs = DurationMs::new(100);

/// Assumed bytes per token, for the estimate of a draft's size.
const BYTES_PER_TOKEN: u64 = 4;

/// Number of drafts queued beyond the engines' windows, so that no engine becomes idle between two reviews.
const QUEUED_DRAFTS: usize = 8;

/// A step that this daemon owns.
pub(crate) struct OwnedStep {
    pub(crate) key: StepKey,
    assembly: Mutex<StepAssembly>,
    drafts: Mutex<IndexMap<AttemptId, JoinHandle<()>>>,
    readers: Mutex<Vec<Sender<()>>>,
    wake: Sender<()>,
    wake_receiver: Receiver<()>,
    last_access_ms: AtomicU64,
    ended: AtomicBool,
    /// The daemon that holds the copy. `None` before one is chosen and while no other daemon can hold a copy.
    pub(crate) copy_holder: Mutex<Option<MemberId>>,
}

impl OwnedStep {
    pub(crate) fn new(key: StepKey, assembly: StepAssembly, now: Timestamp) -> Arc<Self> {
        let (wake, wake_receiver) = bounded(1);
        Arc::new(Self {
            key,
            assembly: Mutex::new(assembly),
            drafts: Mutex::default(),
            readers: Mutex::default(),
            wake,
            wake_receiver,
            last_access_ms: AtomicU64::new(now.get()),
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

    /// Time of the last request for the step.
    pub(crate) fn last_access(&self) -> Timestamp {
        Timestamp::new(self.last_access_ms.load(Ordering::Relaxed))
    }

    pub(crate) fn record_access(&self, now: Timestamp) {
        self.last_access_ms.fetch_max(now.get(), Ordering::Relaxed);
    }

    /// Whether the step was deleted or taken over by another owner.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the step, cancels its drafts and notifies its readers.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let drafts: Vec<_> = self.drafts().drain(..).collect();
        for (_, draft) in drafts {
            cancel(draft);
        }
        self.notify();
    }

    /// Returns a channel that receives a message after each change of the step.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.readers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        receiver
    }

    /// Notifies the step's task and its readers of a change.
    pub(crate) fn notify(&self) {
        // A full channel already holds a pending wake-up.
        let _ = self.wake.try_send(());
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.retain(|reader| !reader.is_closed());
        for reader in readers.iter() {
            let _ = reader.try_send(());
        }
    }

    /// Applies the effects that the assembly decided, except copies, which the step's task sends.
    pub(crate) fn apply_effects(self: &Arc<Self>, dispatch: &SharedDispatch, effects: Effects) {
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
            self.notify();
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

    /// Removes the task of a completed draft.
    pub(crate) fn remove_draft(&self, attempt: AttemptId) {
        self.drafts().swap_remove(&attempt);
    }

    /// Starts drafts and sends copies until the step is complete or ended.
    pub(crate) async fn run(self: Arc<Self>, dispatch: SharedDispatch) {
        while !self.is_ended() && !self.assembly().is_complete() {
            let capacity = self.free_capacity(&dispatch);
            let effects = self.assembly().next_drafts(dispatch.node.now(), &capacity);
            self.apply_effects(&dispatch, effects);
            super::copies::send_copies(&dispatch, &self).await;
            select! {
                _ = self.wake_receiver.recv().fuse() => {}
                () = task::sleep(REVIEW_INTERVAL_MS.as_std()).fuse() => {}
            }
        }
        if !self.is_ended() {
            super::copies::send_copies(&dispatch, &self).await;
            LogEvent::StepFinished.write(format_args!("step {}", self.key.step));
        }
    }

    /// Free capacity for drafts by weight version: the window of all engines divided by the size of a draft, plus
    /// [`QUEUED_DRAFTS`], minus the running drafts.
    fn free_capacity(&self, dispatch: &SharedDispatch) -> Vec<FreeCapacity> {
        let assembly = self.assembly();
        let spec = assembly.spec();
        let prompt_bytes = spec.prompts.iter().map(String::len).max().unwrap_or(0) as u64;
        let draft_tokens = (prompt_bytes / BYTES_PER_TOKEN + spec.max_tokens.get()).max(1);
        let mut running = assembly.status().running;
        let mut free = Vec::new();
        for capacity in dispatch.node.router.versions(&spec.service) {
            let max_drafts = max_drafts(capacity.window, draft_tokens);
            let used = running.min(max_drafts);
            running -= used;
            free.push(FreeCapacity {
                version: capacity.version,
                drafts: max_drafts - used,
            });
        }
        free
    }
}

fn max_drafts(window: TokenCount, draft_tokens: u64) -> usize {
    let fitting = usize::try_from(window.get() / draft_tokens).unwrap_or(usize::MAX);
    fitting.saturating_add(QUEUED_DRAFTS)
}

fn cancel(draft: JoinHandle<()>) {
    task::spawn(async move {
        draft.cancel().await;
    });
}
