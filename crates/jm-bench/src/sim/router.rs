//! The interface between the harness and a router, and the naive router.

use std::collections::{HashMap, VecDeque};

use jm_route::{
    Assignment, CacheEvent, LoadReport, Outcome, QueuedRequest, Refusal, Scheduler, ServiceSummary,
    TargetSpec,
};
use jm_types::{RequestId, TargetId, Timestamp, TokenCount};

/// Routing decisions of one dispatch daemon, as the harness calls them.
pub trait Router {
    /// See [`Scheduler::set_targets`].
    fn set_targets(&mut self, specs: Vec<TargetSpec>, now: Timestamp);
    /// See [`Scheduler::submit`].
    fn submit(&mut self, request: QueuedRequest, now: Timestamp) -> Result<(), Refusal>;
    /// See [`Scheduler::next`].
    fn next(&mut self, now: Timestamp) -> Option<Assignment>;
    /// See [`Scheduler::progress`].
    fn progress(&mut self, request: RequestId, tokens: TokenCount, now: Timestamp);
    /// See [`Scheduler::finish`].
    fn finish(&mut self, request: RequestId, outcome: Outcome, now: Timestamp);
    /// Removes the queued requests whose deadline has passed and returns them.
    fn expire(&mut self, now: Timestamp) -> Vec<RequestId>;
    /// See [`Scheduler::mark_leaving`].
    fn mark_leaving(&mut self, _target: &TargetId) {}
    /// See [`Scheduler::cache_event`].
    fn cache_event(&mut self, _target: &TargetId, _event: &CacheEvent) {}
    /// See [`Scheduler::load_report`].
    fn load_report(&mut self, _target: &TargetId, _report: LoadReport) {}
    /// See [`Scheduler::summary`].
    fn summary(&self) -> Vec<ServiceSummary> {
        Vec::new()
    }
    /// The scheduler behind this router; `None` for the naive router.
    fn scheduler(&self) -> Option<&Scheduler> {
        None
    }
}

impl Router for Scheduler {
    fn set_targets(&mut self, specs: Vec<TargetSpec>, now: Timestamp) {
        Self::set_targets(self, specs, now);
    }

    fn submit(&mut self, request: QueuedRequest, now: Timestamp) -> Result<(), Refusal> {
        Self::submit(self, request, now)
    }

    fn next(&mut self, now: Timestamp) -> Option<Assignment> {
        Self::next(self, now)
    }

    fn progress(&mut self, request: RequestId, tokens: TokenCount, now: Timestamp) {
        Self::progress(self, request, tokens, now);
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome, now: Timestamp) {
        Self::finish(self, request, outcome, now);
    }

    fn expire(&mut self, now: Timestamp) -> Vec<RequestId> {
        Self::expire(self, now)
            .into_iter()
            .map(|expired| expired.request)
            .collect()
    }

    fn mark_leaving(&mut self, target: &TargetId) {
        Self::mark_leaving(self, target);
    }

    fn cache_event(&mut self, target: &TargetId, event: &CacheEvent) {
        Self::cache_event(self, target, event);
    }

    fn load_report(&mut self, target: &TargetId, report: LoadReport) {
        Self::load_report(self, target, report);
    }

    fn summary(&self) -> Vec<ServiceSummary> {
        Self::summary(self)
    }

    fn scheduler(&self) -> Option<&Scheduler> {
        Some(self)
    }
}

/// The baseline: one FIFO queue, round-robin over targets, a fixed token window, no classes, shares or affinity.
#[derive(Debug, Default)]
pub struct NaiveRouter {
    waiting: VecDeque<(RequestId, u64)>,
    targets: Vec<(TargetId, u64, u64)>,
    running: HashMap<RequestId, (TargetId, u64)>,
    next_index: usize,
}

impl Router for NaiveRouter {
    fn set_targets(&mut self, specs: Vec<TargetSpec>, _now: Timestamp) {
        let old = std::mem::take(&mut self.targets);
        let used = |id: &TargetId| {
            old.iter()
                .find(|(known, ..)| known == id)
                .map_or(0, |(_, used, _)| *used)
        };
        self.targets = specs
            .into_iter()
            .filter(|spec| !spec.leaving)
            .map(|spec| (spec.id.clone(), used(&spec.id), spec.window.max))
            .collect();
    }

    fn submit(&mut self, request: QueuedRequest, _now: Timestamp) -> Result<(), Refusal> {
        let tokens = request.prompt_tokens.get() + request.max_tokens.get();
        self.waiting.push_back((request.id, tokens));
        Ok(())
    }

    fn next(&mut self, _now: Timestamp) -> Option<Assignment> {
        let (request, tokens) = self.waiting.front().copied()?;
        let count = self.targets.len();
        let index = (0..count)
            .map(|step| (self.next_index + step) % count)
            .find(|index| self.targets[*index].1 + tokens <= self.targets[*index].2)?;
        self.next_index = index + 1;
        self.waiting.pop_front();
        let (target, used, _) = &mut self.targets[index];
        *used += tokens;
        self.running.insert(request, (target.clone(), tokens));
        Some(Assignment {
            request,
            target: target.clone(),
        })
    }

    fn progress(&mut self, _request: RequestId, _tokens: TokenCount, _now: Timestamp) {}

    fn finish(&mut self, request: RequestId, _outcome: Outcome, _now: Timestamp) {
        let Some((target, tokens)) = self.running.remove(&request) else {
            return;
        };
        if let Some(found) = self.targets.iter_mut().find(|(known, ..)| *known == target) {
            found.1 = found.1.saturating_sub(tokens);
        }
    }

    fn expire(&mut self, _now: Timestamp) -> Vec<RequestId> {
        Vec::new()
    }
}
