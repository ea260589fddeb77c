//! Simulated engines that generate drafts.

use jm_step::{Draft, FreeCapacity, Segment};
use jm_types::{TargetId, TokenCount, WeightVersion};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::Scenario;

/// Tokens per millisecond of an attempt that is not slow.
pub(crate) const RATE: f64 = 0.05;
/// Factor on the duration of a slow attempt.
const SLOW_FACTOR: f64 = 10.0;
/// Time span over which the engines load a new version, one after another.
const SWAP_SPREAD_MS: u64 = 2_000;

/// A draft that an engine generates.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) draft: Draft,
    pub(crate) engine: usize,
    rate: f64,
    tokens: f64,
    /// Weight versions with the token count at which each took effect.
    versions: Vec<(u64, f64)>,
}

/// The engines with their running drafts.
pub(crate) struct Fleet {
    draft_limits: Vec<usize>,
    versions: Vec<u64>,
    pub(crate) running: Vec<Running>,
    slow_share: f64,
    random: StdRng,
}

impl Running {
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens as u64
    }

    /// Segments that the engine reports for a draft of `length` tokens, one per version.
    pub(crate) fn segments(&self, length: u64) -> Vec<Segment> {
        let ends = self.versions.iter().skip(1).map(|&(_, begin)| begin as u64);
        let mut begin = 0;
        self.versions
            .iter()
            .zip(ends.chain([length]))
            .map(|(&(version, _), end)| {
                let tokens = TokenCount::new(end.saturating_sub(begin));
                begin = end;
                Segment {
                    version: Some(WeightVersion::new(version)),
                    tokens,
                }
            })
            .collect()
    }
}

impl Fleet {
    pub(crate) fn new(scenario: &Scenario, version: u64) -> Self {
        let engines = scenario.engines.min(scenario.concurrent_drafts).max(1);
        let share = |engine| {
            scenario.concurrent_drafts / engines + usize::from(engine < scenario.concurrent_drafts % engines)
        };
        Self {
            draft_limits: (0..engines).map(share).collect(),
            versions: vec![version; engines],
            running: Vec::new(),
            slow_share: scenario.slow_share,
            random: StdRng::seed_from_u64(scenario.seed ^ 0x5eed),
        }
    }

    fn free_capacity(&self) -> Vec<usize> {
        let mut free = self.draft_limits.clone();
        for running in &self.running {
            free[running.engine] -= 1;
        }
        free
    }

    pub(crate) fn capacity(&self) -> Vec<FreeCapacity> {
        let free = self.free_capacity();
        free.iter()
            .zip(&self.versions)
            .map(|(&drafts, &version)| FreeCapacity {
                version: WeightVersion::new(version),
                drafts,
            })
            .collect()
    }

    /// Starts a draft on the engine with the most free capacity. The engine to avoid is used only when no other
    /// engine has free capacity. Returns `None` when no engine can accept the draft.
    pub(crate) fn start(&mut self, draft: Draft) -> Option<&Running> {
        let free = self.free_capacity();
        let engine = (0..free.len())
            .filter(|&engine| free[engine] > 0 && self.versions[engine] >= draft.minimum_version.get())
            .max_by_key(|&engine| (draft.avoid != Some(engine_id(engine)), free[engine]))?;
        let slow = self.random.random_bool(self.slow_share);
        self.running.push(Running {
            draft,
            engine,
            rate: if slow { RATE / SLOW_FACTOR } else { RATE },
            tokens: 0.0,
            versions: vec![(self.versions[engine], 0.0)],
        });
        self.running.last()
    }

    /// Loads `version` on every engine whose delay since `named_ms` has passed. The delays of the engines are evenly
    /// distributed over [`SWAP_SPREAD_MS`].
    pub(crate) fn load_version(&mut self, version: u64, named_ms: u64, now_ms: u64) {
        let engines = self.versions.len() as u64;
        for engine in 0..self.versions.len() {
            let due_ms = named_ms + SWAP_SPREAD_MS * engine as u64 / engines;
            if now_ms < due_ms || self.versions[engine] >= version {
                continue;
            }
            self.versions[engine] = version;
            for running in self.running.iter_mut().filter(|running| running.engine == engine) {
                running.versions.push((version, running.tokens));
            }
        }
    }

    pub(crate) fn advance(&mut self, elapsed_ms: u64) {
        for running in &mut self.running {
            running.tokens += running.rate * elapsed_ms as f64;
        }
    }

    pub(crate) fn version(&self, engine: usize) -> WeightVersion {
        WeightVersion::new(self.versions[engine])
    }
}

pub(crate) fn engine_id(engine: usize) -> TargetId {
    match format!("engine-{engine}").parse() {
        Ok(id) => id,
        Err(_) => unreachable!("the name is a valid id"),
    }
}

/// Sample length of each slot in tokens.
pub(crate) fn lengths(scenario: &Scenario) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(scenario.seed);
    (0..scenario.samples)
        .map(|_| random.random_range(400..=600))
        .collect()
}
