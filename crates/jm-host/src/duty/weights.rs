//! Rolls out the weight versions that trainers publish to all engines, a few engines at a time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use indexmap::IndexMap;
use jm_batch::{BatchService, RoutingSource};
use jm_forward::{RunKey, Target};
use jm_lease::LeaseGuard;
use jm_plan::{EngineWeights, ModelAssignment, WeightLoad, WeightLoadOptions, WeightLoadPlan};
use jm_types::{Clock, DurationMs, LogEvent, ModelId, WeightVersion};

use super::LeaseView;
use crate::{
    cluster_state::ClusterState,
    platform::{DutyCalls, LoadOrder, LoadOutcome},
};

/// Interval at which the holder plans new loads.
const POLL_INTERVAL_MS: DurationMs = DurationMs::new(80);
/// Interval at which an engine is polled until a load is done.
const LOAD_POLL_INTERVAL_MS: DurationMs = DurationMs::new(80);
/// Minimum duration of a load before the engine is polled. Reports lag, so an earlier one may show the state before
/// the order.
const MIN_LOAD_MS: DurationMs = DurationMs::new(800);
/// Timeout of a load.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs::new(4_000);

/// Orders engines to load weights while this host holds the lease.
pub(crate) struct WeightDuty {
    pub(crate) cluster: Arc<ClusterState>,
    pub(crate) batches: Arc<BatchService>,
    pub(crate) duties: Arc<dyn DutyCalls>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) clock: Arc<dyn Clock>,
    state: Mutex<WeightState>,
}

struct WeightState {
    plan: WeightLoadPlan<RunKey>,
    /// Assignment of models to engines, for each set of models that engines can serve.
    assignments: IndexMap<Vec<ModelId>, ModelAssignment<RunKey>>,
    /// Weight versions that engines reported to this host; the list of targets lags behind them.
    reported: IndexMap<RunKey, IndexMap<ModelId, WeightVersion>>,
}

impl WeightDuty {
    pub(crate) fn new(
        cluster: Arc<ClusterState>,
        batches: Arc<BatchService>,
        duties: Arc<dyn DutyCalls>,
        lease: Arc<LeaseView>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let state = WeightState {
            plan: WeightLoadPlan::new(WeightLoadOptions::default()),
            assignments: IndexMap::new(),
            reported: IndexMap::new(),
        };
        Arc::new(Self {
            cluster,
            batches,
            duties,
            lease,
            clock,
            state: Mutex::new(state),
        })
    }

