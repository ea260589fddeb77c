//! Forwarding of requests: which route a request takes, whether its key allows it, which target gets it, and what
//! follows when an attempt fails. `docs/platform.md` describes the path.
//!
//! Routes, choice and attempts are decided without input or output; [`Forwarder`] carries the decisions out through
//! a [`TargetClient`].

#![deny(missing_docs, unsafe_code)]

mod caller;
mod client;
mod forwarder;
mod retry;
mod routing;
mod selection;
mod target;

pub use caller::{CallerRequest, ForwardAnswer, ForwardRefusal, ForwardResult};
pub use client::{AnswerBody, AttemptOptions, AttemptOutcome, TargetAnswer, TargetClient};
pub use forwarder::{ForwardObserver, Forwarder, ForwarderOptions};
pub use retry::{RetryDecision, RetryOptions, RetryState};
pub use routing::{
    Access, AccessRefusal, BatchPolicy, CallerLimits, CapacityConfig, EngineConfig, Organisation, Route,
    RouteKind, RoutingTable, Service, ServiceWeight,
};
pub use selection::{SelectionOptions, TargetLoads};
pub use target::{Catalog, RunKey, Target, TargetState};
