//! Rollout of the newest weight versions to the engines of a zone.
//!
//! Each zone has its own lease, so that several control daemons share the work. Load requests and orders to all
//! engines run concurrently, so one slow engine does not delay the others.

mod engine;

use std::{sync::Arc, time::Duration};

use async_std::task;
use async_trait::async_trait;
use futures::{FutureExt, StreamExt, future::BoxFuture, select, stream::FuturesUnordered};
use indexmap::{IndexMap, IndexSet};
use jm_config::{ActiveConfig, Target, TargetState};
use jm_node::OrderedTargets;
use jm_plan::{Rollout, RolloutEngine, RolloutOptions, SwapResult, WeightOrder};
use jm_types::{DurationMs, LogEvent, ModelId, Revision, TargetId, Timestamp, WeightVersion, ZoneId};

use crate::{
    duty::{DutyContext, DutyWork},
    error::DutyError,
    guarded::Term,
};
use engine::{LoadAnswer, SWAP_TIMEOUT_MS, SwapOutcome, order_version, read_load};

/// Interval at which the weight store is polled for new versions.
const VERSIONS_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Interval between two load requests to an engine. Answers to orders also contain the version, so load requests are
/// only needed to detect engines that lost it. The interval limits the load of a zone at the target size, which has
/// about 1,100 engines.
const LOAD_INTERVAL_MS: DurationMs = DurationMs::new(10_000);

/// Maximum age of the state that a load response may reflect. Responses to requests sent within this time after a swap
/// are ignored, because they may show the version before the swap.
const MAX_LOAD_AGE_MS: DurationMs = DurationMs::new(3_000);

/// Time for which a round handles answers, once before and once after it sends new orders.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Divisor of the number of engines that may always swap: one in 4 may do so even when live requests use all engines.
/// Otherwise a busy zone would never load new weights.
const MIN_SWAPPING_DIVISOR: usize = 4;

/// An engine of the zone.
struct Engine {
    target: Target,
    model: ModelId,
    /// Last reported version, 0 before the first report.
    version: WeightVersion,
    swapped_at: Option<Timestamp>,
    next_load: Timestamp,
}

/// Inputs from which the list of engines was built.
struct EngineSource {
    revision: Revision,
    ordered: Arc<OrderedTargets>,
}

/// Rollout of the newest version of a model.
struct ModelRollout {
    version: WeightVersion,
    rollout: Rollout,
    is_logged: bool,
}

/// An answer of an engine to a load request or an order.
enum Answer {
    Load {
        target: TargetId,
        requested_at: Timestamp,
        load: Option<LoadAnswer>,
    },
    Swap {
        order: WeightOrder,
        model: ModelId,
        swap: SwapOutcome,
    },
}

/// State of the holder: engines and rollouts of its zone.
pub(crate) struct WeightsWork {
    zone: ZoneId,
    /// Inputs of the current list of engines, `None` before it is first built.
    source: Option<EngineSource>,
    engines: IndexMap<TargetId, Engine>,
    /// Whether engines or rollouts have changed since orders were last computed.
    has_changes: bool,
    rollouts: IndexMap<ModelId, ModelRollout>,
    next_version_poll: Timestamp,
    pending: FuturesUnordered<BoxFuture<'static, Answer>>,
}

#[async_trait]
impl DutyWork for WeightsWork {
    async fn start_term(context: &DutyContext, _term: &Term) -> Result<Self, DutyError> {
        Ok(Self {
            zone: context.zone.clone(),
            source: None,
            engines: IndexMap::new(),
            has_changes: true,
            rollouts: IndexMap::new(),
            next_version_poll: context.node.now(),
            pending: FuturesUnordered::new(),
        })
    }

    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        self.refresh_engines(context);
        self.request_loads(context);
        self.read_versions(context, term).await?;
        self.handle_answers(context).await;
        term.check()?;
        self.send_orders(context, term);
        self.handle_answers(context).await;
        Ok(())
    }
}

