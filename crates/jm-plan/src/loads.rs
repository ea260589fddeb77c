//! Which engines load which weights next.
//!
//! Load pattern: a trainer names a version every few seconds, faster than all engines can load it a few at a time, and
//! its next step accepts the version before as well. Engines that lag most load first and go straight to the newest
//! version, so that each of them is useful for as long as possible.

use std::cmp::Reverse;

use indexmap::IndexMap;
use jm_types::{DurationMs, ModelId, Timestamp, WeightVersion};

/// Settings of the loads.
#[derive(Debug, Clone, Copy)]
pub struct WeightLoadOptions {
    /// Engines for one that may load at the same time; loads slow one another down beyond that.
    pub engines_per_load: usize,
    /// A load without a result after this time no longer counts.
    pub load_timeout_ms: DurationMs,
    /// Time of a load before any was seen.
    pub first_load_ms: DurationMs,
    /// Part of a load's seen time that is its report's delay.
    pub report_delay_ms: DurationMs,
    /// Wait before an engine that refused an order gets another one.
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

/// An engine and the weights that it is known to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineWeights<K> {
    /// One run of an engine.
    pub run: K,
    /// Its weights by model.
    pub versions: IndexMap<ModelId, WeightVersion>,
    /// The model that it keeps up with; others follow when nothing else has to load.
    pub model: Option<ModelId>,
}

/// An engine that is to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad<K> {
    /// The engine.
    pub run: K,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadState {
    Loading {
        since: Timestamp,
    },
    /// An order failed; the engine is left alone until then.
    BackingOff {
        until: Timestamp,
    },
}

/// Loads that run and engines that rest.
#[derive(Debug)]
pub struct WeightLoadPlan<K> {
    options: WeightLoadOptions,
    states: IndexMap<K, LoadState>,
    /// Time after which a load is taken to be over although its engine has not reported so; the next one starts then.
    load_ms: DurationMs,
}

impl<K: Clone + Eq + std::hash::Hash> WeightLoadPlan<K> {
    /// No load runs.
    pub fn new(options: WeightLoadOptions) -> Self {
        Self {
            load_ms: options.first_load_ms,
            options,
            states: IndexMap::new(),
        }
    }

    /// The loads to start now, given the newest version of each model and the oldest one that running steps accept. They
    /// count as running.
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
        let room = limit.max(1).saturating_sub(loading);
        let free = engines
            .iter()
            .filter(|engine| !self.states.contains_key(&engine.run));
        let own = free
            .clone()
            .filter_map(|engine| most_behind(engine, newest, is_own_model));
        let mut behind: Vec<(u64, WeightLoad<K>)> = own.collect();
        // Engines that running steps cannot use come first.
        let is_needed = |load: &WeightLoad<K>| {
            let engine = engines.iter().find(|engine| engine.run == load.run);
            let version = engine.and_then(|engine| engine.versions.get(&load.model));
            needed.get(&load.model) > version
        };
        behind.sort_by_key(|(lag, load)| Reverse((is_needed(load), *lag)));
        if behind.is_empty() && loading == 0 {
            // One at a time, so that a version that is named now finds room.
            let other = free.filter_map(|engine| most_behind(engine, newest, is_other_model));
            behind.extend(other.max_by_key(|(lag, _)| *lag));
        }
        let loads: Vec<WeightLoad<K>> = behind.into_iter().take(room).map(|(_, load)| load).collect();
        for load in &loads {
            self.states
                .insert(load.run.clone(), LoadState::Loading { since: now });
        }
        loads
    }

    /// A load ended well; it was seen to be over after `took`.
    pub fn loaded(&mut self, run: &K, took: DurationMs) {
        self.states.swap_remove(run);
        let load_ms = took.saturating_sub(self.options.report_delay_ms);
        if load_ms.get() > 0 {
            self.load_ms = DurationMs::new((3 * self.load_ms.get() + load_ms.get()) / 4);
        }
    }

    /// An engine has its weights without a load.
    pub fn already_loaded(&mut self, run: &K) {
        self.states.swap_remove(run);
    }

    /// A load failed or its outcome is not known.
    pub fn failed(&mut self, run: &K, now: Timestamp) {
        let until = now.after(self.options.retry_ms);
        self.states.insert(run.clone(), LoadState::BackingOff { until });
    }

    /// Loads that are taken to run.
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

/// The model for which an engine lags most, with the number of versions, among those that `counts` takes.
fn most_behind<K: Clone>(
    engine: &EngineWeights<K>,
    newest: &IndexMap<ModelId, WeightVersion>,
    counts: impl Fn(&EngineWeights<K>, &ModelId) -> bool,
) -> Option<(u64, WeightLoad<K>)> {
    let lags = engine.versions.iter().filter_map(|(model, version)| {
        let newest = *newest.get(model)?;
        let lag = newest.saturating_sub(*version).get();
        (lag > 0 && counts(engine, model)).then_some((lag, model, newest))
    });
    let (lag, model, version) = lags.max_by_key(|(lag, ..)| *lag)?;
    let load = WeightLoad {
        run: engine.run.clone(),
        model: model.clone(),
        version,
    };
    Some((lag, load))
}
