//! Capacity plan over regular and cheap targets, and roll-out plan of weight versions.
//!
//! Both are pure: the control daemon passes in what it knows and carries out the orders that come back. See
//! `docs/routing.md` for the alternatives and the measured figures.

#![deny(missing_docs, unsafe_code)]

mod allocate;
mod assign;
mod capacity;
mod demand;
mod loads;
mod offer;
mod replacement;
mod rollout;

pub use assign::Assignment;
pub use capacity::{CapacityOrder, CapacityPlan, PlanInput, Shortfall, plan_capacity};
pub use demand::{DemandMemory, ServiceDemand};
pub use loads::{Load, LoadEngine, LoadPlan, LoadsOptions};
pub use offer::{Counts, Offer, PlanMemory, PlanOptions, Tier, ZoneOffer};
pub use replacement::{Place, Replacement, ReplacementOptions, Seen, WantedTargets};
pub use rollout::{Rollout, RolloutEngine, RolloutOptions, RolloutStatus, SwapResult, WeightOrder};
