//! Weight store with a rate limit on fetched bytes.

use std::collections::BTreeMap;

use async_trait::async_trait;
use jm_types::{ByteSize, DurationMs, ModelId, Timestamp, WeightVersion};
use snafu::OptionExt;

use super::MemoryPlatform;
use crate::{
    FetchError, ReadError, WeightInfo, WeightStore,
    weight::{RateLimitedSnafu, UnknownVersionSnafu},
};

pub(super) struct WeightState {
    models: BTreeMap<ModelId, BTreeMap<WeightVersion, Vec<u8>>>,
    bytes_per_s: u64,
    /// Remaining tokens of the token bucket, in bytes. Negative after a fetch that exceeds them.
    available_bytes: i128,
    refilled_at: Timestamp,
}

impl WeightState {
    pub(super) fn new(bytes_per_s: ByteSize, now: Timestamp) -> Self {
        Self {
            models: BTreeMap::new(),
            bytes_per_s: bytes_per_s.get().max(1),
            available_bytes: bytes_per_s.get().into(),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = i128::from(now.since(self.refilled_at).get());
        let rate = i128::from(self.bytes_per_s);
        let gained = elapsed_ms * rate / 1_000;
        if gained > 0 {
            self.available_bytes = rate.min(self.available_bytes + gained);
            self.refilled_at = now;
        }
    }

    /// Accepts a fetch while any token is left, so that weights larger than the burst size can be fetched.
    fn withdraw(&mut self, bytes: usize, now: Timestamp) -> Result<(), FetchError> {
        self.refill(now);
        if self.available_bytes <= 0 {
            let missing = self.available_bytes.unsigned_abs() + 1;
            let wait_ms = (missing * 1_000).div_ceil(self.bytes_per_s.into());
            let retry_after_ms = DurationMs::new(u64::try_from(wait_ms).unwrap_or(u64::MAX));
            return RateLimitedSnafu { retry_after_ms }.fail();
        }
        self.available_bytes -= i128::try_from(bytes).unwrap_or(i128::MAX);
        Ok(())
    }
}

impl MemoryPlatform {
    /// Stores the weights of one version. Existing weights of the same version are replaced.
    pub fn publish_weights(&self, model: ModelId, version: WeightVersion, weights: Vec<u8>) {
        let mut state = self.weights();
        state.models.entry(model).or_default().insert(version, weights);
    }
}

#[async_trait]
impl WeightStore for MemoryPlatform {
    async fn versions(&self, model: &ModelId) -> Result<Vec<WeightInfo>, ReadError> {
        let state = self.weights();
        let versions = state.models.get(model).into_iter().flatten();
        let info = |(version, weights): (&WeightVersion, &Vec<u8>)| WeightInfo {
            version: *version,
            size_bytes: ByteSize::new(weights.len() as u64),
        };
        Ok(versions.map(info).collect())
    }

    async fn fetch(&self, model: &ModelId, version: WeightVersion) -> Result<Vec<u8>, FetchError> {
        let now = self.shared.options.clock.now();
        let mut state = self.weights();
        let versions = state.models.get(model).context(UnknownVersionSnafu)?;
        let weights = versions.get(&version).context(UnknownVersionSnafu)?.clone();
        state.withdraw(weights.len(), now)?;
        Ok(weights)
    }
}
