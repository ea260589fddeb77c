//! Batches: sets of generation requests that are submitted together, stored, and run asynchronously.
//!
//! A batch is stored before it is acknowledged, and a result is stored before it is listed for readers. Any host can
//! therefore resume a batch after any failure. `docs/platform.md` describes the objects and who writes them.

#![deny(missing_docs, unsafe_code)]

mod carry_over;
mod checkpoint;
mod digest;
mod engine_load;
mod engine_speed;
mod events;
mod expected_end;
mod generator;
mod groups;
mod handover;
mod held_prompts;
mod item_text;
mod next_owner;
mod owned;
mod ownership;
mod pause;
mod placement;
mod plan;
mod result;
mod resumption;
mod reward;
mod reward_queue;
mod runner;
mod service;
mod spec;
mod state;
mod store;
mod write_schedule;

pub use checkpoint::{CheckpointOptions, CheckpointState, longest_texts, texts_to_save};
pub use engine_load::{EngineLoads, ItemRequirements, LoadOptions, RemoteWork};
pub use engine_speed::{EngineSpeed, ObservedSpeed};
pub use events::{
    BatchEvents, BatchProgress, BegunAnew, CarriedOver, Displacement, HandoverEvents, PlacedItems,
    RewardAttempt, RunEnd, StateSource,
};
pub use generator::{EventSink, GenerationEnd, GenerationEvent, GenerationRequest, Generator};
pub use handover::{
    Giver, Handover, HandoverReply, HandoverStatus, OwnerNotice, PendingHandover, ProgressReport, RunningItem,
};
pub use held_prompts::{PromptPart, PromptPartId};
pub use item_text::ItemText;
pub use next_owner::{Candidate, next_owner};
pub use ownership::{CopyDecision, MembershipView, Takeover, copy_decision, takeover};
pub use pause::PauseDetector;
pub use placement::{Placed, Placement, PlacementReason};
pub use plan::{BatchPlan, ItemState, PlanOptions};
pub use result::{BatchResult, ResultPage, ResultPiece, ResultState};
pub use resumption::{AllowedSoftware, TextOrigin, begins_anew};
pub use reward::{InvalidScore, RewardCall, RewardClient, RewardEnd, RewardScore};
pub use reward_queue::{
    EndedAttempt, RewardKey, RewardOptions, RewardPass, RewardQueue, RewardStart, RewardUrgency,
};
pub use runner::{RoutingSource, RunnerOptions};
pub use service::{
    BatchPeers, BatchService, BatchServiceDependencies, BatchServiceOptions, ReadError, SubmitError,
};
pub use spec::{BatchItem, BatchSpec, HEADER_BYTES, ITEM_BYTES, SpecError, SpecMemory};
pub use state::{BatchPhase, BatchState};
pub use store::{BATCH_STATE_PREFIX, BatchStore, ResultsRead, StoreError};
pub use write_schedule::{UnwrittenResults, WriteScheduleOptions, next_write_at};
