//! Schedule of weight loads: which engines load which version next.
//!
//! Load pattern: a trainer publishes a version every few seconds. That is faster than all engines can load it, because
//! only a few load at a time. The next step also accepts the previous version. The engines that are most versions
//! behind load first and skip to the newest version, so that each of them stays usable for as long as possible.

use std::cmp::Reverse;

use indexmap::IndexMap;
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

/// Settings of the load schedule.
#[derive(Debug, Clone, Copy)]
pub struct WeightLoadOptions {
    /// Number of engines per concurrent load. More concurrent loads slow one another down.
    pub engines_per_load: usize,
    /// Time after which a load without a result no longer counts as running.
    pub load_timeout_ms: DurationMs,
    /// Assumed duration of a load until one was measured.
    pub first_load_ms: DurationMs,
    /// Reporting delay that is included in the measured duration of a load.
    pub report_delay_ms: DurationMs,
    /// Delay before an engine that refused an order gets another one.
    pub retry_ms: DurationMs,
}

impl Default for WeightLoadOptions {
    fn default() -> Self {
        Self {
            engines_per_load: 5,
            load_timeout_ms: DurationMs::new(6_000),
            first_load_ms: DurationMs::new(1_000),
            report_delay_ms: DurationMs::new(150),
            retry_ms: DurationMs::new(300),
        }
    }
}

/// An engine and the weights that it is known to have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineWeights<K> {
    /// Run of the engine; a restarted engine is another run.
    pub run: K,
    /// Loaded version by model.
    pub versions: IndexMap<ModelId, WeightVersion>,
    /// Model assigned to the engine. Other models are loaded only if no engine is behind on its assigned model. `None`
    /// if every model counts as assigned.
    pub model: Option<ModelId>,
}

/// An order for one engine to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad<K> {
    /// Run of the engine that is to load.
    pub run: K,
    /// Model whose weights are to be loaded.
    pub model: ModelId,
    /// Version to load, the newest one of the model.
    pub version: WeightVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadState {
    Loading {
        since: Timestamp,
    },
    /// A load failed. The engine gets no order before this time.
    BackingOff {
        until: Timestamp,
    },
}

/// Running loads, and engines in backoff after a failed load.
#[derive(Debug)]
pub struct WeightLoadPlan<K> {
    options: WeightLoadOptions,
    states: IndexMap<K, LoadState>,
    /// Moving average of the load duration. A load that has taken longer is presumed finished even before its engine
    /// reports it, and the next load starts.
    load_ms: DurationMs,
}

impl<K: Clone + Eq + std::hash::Hash> WeightLoadPlan<K> {
    /// Creates a schedule without running loads.
    pub fn new(options: WeightLoadOptions) -> Self {
        Self {
            load_ms: options.first_load_ms,
            options,
            states: IndexMap::new(),
        }
    }

    /// Returns the loads to start now and counts them as running. `newest` is the newest version of each model,
    /// `needed` is the oldest version of each model that all running batches accept.
    pub fn next(
        &mut self,
        engines: &[EngineWeights<K>],
        newest: &IndexMap<ModelId, WeightVersion>,
        needed: &IndexMap<ModelId, WeightVersion>,
        now: Timestamp,
    ) -> Vec<WeightLoad<K>> {
        self.expire(now);
        let limit = (engines.len() + self.options.engines_per_load / 2) / self.options.engines_per_load;
        let loading = self.loading(now);
        let available = limit.max(1).saturating_sub(loading);
        let free = engines
            .iter()
            .filter(|engine| !self.states.contains_key(&engine.run));
        let own = free
            .clone()
            .filter_map(|engine| most_behind(engine, newest, is_own_model));
        let mut behind: Vec<(u64, WeightLoad<K>)> = own.collect();
        // Engines whose version at least one running batch does not accept load first.
        let is_needed = |load: &WeightLoad<K>| {
            let engine = engines.iter().find(|engine| engine.run == load.run);
            let version = engine.and_then(|engine| engine.versions.get(&load.model));
            needed.get(&load.model) > version
        };
        behind.sort_by_key(|(lag, load)| Reverse((is_needed(load), *lag)));
        if behind.is_empty() && loading == 0 {
            // One at a time, so that a version that is published next can start to load at once.
            let other = free.filter_map(|engine| most_behind(engine, newest, is_other_model));
            behind.extend(other.max_by_key(|(lag, _)| *lag));
        }
        let loads: Vec<WeightLoad<K>> = behind.into_iter().take(available).map(|(_, load)| load).collect();
        for load in &loads {
            self.states
                .insert(load.run.clone(), LoadState::Loading { since: now });
        }
        loads
    }

    /// Records that a load succeeded. `took` is its measured duration including the reporting delay.
    pub fn loaded(&mut self, run: &K, took: DurationMs) {
        self.states.swap_remove(run);
        let load_ms = took.saturating_sub(self.options.report_delay_ms);
        if load_ms.get() > 0 {
            self.load_ms = DurationMs::new((3 * self.load_ms.get() + load_ms.get()) / 4);
        }
    }

    /// Records that an engine had already loaded the ordered version.
    pub fn already_loaded(&mut self, run: &K) {
        self.states.swap_remove(run);
    }

    /// Records that a load failed or that its outcome is unknown.
    pub fn failed(&mut self, run: &K, now: Timestamp) {
        let until = now.after(self.options.retry_ms);
        self.states.insert(run.clone(), LoadState::BackingOff { until });
    }

    /// Number of loads that are presumed running at `now`.
    pub fn loading(&self, now: Timestamp) -> usize {
        let is_loading = |state: &&LoadState| match state {
            LoadState::Loading { since } => now.since(*since) < self.load_ms,
            LoadState::BackingOff { .. } => false,
        };
        self.states.values().filter(is_loading).count()
    }

    fn expire(&mut self, now: Timestamp) {
        let timeout_ms = self.options.load_timeout_ms;
        self.states.retain(|_, state| match state {
            LoadState::Loading { since } => now.since(*since) < timeout_ms,
            LoadState::BackingOff { until } => now < *until,
        });
    }
}

fn is_own_model<K>(engine: &EngineWeights<K>, model: &ModelId) -> bool {
    engine.model.as_ref().is_none_or(|own| own == model)
}

fn is_other_model<K>(engine: &EngineWeights<K>, model: &ModelId) -> bool {
    !is_own_model(engine, model)
}

/// Returns the model on which an engine is most versions behind, and that number of versions. Only models for which
/// `is_eligible` returns true are considered. `None` if the engine is behind on none of them.
fn most_behind<K: Clone>(
    engine: &EngineWeights<K>,
    newest: &IndexMap<ModelId, WeightVersion>,
    is_eligible: impl Fn(&EngineWeights<K>, &ModelId) -> bool,
) -> Option<(u64, WeightLoad<K>)> {
    let lags = engine.versions.iter().filter_map(|(model, version)| {
        let newest = *newest.get(model)?;
        let lag = newest.saturating_sub(*version).get();
        (lag > 0 && is_eligible(engine, model)).then_some((lag, model, newest))
    });
    let (lag, model, version) = lags.max_by_key(|(lag, ..)| *lag)?;
    let load = WeightLoad {
        run: engine.run.clone(),
        model: model.clone(),
        version,
    };
    Some((lag, load))
}