    /// Runs until the future is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            task::sleep(POLL_INTERVAL_MS.as_std()).await;
            let Some(guard) = self.lease.guard(&*self.clock) else {
                task::sleep(POLL_INTERVAL_MS.as_std()).await;
                continue;
            };
            for load in self.next_loads() {
                let catalog = self.cluster.catalog();
                let Some(target) = catalog
                    .get(&load.run.id)
                    .filter(|target| target.run == load.run && target.is_serving())
                else {
                    continue;
                };
                let duty = Arc::clone(&self);
                let (target, guard) = (target.clone(), guard.clone());
                task::spawn(async move { duty.load(target, load, guard).await });
            }
        }
    }

    fn next_loads(&self) -> Vec<WeightLoad<RunKey>> {
        let newest = self.cluster.versions();
        if newest.is_empty() {
            return Vec::new();
        }
        let catalog = self.cluster.catalog();
        let demand = self.batches.demand();
        let now = self.clock.now();
        let mut state = self.lock();
        let WeightState {
            plan,
            assignments,
            reported,
        } = &mut *state;
        reported.retain(|run, _| catalog.get(&run.id).is_some_and(|target| target.run == *run));
        let serving: Vec<&Target> = catalog
            .iter()
            .filter(|target| target.is_serving() && !target.models.is_empty())
            .collect();
        update_assignments(assignments, &serving, &demand);
        let engines: Vec<EngineWeights<RunKey>> = serving
            .iter()
            .map(|target| EngineWeights {
                run: target.run.clone(),
                versions: newest_known_versions(target, reported.get(&target.run)),
                model: assigned_model(assignments, target),
            })
            .collect();
        plan.next(&engines, &newest, &self.batches.highest_min_versions(), now)
    }

    async fn load(&self, target: Target, load: WeightLoad<RunKey>, guard: LeaseGuard) {
        match self.order(&target, &load, &guard).await {
            Ok(took) => {
                LogEvent::EngineLoaded.write_fields(
                    "an engine loaded new weights",
                    &[
                        ("target", &load.run.id.as_str()),
                        ("model", &load.model.as_str()),
                        ("version", &load.version.get()),
                        ("took_ms", &took.get()),
                    ],
                );
                match took.get() {
                    0 => self.lock().plan.already_loaded(&load.run),
                    _ => self.lock().plan.loaded(&load.run, took),
                }
            }
            Err(reason) => {
                LogEvent::OrderFailed.write_fields(
                    &reason,
                    &[
                        ("target", &load.run.id.as_str()),
                        ("model", &load.model.as_str()),
                        ("version", &load.version.get()),
                    ],
                );
                let now = self.clock.now();
                self.lock().plan.failed(&load.run, now);
            }
        }
    }

    /// Sends one load order and waits until the engine reports the new version. Returns the time taken, zero when the
    /// engine already had the weights.
    async fn order(
        &self,
        target: &Target,
        load: &WeightLoad<RunKey>,
        guard: &LeaseGuard,
    ) -> Result<DurationMs, String> {
        let begun = self.clock.now();
        let report = self
            .duties
            .engine_report(target)
            .await
            .ok_or("the engine did not answer the request for its report")?;
        self.record_versions(&load.run, &report.models);
        if report
            .models
            .get(&load.model)
            .is_some_and(|version| *version >= load.version)
        {
            return Ok(DurationMs::new(0));
        }
        if report.is_busy {
            return Err("the engine is executing another order".to_owned());
        }
        let order = LoadOrder {
            model: load.model.clone(),
            version: load.version,
            accepted_orders: report.accepted_orders,
        };
        let catalog = self.cluster.catalog();
        let listed = catalog.get(&load.run.id).filter(|listed| listed.run == load.run);
        if !listed.is_some_and(Target::is_serving) {
            return Err("the engine was evacuated or began to leave before the order".to_owned());
        }
        match self.duties.load_weights(target, &order, guard).await {
            LoadOutcome::Accepted | LoadOutcome::Unknown { .. } => {}
            LoadOutcome::AlreadyLoaded => {
                self.record_version(&load.run, &load.model, load.version);
                return Ok(DurationMs::new(0));
            }
            LoadOutcome::Refused { reason } | LoadOutcome::NotSent { reason } => return Err(reason),
        }
        task::sleep(MIN_LOAD_MS.as_std()).await;
        while self.clock.now().since(begun) < LOAD_TIMEOUT_MS {
            if let Some(report) = self.duties.engine_report(target).await {
                self.record_versions(&load.run, &report.models);
                if report
                    .models
                    .get(&load.model)
                    .is_some_and(|version| *version >= load.version)
                {
                    return Ok(self.clock.now().since(begun));
                }
            }
            task::sleep(LOAD_POLL_INTERVAL_MS.as_std()).await;
        }
        Err("the engine did not report the new weights in time".to_owned())
    }

    fn record_versions(&self, run: &RunKey, models: &IndexMap<ModelId, WeightVersion>) {
        for (model, version) in models {
            self.record_version(run, model, *version);
        }
    }

    fn record_version(&self, run: &RunKey, model: &ModelId, version: WeightVersion) {
        let mut state = self.lock();
        let versions = state.reported.entry(run.clone()).or_default();
        let newest = versions.entry(model.clone()).or_insert(version);
        *newest = version.max(*newest);
    }

    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Assigns engines to the models in demand, separately for each set of models that engines serve.
fn update_assignments(
    assignments: &mut IndexMap<Vec<ModelId>, ModelAssignment<RunKey>>,
    serving: &[&Target],
    demand: &IndexMap<ModelId, u64>,
) {
    let mut groups: IndexMap<Vec<ModelId>, Vec<RunKey>> = IndexMap::new();
    for target in serving {
        let runs = groups.entry(model_set(target)).or_default();
        runs.push(target.run.clone());
    }
    assignments.retain(|models, _| groups.contains_key(models));
    for (models, runs) in groups {
        let group_demand = demand.iter().filter(|(model, _)| models.contains(model));
        let group_demand = group_demand.map(|(model, work)| (model.clone(), *work)).collect();
        assignments
            .entry(models)
            .or_default()
            .update(&runs, &group_demand);
    }
}

/// Model whose newest version the engine loads first. `None` while no model is in demand; all models then have the
/// same priority.
fn assigned_model(
    assignments: &IndexMap<Vec<ModelId>, ModelAssignment<RunKey>>,
    target: &Target,
) -> Option<ModelId> {
    assignments.get(&model_set(target))?.model(&target.run).cloned()
}

fn model_set(target: &Target) -> Vec<ModelId> {
    let mut models: Vec<ModelId> = target.models.keys().cloned().collect();
    models.sort();
    models
}

fn newest_known_versions(
    target: &Target,
    reported: Option<&IndexMap<ModelId, WeightVersion>>,
) -> IndexMap<ModelId, WeightVersion> {
    let listed = target.models.iter();
    let newer = |model: &ModelId, version: WeightVersion| {
        let reported = reported.and_then(|reported| reported.get(model).copied());
        reported.map_or(version, |reported| reported.max(version))
    };
    listed
        .map(|(model, version)| (model.clone(), newer(model, *version)))
        .collect()
}
