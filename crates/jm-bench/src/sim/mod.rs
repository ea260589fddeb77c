//! A simulation harness in virtual time: fake engines, request sources and the routers under test.

mod cluster;
mod engine;
mod ids;
mod router;
mod source;

pub use cluster::{Cluster, ClusterOptions, Completed, LoadReports};
pub use engine::{EngineModel, FakeEngine, Sequence, StepEvent};
pub use ids::{member, organisation, service, target, zone};
pub use router::{NaiveRouter, Router};
pub use source::{Arrivals, Prefixes, Source};
