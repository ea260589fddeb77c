//! Demand of a service, smoothed with hysteresis.

use jm_types::{Rate, ServiceId, Timestamp};

use crate::PlanOptions;

/// Demand of one service in tokens per second, or in requests per second for a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// Service that the demand is for.
    pub service: ServiceId,
    /// Demand of live clients. Its capacity must survive the loss of the cheap targets of any one zone.
    pub live: Rate,
    /// Demand of training. Its capacity may be missing temporarily.
    pub training: Rate,
    /// Rate that one target can serve.
    pub per_target: Rate,
}

/// Number of intervals into which the scale-down delay is divided. The rolling maximum covers at least all but one of
/// them.
const INTERVALS: usize = 4;

/// Rolling maximum of a demand, and the demand that is planned for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct PlannedDemand {
    planned: f64,
    /// Maximum demand of each interval of the scale-down delay, the current interval first.
    recent: [f64; INTERVALS],
}

impl PlannedDemand {
    fn update(&mut self, demand: f64, is_new_interval: bool, options: &PlanOptions) -> f64 {
        if is_new_interval {
            self.recent.rotate_right(1);
            self.recent[0] = demand;
        }
        self.recent[0] = self.recent[0].max(demand);
        let highest = self.recent.into_iter().fold(0.0, f64::max);
        let release = options.scale_down_per_thousand as f64 / 1_000.0;
        let margin = options.margin_per_thousand as f64 / 1_000.0;
        if demand > self.planned {
            self.planned = highest * margin;
        } else if highest < release * self.planned {
            // The margin is applied twice: the last readings may have been low by chance, and targets that were
            // released should not be ordered again soon.
            self.planned = highest * margin * margin;
        }
        self.planned
    }
}

/// State of the demand of one service between plans.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandState {
    live: PlannedDemand,
    training: PlannedDemand,
    interval_started: Option<Timestamp>,
}

/// Number of targets that a service requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequiredTargets {
    /// For live demand alone.
    pub(crate) live: u32,
    /// For live and training demand.
    pub(crate) total: u32,
}

impl DemandState {
    /// Adds a measurement and returns the number of targets to plan for.
    pub(crate) fn update(
        &mut self,
        demand: &ServiceDemand,
        now: Timestamp,
        options: &PlanOptions,
    ) -> RequiredTargets {
        let interval = options.scale_down_delay.get() / INTERVALS as u64;
        let is_new_interval = self
            .interval_started
            .is_none_or(|since| now.since(since).get() >= interval);
        if is_new_interval {
            self.interval_started = Some(now);
        }
        let live = self.live.update(demand.live.get(), is_new_interval, options);
        let training = self
            .training
            .update(demand.training.get(), is_new_interval, options);
        let per_target = demand.per_target.get().max(f64::MIN_POSITIVE);
        RequiredTargets {
            live: targets_for(live / per_target),
            total: targets_for((live + training) / per_target),
        }
    }
}

/// Rounds up to whole targets. The tolerance of 1e-9 keeps a rounding error of the division from adding a target.
fn targets_for(targets: f64) -> u32 {
    (targets - 1e-9).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
