//! The load answer, which shows a state of the past.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use jm_types::{ModelId, Rate, WeightVersion};
use serde::{Deserialize, Serialize};

use super::EngineInner;

/// What an engine is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts and generates tokens.
    #[default]
    Mixed,
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Answer to `GET /v1/load`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Streams that are running.
    pub running: u64,
    /// Tokens a second that all streams share.
    pub tokens_per_s: Rate,
    /// Blocks in the prefix cache.
    pub cache_blocks: u64,
    /// What the engine is used for.
    pub role: Role,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

#[derive(Default)]
pub(super) struct LoadHistory {
    states: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    fn push(&mut self, load: Load, lag: Duration, now: Instant) {
        self.states.push_back((now, load));
        // The newest state that is old enough is the one to show; all before it are not needed any more.
        while self
            .states
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        {
            self.states.pop_front();
        }
    }

    fn shown(&self, lag: Duration, now: Instant) -> Load {
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

    /// Notes the state for later load answers; called after each change of it.
    pub(super) fn note_load(&mut self) {
        let lag = self.settings.load_lag_ms.as_std();
        let load = self.current_load();
        self.load.push(load, lag, Instant::now());
    }

    pub(super) fn shown_load(&self) -> Load {
        let lag = self.settings.load_lag_ms.as_std();
        if lag.is_zero() {
            self.current_load()
        } else {
            self.load.shown(lag, Instant::now())
        }
    }
}
