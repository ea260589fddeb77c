//! The measurements, one module per group.

mod cost;
mod lag;
mod live;
mod prefix;
mod retry;
mod shares;
mod spending;
mod weights;

pub use cost::cost;
pub use lag::lagging_inputs;
pub use live::live_service;
pub use prefix::prefix_cache;
pub use retry::retries;
pub use shares::worst_served;
pub use spending::spending;
pub use weights::weight_changes;

use crate::sim::{NaiveRouter, Router};
use jm_route::{Scheduler, SchedulerOptions};

/// How much is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Small enough for CI.
    Small,
    /// For the table in `docs/routing.md`.
    Full,
}

impl Size {
    const fn seconds(self, small: u64, full: u64) -> u64 {
        match self {
            Self::Small => small,
            Self::Full => full,
        }
    }
}

fn ours() -> Box<dyn Router> {
    Box::new(Scheduler::new(SchedulerOptions::default()))
}

fn naive() -> Box<dyn Router> {
    Box::new(NaiveRouter::default())
}

/// The value below which `percent` of the ascending values lie; 0 without values.
fn percentile(values: &[u64], percent: usize) -> f64 {
    let place = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(place).copied().unwrap_or(0) as f64
}

/// A group of measurements: its name and the function that makes them from a seed.
pub type Group = (&'static str, fn(u64, Size) -> Vec<crate::Row>);

/// Every group.
pub const ALL: &[Group] = &[
    ("live service", live_service),
    ("worst-served organisation", worst_served),
    ("prefix cache", prefix_cache),
    ("retries", retries),
    ("spending", spending),
    ("weight changes", weight_changes),
    ("lagging inputs", lagging_inputs),
    ("cost", cost),
];
