//! Connects the scheduler, which assigns requests to targets, with the tasks that wait for an assignment.

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

/// Interval at which the scheduler is polled while requests wait, because it spaces the starts of training requests.
const DISPATCH_INTERVAL_MS: DurationMs = DurationMs::new(10);

/// Number of dispatch intervals between two searches for expired requests.
const EXPIRE_EVERY: u64 = 25;

enum QueueDecision {
    Run(TargetId),
    Expired(ResultCode),
}

/// The request queue of one dispatch daemon.
pub(crate) struct Queue {
    node: Arc<Node>,
    scheduler: Mutex<Scheduler>,
    waiting: Mutex<IndexMap<RequestId, Sender<QueueDecision>>>,
}

impl Queue {
    pub(crate) fn new(node: Arc<Node>, options: SchedulerOptions) -> Arc<Self> {
        Arc::new(Self {
            node,
            scheduler: Mutex::new(Scheduler::new(options)),
            waiting: Mutex::default(),
        })
    }

    /// Locks the scheduler, for reports and updates. Call [`Self::dispatch_ready`] after a change that can start a
    /// request.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, IndexMap<RequestId, Sender<QueueDecision>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the scheduler assigns the request to a target.
    pub(crate) async fn wait_for_target(
        self: &Arc<Self>,
        request: QueuedRequest,
    ) -> Result<RunningRequest, Failure> {
        let id = request.id;
        let (sender, receiver) = bounded(1);
        self.waiting().insert(id, sender);
        let waiting = WaitingRequest {
            queue: Arc::clone(self),
            id,
            assigned: false,
        };
        let submitted = self.scheduler().submit(request, self.node.now());
        submitted.map_err(|refusal| Failure::new(refusal.code, refusal.message))?;
        self.dispatch_ready();
        match receiver.recv().await {
            Ok(QueueDecision::Run(target)) => Ok(waiting.into_running(target)),
            Ok(QueueDecision::Expired(code)) => Err(expired(code)),
            Err(_) => Err(Failure::new(ResultCode::Stopping, "the request queue was closed")),
        }
    }

    /// Starts all requests that can start now and notifies their tasks of the assigned targets.
    pub(crate) fn dispatch_ready(&self) {
        loop {
            let assignment = self.scheduler().next(self.node.now());
            let Some(assignment) = assignment else { return };
            let waiter = self.waiting().swap_remove(&assignment.request);
            let assigned =
                waiter.is_some_and(|waiter| waiter.try_send(QueueDecision::Run(assignment.target)).is_ok());
            if !assigned {
                self.scheduler().cancel(assignment.request);
            }
        }
    }

    fn expire(&self) {
        let expired = self.scheduler().expire(self.node.now());
        for request in expired {
            if let Some(waiter) = self.waiting().swap_remove(&request.request) {
                // The waiter may have been dropped in the meantime and needs no notification then.
                let _ = waiter.try_send(QueueDecision::Expired(request.code));
            }
        }
    }

    /// Polls the scheduler until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = 0_u64;
        loop {
            task::sleep(DISPATCH_INTERVAL_MS.as_std()).await;
            if self.waiting().is_empty() {
                continue;
            }
            ticks += 1;
            if ticks.is_multiple_of(EXPIRE_EVERY) {
                self.expire();
            }
            self.dispatch_ready();
        }
    }
}

fn expired(code: ResultCode) -> Failure {
    let message = match code {
        ResultCode::DeadlinePassed => "the deadline passed while the request was queued",
        _ => "no target can run the request any more",
    };
    Failure::new(code, message)
}

/// A queued request. Dropping it cancels the request.
struct WaitingRequest {
    queue: Arc<Queue>,
    id: RequestId,
    assigned: bool,
}

impl WaitingRequest {
    fn into_running(mut self, target: TargetId) -> RunningRequest {
        self.assigned = true;
        RunningRequest {
            queue: Arc::clone(&self.queue),
            id: self.id,
            target,
            finished: false,
        }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if !self.assigned {
            self.queue.waiting().swap_remove(&self.id);
            self.queue.scheduler().cancel(self.id);
            self.queue.dispatch_ready();
        }
    }
}

/// A request that occupies a part of its target's window. Dropping it without [`RunningRequest::finish`] ends the
/// request as cancelled.
pub(crate) struct RunningRequest {
    queue: Arc<Queue>,
    id: RequestId,
    pub(crate) target: TargetId,
    finished: bool,
}

impl RunningRequest {
    /// Records newly generated tokens.
    pub(crate) fn progress(&self, tokens: TokenCount) {
        self.queue
            .scheduler()
            .progress(self.id, tokens, self.queue.node.now());
    }

    /// Ends the request and frees its part of the target's window.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        self.finished = true;
        self.queue
            .scheduler()
            .finish(self.id, outcome, self.queue.node.now());
        self.queue.dispatch_ready();
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.finished {
            self.end(Outcome::Cancelled);
        }
    }
}
