//! Periodic checks for stalled runs and overdue batches, and progress reports.

use std::sync::Arc;

use async_std::task;
use jm_forward::{Catalog, RoutingTable, Target};
use jm_types::{BatchId, DurationMs, Timestamp};

use super::{
    Runner, RunnerState, end_runs,
    share::{Shares, item_requirements, service_targets},
    start::other_software,
    write::mark_writing,
};
use crate::{
    BatchProgress, EngineLoads, GenerationEnd, ItemRequirements, RewardQueue,
    owned::{OwnedBatch, Run},
};

impl Runner {
    /// Periodically reports how many engines can accept the waiting items, so that the cause of a late step can be
    /// found in the log.
    pub(super) fn report_progress(&self) {
        let now = self.now();
        let Some(routing) = self.deps.routing_source.routing() else {
            return;
        };
        let catalog = self.deps.routing_source.catalog();
        let mut guard = self.state();
        if now.since(guard.reported_at) < self.options.report_interval_ms {
            return;
        }
        guard.reported_at = now;
        let shares = Shares::new(&guard.owned, self.remote_work());
        let waiting = guard
            .owned
            .values()
            .filter(|owned| !owned.is_ended && has_waiting_items(owned, &guard.rewards));
        let reports: Vec<(BatchId, BatchProgress)> = waiting
            .filter_map(|owned| {
                let item = owned.plan.ready(now).next().unwrap_or(0);
                let targets = service_targets(&owned.spec, item, &routing, &catalog)?;
                let requirements = item_requirements(&owned.spec, item, &routing, &shares);
                let (engines, with_weights, with_capacity) = guard.loads.count(targets, requirements, now);
                let progress = BatchProgress {
                    waiting: owned.plan.waiting(),
                    running: owned.runs.len(),
                    scoring: guard.rewards.pending(&owned.spec.id),
                    listed: owned.listed.len(),
                    engines,
                    with_weights,
                    with_capacity,
                };
                Some((owned.spec.id.clone(), progress))
            })
            .collect();
        drop(guard);
        for (batch, progress) in reports {
            self.deps.events.progress(&batch, &progress);
        }
    }

    /// Stops runs that resumed a text at an engine which may run other software by now, so that their items begin anew.
    pub(super) fn stop_changed(&self) {
        let now = self.now();
        let catalog = self.deps.routing_source.catalog();
        let mut stopped = Vec::new();
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        for owned in owned.values_mut().filter(|owned| !owned.is_ended) {
            for item in owned.changed_runs(&catalog) {
                let Some(run) = owned.stop_run(item, now) else {
                    continue;
                };
                loads.run_ended(&run.target, run.tokens);
                let id = owned.spec.items[item].id.clone();
                stopped.push((owned.spec.id.clone(), id, run, owned.events(item)));
            }
        }
        drop(guard);
        for (batch, item, run, events) in stopped {
            let took = now.since(run.begun);
            self.report_failed_run(&batch, &item, &run, &other_software(), took, events);
        }
    }

    /// Stops runs that produce no events, so that their items continue on other engines.
    pub(super) fn stop_stalled(&self) {
        let now = self.now();
        let Some(routing) = self.deps.routing_source.routing() else {
            return;
        };
        let catalog = self.deps.routing_source.catalog();
        let mut stopped = Vec::new();
        let mut guard = self.state();
        let RunnerState { owned, loads, .. } = &mut *guard;
        for owned in owned.values_mut().filter(|owned| !owned.is_ended) {
            for item in self.stalled_items(owned, &routing, &catalog, loads, now) {
                let Some(run) = owned.stop_run(item, now) else {
                    continue;
                };
                owned.record_stall(item);
                loads.run_ended(&run.target, run.tokens);
                loads.record_failure(&run.target, now);
                stopped.push((
                    owned.spec.id.clone(),
                    owned.spec.items[item].id.clone(),
                    run,
                    owned.events(item),
                ));
            }
        }
        drop(guard);
        for (batch, item, run, events) in stopped {
            let reason = format!("no event for {}", now.since(run.last_progress));
            let end = GenerationEnd::Lost { reason };
            self.report_failed_run(&batch, &item, &run, &end, now.since(run.begun), events);
        }
    }

    fn stalled_items(
        &self,
        owned: &OwnedBatch,
        routing: &RoutingTable,
        catalog: &Catalog,
        loads: &EngineLoads,
        now: Timestamp,
    ) -> Vec<usize> {
        let options = &self.options;
        // The limit doubles with each stalled run, so that a text also ends when all engines are slow but sound.
        let limit = |item: usize, run: &Run| {
            let base = match run.events {
                0 => options.first_event_stall_ms,
                _ => options.stall_ms,
            };
            DurationMs::new(base.get() << owned.stalls(item).min(options.max_stall_doublings))
        };
        let late = owned
            .runs
            .iter()
            .filter(|(item, run)| now.since(run.last_progress) >= limit(**item, run));
        let local_only = Shares::without_remote_work();
        let is_stalled = |(item, run): &(&usize, &Run)| {
            let others = |target: &&Target| target.run != run.target;
            let requirements = ItemRequirements {
                software: owned.alternatives(**item, now.since(run.last_progress)),
                ..item_requirements(&owned.spec, **item, routing, &local_only)
            };
            let has_alternative = service_targets(&owned.spec, **item, routing, catalog)
                .is_some_and(|targets| loads.pick(targets.filter(others), requirements, now).is_some());
            let extended_ms = limit(**item, run).get() * options.no_alternative_stall_factor;
            let extended_limit = DurationMs::new(extended_ms);
            has_alternative || now.since(run.last_progress) >= extended_limit
        };
        late.filter(is_stalled).map(|(item, _)| *item).collect()
    }

    /// Gives up items of batches whose deadline has passed or whose route is gone.
    pub(super) fn expire_overdue(self: &Arc<Self>) {
        let unix_ms = self.deps.wall_clock.unix_ms();
        let now = self.now();
        let routing = self.deps.routing_source.routing();
        let mut guard = self.state();
        let RunnerState {
            owned,
            loads,
            rewards,
            ..
        } = &mut *guard;
        let mut writes = Vec::new();
        for owned in owned
            .values_mut()
            .filter(|owned| !owned.is_ended && !owned.is_finished())
        {
            let is_late = owned.spec.may_give_up(unix_ms);
            let has_waited = now.since(owned.owned_since) >= self.options.missing_route_timeout_ms;
            let has_no_route = routing.as_ref().is_some_and(|routing| {
                let path = owned.spec.items.first().map_or("", |item| item.path.as_str());
                routing.route(&owned.spec.host, path).is_none()
            });
            let must_expire = is_late || (has_waited && has_no_route);
            if !must_expire {
                continue;
            }
            let runs = owned.stop_all();
            end_runs(loads, &runs);
            for item in 0..owned.spec.items.len() {
                owned.expire(item);
            }
            rewards.retain(|key| key.batch != owned.spec.id);
            if mark_writing(owned) {
                writes.push(owned.spec.id.clone());
            }
        }
        drop(guard);
        for batch in writes {
            self.deps.events.expired(
                &batch,
                "all open items",
                "the deadline has passed or the route was removed",
            );
            task::spawn(Arc::clone(self).write_results(batch));
        }
    }
}

/// Whether items of the batch wait for an engine or for their scores.
fn has_waiting_items(owned: &OwnedBatch, rewards: &RewardQueue) -> bool {
    owned.plan.waiting() > 0 || rewards.pending(&owned.spec.id) > 0
}
