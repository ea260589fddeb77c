//! Benchmarks of decisions, one module per group.

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

/// Length of the simulations and number of the cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Small enough for CI.
    Small,
    /// Produces the table in `docs/routing.md`.
    Full,
}

impl Size {
    const fn select(self, small: u64, full: u64) -> u64 {
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

/// The percentile `percent` of ascending values (nearest rank); 0 when there are no values.
fn percentile(values: &[u64], percent: usize) -> f64 {
    let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(index).copied().unwrap_or(0) as f64
}

/// A benchmark group: its name and the function that runs it with a seed.
pub type Group = (&'static str, fn(u64, Size) -> Vec<crate::Row>);

/// All groups, in the order in which they run.
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
