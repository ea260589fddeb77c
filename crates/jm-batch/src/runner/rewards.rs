//! Sends reward calls and turns scored texts into results.

use std::sync::Arc;

use async_std::{future::timeout, task};
use futures::{
    FutureExt,
    future::{AbortRegistration, Abortable, Aborted, Either, select},
};
use indexmap::IndexMap;
use jm_forward::{Route, RoutingTable, Target};
use jm_types::{BatchId, DurationMs, ServiceId};

use super::{Runner, RunnerState, share::Shares, start::time_left, write::mark_writing};
use crate::{
    BatchSpec, RewardAttempt, RewardCall, RewardEnd, RewardKey, RewardPass, RewardStart, RewardUrgency,
    owned::OwnedBatch,
};

/// One attempt of a reward call.
struct RewardRun {
    key: RewardKey,
    serial: u64,
    target: Target,
    hedge_after_ms: DurationMs,
    spec: Arc<BatchSpec>,
    /// Deadline that the target is given.
    time_left_ms: DurationMs,
    /// Number of failed attempts after which the item is given up.
    max_failures: usize,
}

impl RewardRun {
    /// The attempt that `start` asks for, with what stops it. `None` if the batch or the route of the call is gone.
    fn new(
        start: RewardStart,
        owned: &IndexMap<BatchId, OwnedBatch>,
        routing: &RoutingTable,
        unix_ms: u64,
    ) -> Option<(Self, AbortRegistration)> {
        let spec = Arc::clone(&owned.get(&start.key.batch)?.spec);
        let route = reward_route(&spec, start.key.item, routing)?;
        let run = Self {
            key: start.key,
            serial: start.serial,
            target: start.target,
            hedge_after_ms: start.hedge_after_ms,
            time_left_ms: time_left(&spec, unix_ms).min(route.timeout_ms),
            max_failures: route.max_attempts.max(spec.max_attempts).max(1),
            spec,
        };
        Some((run, start.registration))
    }

    fn call(&self) -> Option<&RewardCall> {
        self.spec.items[self.key.item].reward.as_ref()
    }

    fn item_id(&self) -> &str {
        &self.spec.items[self.key.item].id
    }
}

impl Runner {
    /// Sends the reward calls that targets have room for.
    pub(super) fn start_rewards(self: &Arc<Self>) {
        let Some(routing) = self.deps.routing_source.routing() else {
            return;
        };
        let catalog = self.deps.routing_source.catalog();
        let unix_ms = self.deps.wall_clock.unix_ms();
        let now = self.now();
        let mut guard = self.state();
        if guard.is_unconfirmed || !guard.rewards.has_waiting(now) {
            return;
        }
        let RunnerState { owned, rewards, .. } = &mut *guard;
        let shares = Shares::new(owned, self.remote_work());
        let pass = RewardPass {
            now,
            catalog: &catalog,
            own_work: shares.own_work(),
            remote_work: shares.remote_work(),
        };
        let urgencies: IndexMap<&BatchId, Vec<RewardUrgency>> = owned
            .iter()
            .map(|(batch, owned)| (batch, owned.reward_urgencies(now, unix_ms)))
            .collect();
        let starts = rewards.start_ready(
            &pass,
            |key| urgencies[&key.batch][key.item],
            |key| reward_service(&owned.get(&key.batch)?.spec, key.item, &routing),
        );
        let runs = starts.into_iter();
        let runs: Vec<_> = runs
            .filter_map(|start| RewardRun::new(start, owned, &routing, unix_ms))
            .collect();
        drop(guard);
        for (run, registration) in runs {
            self.spawn_reward(run, registration);
        }
    }

    fn spawn_reward(self: &Arc<Self>, run: RewardRun, registration: AbortRegistration) {
        let runner = Arc::clone(self);
        task::spawn(async move { runner.run_reward(run, registration).await });
    }

