//! The cheapest set of targets for one service.
//!
//! Let m be the largest number of cheap targets in one zone. Live capacity survives the loss of any zone's cheap
//! targets exactly if all targets minus m cover the live need. For a fixed m the cheapest set takes the cheapest
//! offers first, so trying every useful m gives the optimum of one service.

use crate::{Tier, demand::Need};

/// Targets of one zone and tier that a service may use at one price.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lot {
    pub(crate) zone: usize,
    pub(crate) tier: Tier,
    pub(crate) price: f64,
    pub(crate) limit: u32,
}

/// Numbers of targets by zone and tier.
pub(crate) type Allocation = Vec<[u32; 2]>;

/// A set of targets and how well it serves the need; compared by live shortfall, total shortfall, then cost.
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

/// How many targets are missing for live demand after the worst loss, and in all.
pub(crate) fn shortfall(counts: &Allocation, need: Need) -> (u32, u32) {
    let total: u32 = counts.iter().flatten().sum();
    let lost = counts
        .iter()
        .map(|zone| zone[Tier::Cheap as usize])
        .max()
        .unwrap_or(0);
    (
        need.live.saturating_sub(total - lost),
        need.total.saturating_sub(total),
    )
}

/// The best set of targets out of `lots`, which are sorted by price.
pub(crate) fn allocate(need: Need, lots: &[Lot], zones: usize) -> Candidate {
    let most_cheap = lots
        .iter()
        .filter(|lot| lot.tier == Tier::Cheap)
        .map(|lot| lot.limit)
        .sum::<u32>();
    let highest = most_cheap.min(need.total.max(need.live));
    let mut best = candidate(need, lots, zones, 0);
    let mut step = 1;
    let mut per_zone = 1;
    while per_zone <= highest {
        let next = candidate(need, lots, zones, per_zone);
        if next.better_than(&best) {
            best = next;
        }
        // Every number up to 64, then steps of about 2%, so that the time does not grow with the fleet.
        step = step.max(per_zone / 64);
        per_zone += step;
    }
    best
}

/// The cheapest set with at most `per_zone` cheap targets in any zone.
fn candidate(need: Need, lots: &[Lot], zones: usize, per_zone: u32) -> Candidate {
    let mut counts: Allocation = vec![[0; 2]; zones];
    let mut missing = need.total.max(need.live.saturating_add(per_zone));
    if need.live == 0 {
        missing = need.total;
    }
    let mut cost = 0.0;
    for lot in lots {
        let count = &mut counts[lot.zone][lot.tier as usize];
        let cap = match lot.tier {
            Tier::Regular => u32::MAX,
            Tier::Cheap => per_zone.saturating_sub(*count),
        };
        let taken = lot.limit.min(cap).min(missing);
        *count += taken;
        missing -= taken;
        cost += f64::from(taken) * lot.price;
    }
    let (live_short, total_short) = shortfall(&counts, need);
    Candidate {
        counts,
        live_short,
        total_short,
        cost,
    }
}