impl WeightsWork {
    /// Rebuilds the list of engines of the zone when the configuration or the ordered targets have changed.
    fn refresh_engines(&mut self, context: &DutyContext) {
        let config = context.node.config.active();
        let ordered = context.node.ordered_targets.current();
        let is_current = |source: &EngineSource| {
            source.revision == config.revision() && Arc::ptr_eq(&source.ordered, &ordered)
        };
        if self.source.as_ref().is_some_and(is_current) {
            return;
        }
        let mut previous = std::mem::take(&mut self.engines);
        for target in ordered.merge(&config) {
            if target.zone != self.zone || target.state == TargetState::Leaving {
                continue;
            }
            let Some(model) = model_of(&config, &target) else {
                continue;
            };
            let engine = previous.swap_remove(&target.id);
            let engine =
                engine.filter(|engine| engine.model == model && engine.target.address == target.address);
            let engine = Engine {
                version: engine
                    .as_ref()
                    .map_or(WeightVersion::new(0), |engine| engine.version),
                swapped_at: engine.as_ref().and_then(|engine| engine.swapped_at),
                next_load: engine.map_or(context.node.now(), |engine| engine.next_load),
                target,
                model,
            };
            self.engines.insert(engine.target.id.clone(), engine);
        }
        let models: IndexSet<ModelId> = self.models();
        self.rollouts.retain(|model, _| models.contains(model));
        self.has_changes = true;
        self.source = Some(EngineSource {
            revision: config.revision(),
            ordered,
        });
    }

    fn models(&self) -> IndexSet<ModelId> {
        self.engines.values().map(|engine| engine.model.clone()).collect()
    }

    fn request_loads(&mut self, context: &DutyContext) {
        let now = context.node.now();
        for engine in self.engines.values_mut().filter(|engine| engine.next_load <= now) {
            engine.next_load = now.after(LOAD_INTERVAL_MS);
            let client = context.node.client.clone();
            let (target, address) = (engine.target.id.clone(), engine.target.address);
            let answer = async move {
                let load = read_load(&client, address).await;
                Answer::Load {
                    target,
                    requested_at: now,
                    load,
                }
            };
            self.pending.push(answer.boxed());
        }
    }

    /// Starts a rollout for each model that has a new version.
    async fn read_versions(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let now = context.node.now();
        if now < self.next_version_poll {
            return Ok(());
        }
        self.next_version_poll = now.after(VERSIONS_INTERVAL_MS);
        for model in self.models() {
            let versions = context.node.platform.weights.versions(&model).await?;
            let Some(version) = versions.iter().map(|info| info.version).max() else {
                continue;
            };
            if self
                .rollouts
                .get(&model)
                .is_none_or(|current| current.version != version)
            {
                let options = RolloutOptions {
                    // Every order has a result within this time, so that no order is sent twice.
                    swap_timeout: SWAP_TIMEOUT_MS,
                    ..RolloutOptions::default()
                };
                let rollout = Rollout::new(version, term.guard.fencing(), Vec::new(), now, options);
                let rollout = ModelRollout {
                    version,
                    rollout,
                    is_logged: false,
                };
                self.rollouts.insert(model, rollout);
                self.has_changes = true;
            }
        }
        Ok(())
    }

    /// Handles answers for at most [`ANSWER_WAIT`].
    async fn handle_answers(&mut self, context: &DutyContext) {
        let mut end = task::sleep(ANSWER_WAIT).boxed().fuse();
        while !self.pending.is_empty() {
            select! {
                answer = self.pending.select_next_some() => self.handle_answer(context, answer),
                () = end => return,
            }
        }
    }

    fn handle_answer(&mut self, context: &DutyContext, answer: Answer) {
        match answer {
            Answer::Load {
                target,
                requested_at,
                load,
            } => self.record_load(&target, requested_at, load),
            Answer::Swap { order, model, swap } => self.record_swap(context, &order, &model, swap),
        }
    }

    /// Records the version in a load response. Without a response, the last reported version is kept.
    fn record_load(&mut self, target: &TargetId, requested_at: Timestamp, load: Option<LoadAnswer>) {
        let (Some(engine), Some(load)) = (self.engines.get_mut(target), load) else {
            return;
        };
        if engine
            .swapped_at
            .is_some_and(|swapped_at| requested_at < swapped_at.after(MAX_LOAD_AGE_MS))
        {
            return;
        }
        let version = load.version_of(&engine.model);
        self.has_changes |= version != engine.version;
        engine.version = version;
    }

    fn record_swap(
        &mut self,
        context: &DutyContext,
        order: &WeightOrder,
        model: &ModelId,
        swap: SwapOutcome,
    ) {
        let now = context.node.now();
        self.has_changes = true;
        if let (SwapOutcome::Applied(version), Some(engine)) = (&swap, self.engines.get_mut(&order.target)) {
            engine.version = *version;
            engine.swapped_at = Some(now);
        }
        let result = match swap {
            SwapOutcome::Applied(version) => SwapResult::Reports(version),
            SwapOutcome::Fenced => SwapResult::Fenced,
            SwapOutcome::Failed(reason) => {
                LogEvent::OrderFailed.write(format_args!(
                    "target {} version {}: {reason}",
                    order.target, order.version
                ));
                SwapResult::Failed
            }
        };
        let rollout = self.rollouts.get_mut(model);
        if let Some(current) = rollout.filter(|current| current.version == order.version) {
            current
                .rollout
                .on_result(&order.target, result, now, &mut rand::rng());
        }
    }