    /// Makes one attempt, and asks for a hedged one each time the hedge delay passes without an answer.
    async fn run_reward(self: Arc<Self>, run: RewardRun, registration: AbortRegistration) {
        let Some(call) = run.call().cloned() else { return };
        let client = Arc::clone(&self.deps.rewards);
        let (target, limit_ms) = (run.target.clone(), run.time_left_ms);
        let attempt = async move {
            let answer = client.score(&target, &call, limit_ms);
            timeout(limit_ms.as_std(), answer)
                .await
                .unwrap_or_else(|_| RewardEnd::Lost {
                    reason: format!("no answer within {limit_ms}"),
                })
        };
        let mut attempt = Abortable::new(attempt, registration).boxed();
        let end: Result<RewardEnd, Aborted> = loop {
            let hedge_delay = task::sleep(run.hedge_after_ms.as_std()).boxed();
            match select(attempt, hedge_delay).await {
                Either::Left((end, _)) => break end,
                Either::Right(((), pending)) => attempt = pending,
            }
            self.hedge_reward(&run);
        };
        // A stopped attempt belongs to a call that is scored already or not needed any more.
        if let Ok(end) = end {
            self.on_reward_end(&run, end);
        }
    }

    /// Sends a slow call to a second target.
    fn hedge_reward(self: &Arc<Self>, slow: &RewardRun) {
        let Some(routing) = self.deps.routing_source.routing() else {
            return;
        };
        let catalog = self.deps.routing_source.catalog();
        let key = &slow.key;
        let Some(service) = reward_service(&slow.spec, key.item, &routing) else {
            return;
        };
        let unix_ms = self.deps.wall_clock.unix_ms();
        let mut guard = self.state();
        if guard.is_unconfirmed {
            return;
        }
        let RunnerState { owned, rewards, .. } = &mut *guard;
        let shares = Shares::new(owned, self.remote_work());
        let pass = RewardPass {
            now: self.now(),
            catalog: &catalog,
            own_work: shares.own_work(),
            remote_work: shares.remote_work(),
        };
        let hedged = rewards.hedge(key, slow.serial, &pass, &service);
        let run = hedged.and_then(|start| RewardRun::new(start, owned, &routing, unix_ms));
        drop(guard);
        if let Some((run, registration)) = run {
            let (first, second) = (&slow.target.run, &run.target.run);
            let waited = slow.hedge_after_ms;
            self.deps
                .events
                .reward_hedged(&key.batch, slow.item_id(), first, second, waited);
            self.spawn_reward(run, registration);
        }
    }

    fn on_reward_end(self: &Arc<Self>, run: &RewardRun, end: RewardEnd) {
        let key = &run.key;
        let now = self.now();
        let mut guard = self.state();
        let RunnerState { owned, rewards, .. } = &mut *guard;
        let Some(ended) = rewards.attempt_ended(key, run.serial, &end, now) else {
            return;
        };
        let Some(owned) = owned.get_mut(&key.batch) else {
            return;
        };
        let mut is_expired = false;
        match &end {
            RewardEnd::Scored(score) => owned.finish(key.item, Some(score.clone())),
            RewardEnd::Failed { .. } => {
                is_expired = owned.record_reward_failure(key.item) >= run.max_failures;
            }
            RewardEnd::NotRun { .. } | RewardEnd::Unsent { .. } | RewardEnd::Lost { .. } => {}
        }
        if is_expired {
            owned.expire(key.item);
        }
        if !owned.is_scoring(key.item) {
            rewards.remove(key);
        }
        let must_write = mark_writing(owned);
        drop(guard);
        self.deps.events.reward_attempt_ended(&RewardAttempt {
            batch: &key.batch,
            item: run.item_id(),
            call: run.call().map_or("", |call| call.id.as_str()),
            target: &ended.target,
            end: &end,
            waited: ended.waited,
            took: ended.took,
            attempts: ended.attempts,
        });
        if is_expired {
            let reason = "too many attempts of the reward call failed";
            self.deps.events.expired(&key.batch, run.item_id(), reason);
        }
        if must_write {
            task::spawn(Arc::clone(self).write_results(key.batch.clone()));
        }
        self.wake();
    }
}

fn reward_route<'a>(spec: &BatchSpec, item: usize, routing: &'a RoutingTable) -> Option<&'a Route> {
    let call = spec.items[item].reward.as_ref()?;
    routing.route(&call.host, &call.path)
}

fn reward_service(spec: &BatchSpec, item: usize, routing: &RoutingTable) -> Option<ServiceId> {
    let call = spec.items[item].reward.as_ref()?;
    reward_route(spec, item, routing)?.service_for(&call.id).cloned()
}
