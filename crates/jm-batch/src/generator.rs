//! The border to what runs items on engines.

use std::{ops::ControlFlow, sync::Arc};

use async_trait::async_trait;
use jm_forward::Target;
use jm_types::{DurationMs, WeightVersion};

use crate::BatchSpec;

/// One run of one item.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The batch.
    pub spec: Arc<BatchSpec>,
    /// Index of the item in the batch.
    pub item: usize,
    /// Number of the last event that an earlier run brought; the run continues after it.
    pub resume_after: Option<u64>,
    /// Longest time for the run.
    pub time_left_ms: DurationMs,
}

/// What a run brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEvent {
    /// The weights that make the events from here on.
    Version(WeightVersion),
    /// One event of the text.
    Data {
        /// Its number; numbers rise by one.
        index: u64,
        /// Its part of the text.
        data: String,
    },
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The text is whole.
    Complete,
    /// The engine says that it did not run the item.
    NotRun {
        /// Status or cause.
        reason: String,
    },
    /// Nothing was written.
    Unsent {
        /// The cause.
        reason: String,
    },
    /// The engine failed the item; counts against its attempts.
    Failed {
        /// Status or cause.
        reason: String,
    },
    /// The engine says that the item can never be done.
    Impossible,
    /// The connection or the answer broke; what arrived can be continued elsewhere.
    Lost {
        /// The cause.
        reason: String,
    },
    /// The receiver of the events ended the run.
    Stopped,
}

/// Receives the events of one run, and ends it with [`ControlFlow::Break`].
pub type EventSink<'a> = &'a mut (dyn FnMut(GenerationEvent) -> ControlFlow<()> + Send);

/// Runs items on engines. Dropping the future closes the connection, which makes the engine stop.
#[async_trait]
pub trait Generator: Send + Sync {
    /// Runs one item on `target` and hands its events to `sink`.
    async fn generate(
        &self,
        target: &Target,
        request: &GenerationRequest,
        sink: EventSink<'_>,
    ) -> GenerationEnd;
}
