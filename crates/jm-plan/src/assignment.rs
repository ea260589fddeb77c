//! Assignment of models to engines that can serve several models.
//!
//! Load pattern: two or more trainers share engines, and each publishes a version every few seconds. Loading every
//! version of every model on every engine takes longer than that, so all steps would wait for weights. If each engine
//! loads the new versions of one model only, the loads finish in time and every step finds engines with its version.

use std::hash::Hash;

use indexmap::IndexMap;
use jm_types::ModelId;

/// Assigned model of each engine. Updates change as few assignments as the demand permits.
#[derive(Debug)]
pub struct ModelAssignment<K> {
    by_engine: IndexMap<K, ModelId>,
}

/// Number of engines by which a model may exceed its share before engines are reassigned. Each reassignment costs a
/// load and leaves an engine without useful weights until the load ends.
const TOLERANCE_ENGINES: f64 = 0.75;

impl<K> Default for ModelAssignment<K> {
    fn default() -> Self {
        Self {
            by_engine: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> ModelAssignment<K> {
    /// Model assigned to an engine, or `None` if the engine is unknown or there is no demand.
    pub fn model(&self, engine: &K) -> Option<&ModelId> {
        self.by_engine.get(engine)
    }

    /// Updates the assignment to the current engines and the demand by model. Only the ratio of the demands matters.
    pub fn update(&mut self, engines: &[K], demand: &IndexMap<ModelId, u64>) {
        self.by_engine
            .retain(|engine, model| engines.contains(engine) && demand.contains_key(model));
        let shares = engine_shares(engines.len(), demand);
        for (model, share) in &shares {
            self.release_surplus(model, *share);
        }
        for engine in engines {
            if self.by_engine.contains_key(engine) {
                continue;
            }
            let most_short = shares
                .iter()
                .map(|(model, share)| (model, share - self.count(model) as f64))
                .max_by(|a, b| a.1.total_cmp(&b.1));
            if let Some((model, _)) = most_short {
                self.by_engine.insert(engine.clone(), (*model).clone());
            }
        }
    }

    fn release_surplus(&mut self, model: &ModelId, share: f64) {
        let surplus = self.count(model) as f64 - share;
        if surplus <= TOLERANCE_ENGINES {
            return;
        }
        let last = self.by_engine.iter().rposition(|(_, assigned)| assigned == model);
        if let Some(index) = last {
            self.by_engine.shift_remove_index(index);
        }
    }

    fn count(&self, model: &ModelId) -> usize {
        self.by_engine
            .values()
            .filter(|assigned| *assigned == model)
            .count()
    }
}

/// Share of each model in the engines, as a number of engines. Each model gets one engine if there are enough, and the
/// remaining engines are divided by demand.
fn engine_shares(engines: usize, demand: &IndexMap<ModelId, u64>) -> IndexMap<ModelId, f64> {
    let total: u64 = demand.values().sum();
    let reserved = if engines >= demand.len() { 1.0 } else { 0.0 };
    let rest = engines as f64 - reserved * demand.len() as f64;
    let fraction = |demand: u64| match total {
        0 => 1.0,
        _ => demand as f64 / total as f64,
    };
    let share = |demand: u64| reserved + rest * fraction(demand);
    demand
        .iter()
        .map(|(model, demand)| (model.clone(), share(*demand)))
        .collect()
}