    fn send_orders(&mut self, context: &DutyContext, term: &Term) {
        let now = context.node.now();
        if !self.may_have_orders(term, now) {
            return;
        }
        self.has_changes = false;
        let config = context.node.config.active();
        for model in self.models() {
            let engines = self.orderable_engines(&model, term, now);
            let live = engines_for_live(context, &config, &self.zone, &model, engines.len());
            let Some(current) = self.rollouts.get_mut(&model) else {
                continue;
            };
            current.rollout.set_engines(engines, now);
            let orders = current.rollout.next_orders(live, now);
            current.log_completion(&self.zone, &model, now);
            for order in orders {
                self.send_order(context, term, order, model.clone());
            }
        }
    }

    /// Returns whether orders may be due. Usually all engines have loaded their versions, and computing orders can be
    /// skipped.
    fn may_have_orders(&self, term: &Term, now: Timestamp) -> bool {
        let is_incomplete = |current: &ModelRollout| {
            let status = current.rollout.status(now);
            status.done < status.engines
        };
        let is_waiting = now < term.guard.orders_allowed_at().after(VERSIONS_INTERVAL_MS);
        self.has_changes || is_waiting || self.rollouts.values().any(is_incomplete)
    }

    /// Returns the engines to which orders may be sent now. Engines that ignore fencing numbers are excluded until no
    /// order of an earlier holder can take effect any more.
    fn orderable_engines(&self, model: &ModelId, term: &Term, now: Timestamp) -> Vec<RolloutEngine> {
        let may_order = |engine: &&Engine| {
            engine.model == *model && (engine.target.checks_orders || now >= term.guard.orders_allowed_at())
        };
        let engines = self.engines.values().filter(may_order);
        engines
            .map(|engine| RolloutEngine {
                target: engine.target.id.clone(),
                version: engine.version,
            })
            .collect()
    }

    fn send_order(&self, context: &DutyContext, term: &Term, order: WeightOrder, model: ModelId) {
        let Some(engine) = self.engines.get(&order.target) else {
            return;
        };
        LogEvent::WeightsOrdered.write(format_args!(
            "target {} model {model} version {}",
            order.target, order.version
        ));
        let (node, guard) = (context.node.clone(), term.guard.clone());
        let target = engine.target.clone();
        let answer = async move {
            let swap = order_version(&target, &model, &order, &guard, node.clock.clone()).await;
            Answer::Swap { order, model, swap }
        };
        self.pending.push(answer.boxed());
    }
}

impl ModelRollout {
    fn log_completion(&mut self, zone: &ZoneId, model: &ModelId, now: Timestamp) {
        let status = self.rollout.status(now);
        let is_done = status.engines > 0 && status.done == status.engines;
        if is_done && !self.is_logged {
            let version = self.version;
            LogEvent::WeightsLoaded.write(format_args!(
                "zone {zone} model {model} version {version} on {} engines",
                status.engines
            ));
        }
        self.is_logged = is_done;
    }
}

fn model_of(config: &ActiveConfig, target: &Target) -> Option<ModelId> {
    config.service(&target.service)?.model.clone()
}

/// Returns the number of engines that live requests need: in-flight and queued work relative to the capacity windows
/// of the engines.
fn engines_for_live(
    context: &DutyContext,
    config: &ActiveConfig,
    zone: &ZoneId,
    model: &ModelId,
    engines: usize,
) -> usize {
    let (mut used, mut window) = (0, 0);
    for summary in context.node.live_summaries() {
        let serves = |service: &jm_config::Service| service.model.as_ref() == Some(model);
        if summary.zone != *zone || !config.service(&summary.service).is_some_and(serves) {
            continue;
        }
        let in_flight = summary.window.get().saturating_sub(summary.free_window.get());
        used += in_flight + summary.queued_live.get();
        window += summary.window.get();
    }
    let needed = (engines as u64).saturating_mul(used).div_ceil(window.max(1));
    let max = engines - engines.div_ceil(MIN_SWAPPING_DIVISOR);
    usize::try_from(needed).unwrap_or(max).min(max)
}
