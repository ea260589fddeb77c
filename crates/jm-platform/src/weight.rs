//! API of the rate-limited store of model weights.

use async_trait::async_trait;
use jm_types::{ByteSize, DurationMs, ModelId, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ReadError;

/// A weight version of a model in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// Version under which the store holds the weights.
    pub version: WeightVersion,
    /// Size of the weights.
    pub size_bytes: ByteSize,
}

/// Reason why weights were not fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FetchError {
    /// The rate limit of the store is exceeded.
    #[snafu(display("the rate limit of the weight store is exceeded, retry after {retry_after_ms}"))]
    RateLimited {
        /// Time after which the same fetch would be accepted.
        retry_after_ms: DurationMs,
    },
    /// The store does not have this version of the model.
    #[snafu(display("the weight store has no such version of the model"))]
    UnknownVersion,
    /// The store cannot be reached, refuses the request, or its response was lost.
    #[snafu(display("{source}"), context(false))]
    Fetch {
        /// Error of the read from the weight store.
        source: ReadError,
    },
}

/// API for reading model weights.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the versions of a model, oldest first. The list is empty for an unknown model.
    async fn versions(&self, model: &ModelId) -> Result<Vec<WeightInfo>, ReadError>;

    /// Reads the weights of one version.
    async fn fetch(&self, model: &ModelId, version: WeightVersion) -> Result<Vec<u8>, FetchError>;
}
