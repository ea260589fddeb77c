//! Interface to the engines that run items.

use std::{ops::ControlFlow, sync::Arc};

use async_trait::async_trait;
use jm_forward::Target;
use jm_types::{DurationMs, WeightVersion};

use crate::BatchSpec;

/// One run of one item.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Specification of the batch.
    pub spec: Arc<BatchSpec>,
    /// Index of the item in the batch.
    pub item: usize,
    /// Number of the last event of the earlier runs. The run continues after it; `None` starts from the beginning.
    pub resume_after: Option<u64>,
    /// Time limit of the run.
    pub time_left_ms: DurationMs,
}

/// Output of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEvent {
    /// Version of the weights that generate the following events.
    Version(WeightVersion),
    /// One event of the text.
    Data {
        /// Event number. The numbers of consecutive events increase by one.
        index: u64,
        /// Text of the event.
        data: String,
    },
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The text is complete.
    Complete,
    /// The engine reported that it did not run the item.
    NotRun {
        /// Status or cause.
        reason: String,
    },
    /// The request was not sent to the engine.
    Unsent {
        /// Why it was not sent.
        reason: String,
    },
    /// The engine failed to process the item, which counts against the item's attempts.
    Failed {
        /// Status or cause.
        reason: String,
    },
    /// The engine reported that no engine can process the item.
    Impossible,
    /// The connection or the response broke off. Another run can continue after the received events.
    Lost {
        /// Description of the failure.
        reason: String,
    },
    /// The receiver of the events stopped the run.
    Stopped,
}

/// Receives the events of one run. It returns [`ControlFlow::Break`] to stop the run.
pub type EventSink<'a> = &'a mut (dyn FnMut(GenerationEvent) -> ControlFlow<()> + Send);

/// Runs items on engines. Dropping the future closes the connection, which makes the engine stop the run.
#[async_trait]
pub trait Generator: Send + Sync {
    /// Runs one item on `target` and passes its events to `sink`.
    async fn generate(
        &self,
        target: &Target,
        request: &GenerationRequest,
        sink: EventSink<'_>,
    ) -> GenerationEnd;
}
