//! Roll-out of the newest weight versions to the engines of one zone.
//!
//! Each zone has its own lease, so that several control daemons share the work. Load answers and orders of all engines
//! are under way at the same time: one slow engine does not hold up the others.

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
use engine::{LONGEST_SWAP_MS, LoadAnswer, Swap, order_version, read_load};

/// Interval at which the weight store is asked for new versions.
const VERSIONS_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Interval between two load answers of one engine. The answers to orders name the version as well; load answers only
/// show engines that lost theirs, and a zone has about 1,100 engines at the target size.
const LOAD_INTERVAL_MS: DurationMs = DurationMs::new(10_000);

/// Age of the state that a load answer may show. Answers that were asked for sooner after a swap are not believed when
/// they differ from it.
const LOAD_AGE_MS: DurationMs = DurationMs::new(3_000);

/// Time for which a round takes answers before it gives new orders.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Part of the engines that may swap even when live service uses all of them; otherwise a busy zone would never get
/// new weights.
const LEAST_SWAPPING_PART: usize = 4;

/// One engine of the zone.
struct Engine {
    target: Target,
    model: ModelId,
    /// What it reported last; zero before the first report.
    version: WeightVersion,
    swapped: Option<Timestamp>,
    next_load: Timestamp,
}

/// What the list of engines is made from.
struct EngineSource {
    revision: Revision,
    ordered: Arc<OrderedTargets>,
}

/// The roll-out of one model.
struct ModelRollout {
    version: WeightVersion,
    rollout: Rollout,
    is_logged: bool,
}

/// An answer of an engine.
enum Answer {
    Load {
        target: TargetId,
        asked: Timestamp,
        load: Option<LoadAnswer>,
    },
    Swap {
        order: WeightOrder,
        model: ModelId,
        swap: Swap,
    },
}

/// What the holder knows of the engines of its zone.
pub(crate) struct WeightsWork {
    zone: ZoneId,
    /// What the engines were taken from.
    source: Option<EngineSource>,
    engines: IndexMap<TargetId, Engine>,
    /// Whether anything changed since orders were last considered.
    has_news: bool,
    rollouts: IndexMap<ModelId, ModelRollout>,
    next_versions: Timestamp,
    open: FuturesUnordered<BoxFuture<'static, Answer>>,
}

#[async_trait]
impl DutyWork for WeightsWork {
    async fn begin(context: &DutyContext, _term: &Term) -> Result<Self, DutyError> {
        Ok(Self {
            zone: context.zone.clone(),
            source: None,
            engines: IndexMap::new(),
            has_news: true,
            rollouts: IndexMap::new(),
            next_versions: context.node.now(),
            open: FuturesUnordered::new(),
        })
    }

    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        self.refresh_engines(context);
        self.ask_loads(context);
        self.read_versions(context, term).await?;
        self.take_answers(context).await;
        term.check()?;
        self.give_orders(context, term);
        self.take_answers(context).await;
        Ok(())
    }
}

impl WeightsWork {
    /// Takes the engines of the zone from the configuration and the ordered targets.
    fn refresh_engines(&mut self, context: &DutyContext) {
        let config = context.node.config.active();
        let ordered = context.node.ordered_targets.current();
        let is_current = |source: &EngineSource| {
            source.revision == config.revision() && Arc::ptr_eq(&source.ordered, &ordered)
        };
        if self.source.as_ref().is_some_and(is_current) {
            return;
        }
        let mut known = std::mem::take(&mut self.engines);
        for target in ordered.merge(&config) {
            if target.zone != self.zone || target.state == TargetState::Leaving {
                continue;
            }
            let Some(model) = model_of(&config, &target) else {
                continue;
            };
            let engine = known.swap_remove(&target.id);
            let engine =
                engine.filter(|engine| engine.model == model && engine.target.address == target.address);
            let engine = Engine {
                version: engine
                    .as_ref()
                    .map_or(WeightVersion::new(0), |engine| engine.version),
                swapped: engine.as_ref().and_then(|engine| engine.swapped),
                next_load: engine.map_or(context.node.now(), |engine| engine.next_load),
                target,
                model,
            };
            self.engines.insert(engine.target.id.clone(), engine);
        }
        let models: IndexSet<ModelId> = self.models();
        self.rollouts.retain(|model, _| models.contains(model));
        self.has_news = true;
        self.source = Some(EngineSource {
            revision: config.revision(),
            ordered,
        });
    }

    fn models(&self) -> IndexSet<ModelId> {
        self.engines.values().map(|engine| engine.model.clone()).collect()
    }

    fn ask_loads(&mut self, context: &DutyContext) {
        let now = context.node.now();
        for engine in self.engines.values_mut().filter(|engine| engine.next_load <= now) {
            engine.next_load = now.after(LOAD_INTERVAL_MS);
            let client = context.node.client.clone();
            let (target, address) = (engine.target.id.clone(), engine.target.address);
            let answer = async move {
                let load = read_load(&client, address).await;
                Answer::Load {
                    target,
                    asked: now,
                    load,
                }
            };
            self.open.push(answer.boxed());
        }
    }

