//! Stand-ins for the systems around jacinthmoor, with fault injection.
//!
//! They are for tests, benchmarks, soak runs and the demonstration; the daemons do not depend on this crate. Each HTTP
//! stand-in listens on loopback by default, and a [`Relay`] in front of its HTTP server records the received bytes.

#![deny(missing_docs, unsafe_code)]

mod command;
mod engine;
mod fault_plan;
mod notify;
mod platform;
mod recording;
mod relay;
mod server;
mod service;
mod trainer;

pub use command::{
    engine_arguments, platform_arguments, run_engine, run_platform, run_service, service_arguments,
};
pub use engine::{
    BLOCK_BYTES, CacheEvent, CacheEventKind, CacheEvents, Engine, EngineCounts, EngineFault, EngineOptions,
    EngineSettings, FinalLine, GenerateRequest, Load, Order, OrderAnswer, OrderKind, ReceivedOrder, Role,
    Segment, SentToken, TokenLine, expected_text, expected_token, prefix_hash, prompt_tokens,
};
pub use platform::{CallKind, Faults, PlatformOptions, PlatformServer};
pub use recording::Recording;
pub use relay::{Direction, Flow, Relay};
pub use service::{
    PlainService, REQUEST_ID_FIELD, REQUEST_ID_HEADER, ServiceAnswer, ServiceFault, ServiceOptions,
};
pub use trainer::{
    Acknowledgement, NamedVersion, PlannedVersion, Sample, StepError, StepRequest, StepResult, Trainer,
    TrainerOptions, Violation,
};
