//! The rate-limited store of model weights.

use async_trait::async_trait;
use jm_types::{ByteSize, DurationMs, ModelId, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ReadError;

/// A version of a model in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The version.
    pub version: WeightVersion,
    /// Size of its weights.
    pub size_bytes: ByteSize,
}

/// Why weights were not fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FetchError {
    /// The store's rate is used up.
    #[snafu(display("the weight store's rate is used up; try again in {retry_after_ms}"))]
    RateLimited {
        /// When the fetch would be let through.
        retry_after_ms: DurationMs,
    },
    /// The store does not have this version of the model.
    #[snafu(display("the weight store does not have this version of the model"))]
    UnknownVersion,
    /// The store cannot be reached, refuses to work, or its answer was lost.
    #[snafu(display("{source}"), context(false))]
    Fetch {
        /// The cause.
        source: ReadError,
    },
}

/// Access to model weights.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// The versions of a model, oldest first; empty when the model is not known.
    async fn versions(&self, model: &ModelId) -> Result<Vec<WeightInfo>, ReadError>;

    /// Reads the weights of one version.
    async fn fetch(&self, model: &ModelId, version: WeightVersion) -> Result<Vec<u8>, FetchError>;
}
