//! Waiting for a place on a target: connects the scheduler, which decides, with the tasks that wait.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::{
    channel::{Sender, bounded},
    task,
};
use indexmap::IndexMap;
use jm_node::Node;
use jm_route::{Outcome, QueuedRequest, Scheduler, SchedulerOptions};
use jm_types::{DurationMs, RequestId, ResultCode, TargetId, TokenCount};

use crate::sink::Failure;

/// Interval at which the scheduler is asked again while requests wait; training starts are spaced in time.
const PUMP_INTERVAL_MS: DurationMs = DurationMs::new(10);

/// Pump intervals between two searches for requests whose deadline passed.
const EXPIRE_EVERY: u64 = 25;

enum Grant {
    Run(TargetId),
    Expired(ResultCode),
}

/// The queue of one dispatch daemon.
pub(crate) struct Queue {
    node: Arc<Node>,
    scheduler: Mutex<Scheduler>,
    waiting: Mutex<IndexMap<RequestId, Sender<Grant>>>,
}

impl Queue {
    pub(crate) fn new(node: Arc<Node>, options: SchedulerOptions) -> Arc<Self> {
        Arc::new(Self {
            node,
            scheduler: Mutex::new(Scheduler::new(options)),
            waiting: Mutex::default(),
        })
    }

    /// The scheduler, for its owner's reports. Call [`Self::pump`] after a change that can start a request.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, IndexMap<RequestId, Sender<Grant>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a target may run the request.
    pub(crate) async fn wait_turn(self: &Arc<Self>, request: QueuedRequest) -> Result<Turn, Failure> {
        let id = request.id;
        let (sender, receiver) = bounded(1);
        self.waiting().insert(id, sender);
        let place = Place {
            queue: Arc::clone(self),
            id,
            granted: false,
        };
        let submitted = self.scheduler().submit(request, self.node.now());
        submitted.map_err(|refusal| Failure::new(refusal.code, refusal.message))?;
        self.pump();
        match receiver.recv().await {
            Ok(Grant::Run(target)) => Ok(place.into_turn(target)),
            Ok(Grant::Expired(code)) => Err(expired(code)),
            Err(_) => Err(Failure::new(ResultCode::Stopping, "the queue was closed")),
        }
    }

    /// Starts every request that can start.
    pub(crate) fn pump(&self) {
        loop {
            let assignment = self.scheduler().next(self.node.now());
            let Some(assignment) = assignment else { return };
            let waiter = self.waiting().swap_remove(&assignment.request);
            let granted = waiter.is_some_and(|waiter| waiter.try_send(Grant::Run(assignment.target)).is_ok());
            if !granted {
                self.scheduler().cancel(assignment.request);
            }
        }
    }

    fn expire(&self) {
        let expired = self.scheduler().expire(self.node.now());
        for request in expired {
            if let Some(waiter) = self.waiting().swap_remove(&request.request) {
                // The waiter may have left in the meantime; it needs no answer then.
                let _ = waiter.try_send(Grant::Expired(request.code));
            }
        }
    }

    /// Keeps requests moving until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = 0_u64;
        loop {
            task::sleep(PUMP_INTERVAL_MS.as_std()).await;
            if self.waiting().is_empty() {
                continue;
            }
            ticks += 1;
            if ticks.is_multiple_of(EXPIRE_EVERY) {
                self.expire();
            }
            self.pump();
        }
    }
}

fn expired(code: ResultCode) -> Failure {
    let message = match code {
        ResultCode::DeadlinePassed => "the deadline passed while the request was waiting for a target",
        _ => "no live target is left that may run the request",
    };
    Failure::new(code, message)
}

/// A place in the queue. Dropping it cancels the request.
struct Place {
    queue: Arc<Queue>,
    id: RequestId,
    granted: bool,
}

impl Place {
    fn into_turn(mut self, target: TargetId) -> Turn {
        self.granted = true;
        Turn {
            queue: Arc::clone(&self.queue),
            id: self.id,
            target,
            finished: false,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.granted {
            self.queue.waiting().swap_remove(&self.id);
            self.queue.scheduler().cancel(self.id);
            self.queue.pump();
        }
    }
}

/// A running request. Dropping it without [`Turn::finish`] counts as cancelled.
pub(crate) struct Turn {
    queue: Arc<Queue>,
    id: RequestId,
    pub(crate) target: TargetId,
    finished: bool,
}

impl Turn {
    /// Records generated tokens.
    pub(crate) fn progress(&self, tokens: TokenCount) {
        self.queue
            .scheduler()
            .progress(self.id, tokens, self.queue.node.now());
    }

    /// Frees the place on the target.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        self.finished = true;
        self.queue
            .scheduler()
            .finish(self.id, outcome, self.queue.node.now());
        self.queue.pump();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.finished {
            self.end(Outcome::Cancelled);
        }
    }
}
