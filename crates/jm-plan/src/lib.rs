//! Planning of capacity, weight loads, weight roll-outs and replacements of lost targets.
//!
//! All plans are computed without I/O: the caller passes in the observed state and executes the returned orders. See
//! `docs/routing.md` for the alternatives and the measured figures.

#![deny(missing_docs, unsafe_code)]

mod allocate;
mod assignment;
mod capacity;
mod demand;
mod loads;
mod offer;
mod replacement;
mod rollout;

pub use assignment::ModelAssignment;
pub use capacity::{CapacityOrder, CapacityPlan, PlanInput, Shortfall, plan_capacity};
pub use demand::{DemandState, ServiceDemand};
pub use loads::{EngineWeights, WeightLoad, WeightLoadOptions, WeightLoadPlan};
pub use offer::{Counts, Offer, PlanOptions, PlanState, Tier, ZoneOffer};
pub use replacement::{DesiredTargets, ObservedTargets, Replacement, ReplacementOptions, ServiceZone};
pub use rollout::{Rollout, RolloutEngine, RolloutOptions, RolloutStatus, SwapResult, WeightOrder};
