//! The cheapest set of targets for one service.
//!
//! Let m be the maximum number of cheap targets in one zone. Live capacity survives the loss of any zone's cheap
//! targets if and only if the number of all targets minus m is at least the live requirement. For a fixed m, the
//! cheapest set uses the cheapest offers first. Trying every useful m therefore finds the optimum of one service.

use crate::{Tier, demand::RequiredTargets};

/// Targets of one zone and tier that a service can use at one price.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PurchaseOption {
    pub(crate) zone: usize,
    pub(crate) tier: Tier,
    pub(crate) price: f64,
    pub(crate) limit: u32,
}

/// Numbers of targets by zone and tier.
pub(crate) type Allocation = Vec<[u32; 2]>;

/// A set of targets with its shortfalls and cost. Sets are compared by live shortfall, then total shortfall, then cost.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) counts: Allocation,
    pub(crate) live_short: u32,
    pub(crate) total_short: u32,
    pub(crate) cost: f64,
}

impl Candidate {
    pub(crate) fn better_than(&self, other: &Self) -> bool {
        (self.live_short, self.total_short, self.cost) < (other.live_short, other.total_short, other.cost)
    }
}

/// Number of targets missing for live demand after the loss of the most cheap targets of one zone, and for all demand.
pub(crate) fn shortfall(counts: &Allocation, required: RequiredTargets) -> (u32, u32) {
    let total: u32 = counts.iter().flatten().sum();
    let lost = counts
        .iter()
        .map(|zone| zone[Tier::Cheap as usize])
        .max()
        .unwrap_or(0);
    (
        required.live.saturating_sub(total - lost),
        required.total.saturating_sub(total),
    )
}

/// Returns the best set of targets out of `options`, which are sorted by price.
pub(crate) fn allocate(required: RequiredTargets, options: &[PurchaseOption], zones: usize) -> Candidate {
    let most_cheap = options
        .iter()
        .filter(|option| option.tier == Tier::Cheap)
        .map(|option| option.limit)
        .sum::<u32>();
    let highest = most_cheap.min(required.total.max(required.live));
    let mut best = candidate(required, options, zones, 0);
    let mut step = 1;
    let mut per_zone = 1;
    while per_zone <= highest {
        let next = candidate(required, options, zones, per_zone);
        if next.better_than(&best) {
            best = next;
        }
        // Tries every number up to 64, then steps of about 2%, so that the run time does not grow with the fleet.
        step = step.max(per_zone / 64);
        per_zone += step;
    }
    best
}

/// Returns the cheapest set with at most `per_zone` cheap targets in any zone.
fn candidate(
    required: RequiredTargets,
    options: &[PurchaseOption],
    zones: usize,
    per_zone: u32,
) -> Candidate {
    let mut counts: Allocation = vec![[0; 2]; zones];
    let mut missing = required.total.max(required.live.saturating_add(per_zone));
    if required.live == 0 {
        missing = required.total;
    }
    let mut cost = 0.0;
    for option in options {
        let count = &mut counts[option.zone][option.tier as usize];
        let cap = match option.tier {
            Tier::Regular => u32::MAX,
            Tier::Cheap => per_zone.saturating_sub(*count),
        };
        let taken = option.limit.min(cap).min(missing);
        *count += taken;
        missing -= taken;
        cost += f64::from(taken) * option.price;
    }
    let (live_short, total_short) = shortfall(&counts, required);
    Candidate {
        counts,
        live_short,
        total_short,
        cost,
    }
}
