//! The load report, which can lag behind the engine's current state.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use jm_types::{ModelId, Rate, WeightVersion};
use serde::{Deserialize, Serialize};

use super::EngineInner;

/// Phase of inference that an engine serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
}

/// Body of the response to `GET /v1/load`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running streams.
    pub running: u64,
    /// Tokens per second shared by all streams.
    pub tokens_per_s: Rate,
    /// Number of blocks in the prefix cache.
    pub cache_blocks: u64,
    /// Phase of inference that the engine serves.
    pub role: Role,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

#[derive(Default)]
pub(super) struct LoadHistory {
    states: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    fn record(&mut self, load: Load, lag: Duration, now: Instant) {
        self.states.push_back((now, load));
        // Only the newest state that is at least `lag` old is reported, so the states before it can be dropped.
        while self
            .states
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        {
            self.states.pop_front();
        }
    }

    fn lagged(&self, lag: Duration, now: Instant) -> Load {
        let mut newest_first = self.states.iter().rev();
        let old_enough = newest_first.find(|(at, _)| now.duration_since(*at) >= lag);
        old_enough.map(|(_, load)| load.clone()).unwrap_or_default()
    }
}

impl EngineInner {
    fn current_load(&self) -> Load {
        Load {
            running: self.running.len() as u64,
            tokens_per_s: self.settings.tokens_per_s,
            cache_blocks: self.cache.blocks() as u64,
            role: self.role,
            versions: self.models.clone(),
        }
    }

    /// Records the current state for later load reports. Called after each change of the state.
    pub(super) fn record_load(&mut self) {
        let lag = self.settings.load_lag_ms.as_std();
        let load = self.current_load();
        self.load.record(load, lag, Instant::now());
    }

    pub(super) fn reported_load(&self) -> Load {
        let lag = self.settings.load_lag_ms.as_std();
        if lag.is_zero() {
            self.current_load()
        } else {
            self.load.lagged(lag, Instant::now())
        }
    }
}
