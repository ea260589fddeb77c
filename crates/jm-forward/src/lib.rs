//! Forwarding of requests: which route a request takes, whether its key allows it, which target gets it, and what
//! follows when an attempt fails. `docs/platform.md` describes the path.
//!
//! Routes, choice and attempts are decided without input or output; [`Forwarder`] carries the decisions out through
//! a [`TargetClient`].

#![deny(missing_docs, unsafe_code)]

mod attempt;
mod caller;
mod choice;
mod client;
mod forwarder;
mod routing;
mod target;

pub use attempt::{Attempts, AttemptsOptions, NextStep};
pub use caller::{CallerRequest, ForwardAnswer, ForwardRefusal, Forwarded};
pub use choice::{ChoiceOptions, TargetLoads};
pub use client::{AnswerBody, AttemptOptions, AttemptOutcome, TargetAnswer, TargetClient};
pub use forwarder::{ForwardObserver, Forwarder, ForwarderOptions};
pub use routing::{
    Access, AccessRefusal, BatchTerms, CallerLimits, CapacityTerms, EngineTerms, Organisation, Route,
    RouteKind, RoutingTable, Service, ServiceWeight,
};
pub use target::{Catalog, RunKey, Target, TargetState};
