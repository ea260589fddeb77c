//! Forwarding of requests: route matching, key checks, target selection, retries and hedging. `docs/platform.md`
//! describes the path of a request.
//!
//! Routing, selection and the retry policy perform no I/O. [`Forwarder`] applies them and sends requests through a
//! [`TargetClient`].

#![deny(missing_docs, unsafe_code)]

mod caller;
mod client;
mod cold;
mod cold_gate;
mod config_check;
mod config_document;
mod drain;
mod evacuation;
mod event_stream;
mod forwarder;
mod leaving;
mod retry;
mod routing;
mod selection;
mod stream_attempt;
mod stream_deadline;
mod streams;
mod target;

pub use caller::{CallerRequest, ForwardAnswer, ForwardRefusal, ForwardResult, Resumption};
pub use client::{
    AnswerBody, AttemptOptions, AttemptOutcome, NoticeListener, TargetAnswer, TargetClient, TargetNotices,
};
pub use cold::{ColdQuota, ColdTargets, SendKind, cold_quota};
pub use cold_gate::{ColdGate, HostKnowledge, ItemSender};
pub use config_check::{
    CheckLimits, ConfigField, EntryList, Finding, Place, Severity, check_config, compare_configs,
};
pub use config_document::{ConfigDocument, OrganisationEntry};
pub use drain::Drain;
pub use evacuation::{Evacuations, evacuated_retry_after};
pub use event_stream::limit_stalls;
pub use forwarder::{ForwardObserver, Forwarder, ForwarderOptions};
pub use leaving::LeavingTargets;
pub use retry::{RetryDecision, RetryOptions, RetryState};
pub use routing::{
    Access, AccessRefusal, BatchPolicy, CallerLimits, CapacityConfig, ColdStart, EngineConfig, Organisation,
    Route, RouteKind, RoutingTable, Service, ServiceWeight,
};
pub use selection::{SelectionOptions, TargetLoads};
pub use stream_deadline::limit_duration;
pub use streams::{
    AbsentVersions, MAX_ORIGINS, Origin, OriginSource, OriginTable, ParseStreamKeyError, RecentStreams,
    Recorded, ResumptionOutcome, ResumptionRefusal, SoftwareFilter, StoredOrigins, StreamKey, StreamRegistry,
    Streams, VersionsInUse, stream_life,
};
pub use target::{Catalog, RunKey, Target, TargetState};
