//! Demand of a service, with hysteresis.

use jm_types::{Rate, ServiceId, Timestamp};

use crate::PlanOptions;

/// Demand of one service in tokens a second (requests a second for a plain service).
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Live demand; its capacity survives the loss of the cheap targets of any one zone.
    pub live: Rate,
    /// Training demand; may be lost for a while.
    pub training: Rate,
    /// What one target serves.
    pub per_target: Rate,
}

/// Parts into which the hold time is divided; the maximum covers at least all but one of them.
const HOLD_PARTS: usize = 4;

/// Rolling maximum of a demand and the demand planned for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Planned {
    planned: f64,
    /// Largest demand in each of the last parts of the hold time, the running part first.
    recent: [f64; HOLD_PARTS],
}

impl Planned {
    fn update(&mut self, demand: f64, new_part: bool, options: &PlanOptions) -> f64 {
        if new_part {
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
            // The margin counts twice, because the noise of the last readings may have been low by chance and
            // targets that were given back should not be ordered again soon.
            self.planned = highest * margin * margin;
        }
        self.planned
    }
}

/// Remembered demand of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandState {
    live: Planned,
    training: Planned,
    part_since: Option<Timestamp>,
}

/// Numbers of targets that a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Need {
    /// For live demand alone.
    pub(crate) live: u32,
    /// For live and training demand.
    pub(crate) total: u32,
}

impl DemandState {
    /// Takes a reading and returns the number of targets to plan for.
    pub(crate) fn update(&mut self, demand: &ServiceDemand, now: Timestamp, options: &PlanOptions) -> Need {
        let part = options.scale_down_delay.get() / HOLD_PARTS as u64;
        let new_part = self.part_since.is_none_or(|since| now.since(since).get() >= part);
        if new_part {
            self.part_since = Some(now);
        }
        let live = self.live.update(demand.live.get(), new_part, options);
        let training = self.training.update(demand.training.get(), new_part, options);
        let per_target = demand.per_target.get().max(f64::MIN_POSITIVE);
        Need {
            live: targets_for(live / per_target),
            total: targets_for((live + training) / per_target),
        }
    }
}

/// Whole targets; a rounding error of the division does not buy another one.
fn targets_for(targets: f64) -> u32 {
    (targets - 1e-9).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