    /// Starts a roll-out for each model that has a new version.
    async fn read_versions(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let now = context.node.now();
        if now < self.next_versions {
            return Ok(());
        }
        self.next_versions = now.after(VERSIONS_INTERVAL_MS);
        for model in self.models() {
            let versions = context.node.platform.weights.versions(&model).await?;
            let Some(version) = versions.iter().map(|info| info.version).max() else {
                continue;
            };
            if self
                .rollouts
                .get(&model)
                .is_none_or(|known| known.version != version)
            {
                let options = RolloutOptions {
                    // Every order has a result by then, so that none is given twice.
                    swap_timeout: LONGEST_SWAP_MS,
                    ..RolloutOptions::default()
                };
                let rollout = Rollout::new(version, term.guard.fencing(), Vec::new(), now, options);
                let rollout = ModelRollout {
                    version,
                    rollout,
                    is_logged: false,
                };
                self.rollouts.insert(model, rollout);
                self.has_news = true;
            }
        }
        Ok(())
    }

    /// Takes answers for a short time.
    async fn take_answers(&mut self, context: &DutyContext) {
        let mut end = task::sleep(ANSWER_TIME).boxed().fuse();
        while !self.open.is_empty() {
            select! {
                answer = self.open.select_next_some() => self.take(context, answer),
                () = end => return,
            }
        }
    }

    fn take(&mut self, context: &DutyContext, answer: Answer) {
        match answer {
            Answer::Load { target, asked, load } => self.take_load(&target, asked, load),
            Answer::Swap { order, model, swap } => self.take_swap(context, &order, &model, swap),
        }
    }

    /// An engine without an answer keeps the version that it reported last.
    fn take_load(&mut self, target: &TargetId, asked: Timestamp, load: Option<LoadAnswer>) {
        let (Some(engine), Some(load)) = (self.engines.get_mut(target), load) else {
            return;
        };
        if engine
            .swapped
            .is_some_and(|swapped| asked < swapped.after(LOAD_AGE_MS))
        {
            return;
        }
        let version = load.version_of(&engine.model);
        self.has_news |= version != engine.version;
        engine.version = version;
    }

    fn take_swap(&mut self, context: &DutyContext, order: &WeightOrder, model: &ModelId, swap: Swap) {
        let now = context.node.now();
        self.has_news = true;
        if let (Swap::Applied(version), Some(engine)) = (&swap, self.engines.get_mut(&order.target)) {
            engine.version = *version;
            engine.swapped = Some(now);
        }
        let result = match swap {
            Swap::Applied(version) => SwapResult::Reports(version),
            Swap::Fenced => SwapResult::Fenced,
            Swap::Failed(reason) => {
                LogEvent::OrderFailed.write(format_args!(
                    "target {} version {}: {reason}",
                    order.target, order.version
                ));
                SwapResult::Failed
            }
        };
        let rollout = self.rollouts.get_mut(model);
        if let Some(known) = rollout.filter(|known| known.version == order.version) {
            known
                .rollout
                .on_result(&order.target, result, now, &mut rand::rng());
        }
    }

    fn give_orders(&mut self, context: &DutyContext, term: &Term) {
        let now = context.node.now();
        if !self.has_orders(term, now) {
            return;
        }
        self.has_news = false;
        let config = context.node.config.active();
        for model in self.models() {
            let engines = self.orderable(&model, term, now);
            let live = live_engines(context, &config, &self.zone, &model, engines.len());
            let Some(known) = self.rollouts.get_mut(&model) else {
                continue;
            };
            known.rollout.set_engines(engines, now);
            let orders = known.rollout.next_orders(live, now);
            known.log_end(&self.zone, &model, now);
            for order in orders {
                self.give_order(context, term, order, model.clone());
            }
        }
    }

    /// Whether orders may be due. Most of the time all engines have their versions, and nothing has to be compared.
    fn has_orders(&self, term: &Term, now: Timestamp) -> bool {
        let is_open = |known: &ModelRollout| {
            let status = known.rollout.status(now);
            status.done < status.engines
        };
        let is_waiting = now < term.guard.orders_allowed_at().after(VERSIONS_INTERVAL_MS);
        self.has_news || is_waiting || self.rollouts.values().any(is_open)
    }

    /// Engines that may be ordered now. One that ignores fencing numbers has to wait until no order of an earlier
    /// holder can take effect any more.
    fn orderable(&self, model: &ModelId, term: &Term, now: Timestamp) -> Vec<RolloutEngine> {
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

    fn give_order(&self, context: &DutyContext, term: &Term, order: WeightOrder, model: ModelId) {
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
        self.open.push(answer.boxed());
    }
}

impl ModelRollout {
    fn log_end(&mut self, zone: &ZoneId, model: &ModelId, now: Timestamp) {
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

/// Number of engines that live service needs, by what is in flight and waits against the windows.
fn live_engines(
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
    let most = engines - engines.div_ceil(LEAST_SWAPPING_PART);
    usize::try_from(needed).unwrap_or(most).min(most)
}
