//! Capacity plan: how many targets of each service to run in each zone and tier.

use jm_types::{ServiceId, Timestamp, ZoneId};

use crate::{
    Counts, PlanOptions, PlanState, ServiceDemand, Tier, ZoneOffer,
    allocate::{Allocation, Candidate, PurchaseOption, allocate, shortfall},
    demand::RequiredTargets,
};

/// Maximum number of sequences in which the services are planned one after another. With many services, these are only
/// a part of all sequences.
const MAX_SEQUENCES: usize = 24;

/// Input of [`plan_capacity`].
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// Current demand of each service.
    pub services: &'a [ServiceDemand],
    /// Prices and limits of each zone.
    pub zones: &'a [ZoneOffer],
    /// Targets that are running or ordered.
    pub current: &'a Counts,
    /// State returned with the previous plan.
    pub state: PlanState,
    /// Time at which the demand was measured.
    pub now: Timestamp,
    /// Settings of the plan.
    pub options: PlanOptions,
}

/// An order to change the number of targets of a service in one zone and tier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Service whose targets change.
    pub service: ServiceId,
    /// Availability zone of the targets.
    pub zone: ZoneId,
    /// Tier of the targets.
    pub tier: Tier,
    /// Number of targets to add, or to release if negative. Never zero.
    pub change: i64,
}

/// Number of targets that a service needs but the zones do not offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// Service whose demand cannot be met.
    pub service: ServiceId,
    /// Targets missing for live demand after the loss of the cheap targets of the zone that has most of them.
    pub live: u32,
    /// Targets missing for live and training demand together.
    pub total: u32,
}

/// The result of [`plan_capacity`].
#[derive(Debug, Clone)]
pub struct CapacityPlan {
    /// Planned number of targets.
    pub targets: Counts,
    /// Orders that turn the current targets into the planned ones.
    pub orders: Vec<CapacityOrder>,
    /// Services whose demand cannot be met.
    pub shortfalls: Vec<Shortfall>,
    /// Price of the planned targets per hour, in millionths of the currency.
    pub price_micros: u64,
    /// State to pass to the next call.
    pub state: PlanState,
}

/// Plans targets at the lowest price so that live capacity survives the loss of all cheap targets of any one zone.
/// Current targets are kept unless demand exceeds them or another plan saves at least `min_saving_per_thousand`, so
/// that a noisy load causes few orders.
pub fn plan_capacity(input: PlanInput<'_>) -> CapacityPlan {
    let mut state = input.state.clone();
    let required: Vec<RequiredTargets> = input
        .services
        .iter()
        .map(|demand| {
            let demand_state = state.demand.entry(demand.service.clone()).or_default();
            demand_state.update(demand, input.now, &input.options)
        })
        .collect();
    record_unavailable(&mut state, &input);
    let planner = Planner {
        input: &input,
        required: &required,
        state: &state,
    };
    let current = planner.current_allocations();
    let best = planner.cheapest(&current);
    let chosen = if planner.keeps_current(&current, &best) {
        current
    } else {
        best
    };
    let plan = planner.result(&chosen);
    if plan.orders.iter().any(|order| order.change > 0) {
        state.last_growth = Some(input.now);
    }
    plan.with_state(state)
}

fn record_unavailable(state: &mut PlanState, input: &PlanInput<'_>) {
    for zone in input.zones.iter().filter(|zone| !zone.cheap.available) {
        state.unavailable.insert(zone.zone.clone(), input.now);
    }
    let cooldown = input.options.unavailable_cooldown;
    state
        .unavailable
        .retain(|_, since| input.now.since(*since) < cooldown);
}

/// Targets by service.
type Allocations = Vec<Allocation>;

struct Planner<'a> {
    input: &'a PlanInput<'a>,
    required: &'a [RequiredTargets],
    state: &'a PlanState,
}

impl Planner<'_> {
    fn current_count(&self, service: usize, zone: usize, tier: Tier) -> u32 {
        let service = &self.input.services[service].service;
        let key = (service.clone(), self.input.zones[zone].zone.clone(), tier);
        self.input.current.get(&key).copied().unwrap_or(0)
    }

    fn current_allocations(&self) -> Allocations {
        let zones = 0..self.input.zones.len();
        let counts = |service, zone| Tier::ALL.map(|tier| self.current_count(service, zone, tier));
        (0..self.input.services.len())
            .map(|service| zones.clone().map(|zone| counts(service, zone)).collect())
            .collect()
    }

    fn price(&self, allocations: &Allocations) -> u64 {
        let zone_price = |counts: &Allocation| -> u64 {
            let prices = self
                .input
                .zones
                .iter()
                .map(|zone| Tier::ALL.map(|tier| zone.tier(tier).price_micros));
            let pairs = counts.iter().zip(prices);
            pairs
                .map(|(n, price)| u64::from(n[0]) * price[0] + u64::from(n[1]) * price[1])
                .sum()
        };
        allocations.iter().map(zone_price).sum()
    }

    fn shortfalls(&self, allocations: &Allocations) -> (u32, u32) {
        let pairs = allocations.iter().zip(self.required);
        pairs
            .map(|(counts, required)| shortfall(counts, *required))
            .fold((0, 0), |sum, short| (sum.0 + short.0, sum.1 + short.1))
    }

    /// Whether to keep the current targets: their shortfall is not larger than that of the best plan, and they are
    /// either nearly as cheap or were added recently.
    fn keeps_current(&self, current: &Allocations, best: &Allocations) -> bool {
        let limit = self.price(best) * (1_000 + self.input.options.min_saving_per_thousand) / 1_000;
        let settled = |last_growth| self.input.now.since(last_growth) >= self.input.options.scale_up_cooldown;
        let settling = !self.state.last_growth.is_none_or(settled);
        self.shortfalls(current) <= self.shortfalls(best) && (settling || self.price(current) <= limit)
    }

    /// Plans the services one after another, because they share the limits of the zones. Tries several sequences
    /// and returns the best result.
    fn cheapest(&self, current: &Allocations) -> Allocations {
        let mut best: Option<((u32, u32), f64, Allocations)> = None;
        for sequence in self.service_sequences() {
            let (cost, allocations) = self.in_sequence(&sequence, current);
            let candidate = (self.shortfalls(&allocations), cost, allocations);
            if best
                .as_ref()
                .is_none_or(|best| (candidate.0, candidate.1) < (best.0, best.1))
            {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, allocations)| allocations).unwrap_or_default()
    }

    fn service_sequences(&self) -> Vec<Vec<usize>> {
        let mut by_training: Vec<usize> = (0..self.required.len()).collect();
        // A service with a large share of training demand benefits most from cheap targets, because it tolerates their
        // loss.
        by_training.sort_by_key(|service| {
            let required = self.required[*service];
            (u64::from(required.live) * 1_000) / u64::from(required.total.max(1))
        });
        let mut sequences = vec![by_training];
        let mut next = 0;
        while next < sequences.len() && sequences.len() < MAX_SEQUENCES {
            let sequence = sequences[next].clone();
            for position in 1..sequence.len() {
                let mut swapped = sequence.clone();
                swapped.swap(position - 1, position);
                if !sequences.contains(&swapped) && sequences.len() < MAX_SEQUENCES {
                    sequences.push(swapped);
                }
            }
            next += 1;
        }
        sequences
    }

    fn in_sequence(&self, sequence: &[usize], current: &Allocations) -> (f64, Allocations) {
        let mut left: Allocation = self
            .input
            .zones
            .iter()
            .map(|zone| [zone.regular.limit, zone.cheap.limit])
            .collect();
        let mut result = vec![Allocation::new(); self.required.len()];
        let mut cost = 0.0;
        for service in sequence {
            let options = self.purchase_options(&current[*service], &left);
            let Candidate {
                counts,
                cost: own_cost,
                ..
            } = allocate(self.required[*service], &options, left.len());
            for (left, taken) in left.iter_mut().zip(&counts) {
                left[0] -= taken[0];
                left[1] -= taken[1];
            }
            cost += own_cost;
            result[*service] = counts;
        }
        (cost, result)
    }

    /// Options of one service, cheapest first. Current targets get a discount, so that equal offers do not cause
    /// orders.
    fn purchase_options(&self, current: &Allocation, left: &Allocation) -> Vec<PurchaseOption> {
        let discount = 1.0 - self.input.options.min_saving_per_thousand as f64 / 1_000.0;
        let mut options = Vec::new();
        for (zone, offer) in self.input.zones.iter().enumerate() {
            for tier in Tier::ALL {
                let price = offer.tier(tier).price_micros as f64;
                let kept = current[zone][tier as usize].min(left[zone][tier as usize]);
                options.push(PurchaseOption {
                    zone,
                    tier,
                    price: price * discount,
                    limit: kept,
                });
                if self.orderable(offer, tier) {
                    let limit = left[zone][tier as usize] - kept;
                    options.push(PurchaseOption {
                        zone,
                        tier,
                        price,
                        limit,
                    });
                }
            }
        }
        options.sort_by(|a, b| a.price.total_cmp(&b.price));
        options
    }

    fn orderable(&self, offer: &ZoneOffer, tier: Tier) -> bool {
        let is_blocked = tier == Tier::Cheap && self.state.unavailable.contains_key(&offer.zone);
        offer.tier(tier).available && !is_blocked
    }

    fn result(&self, chosen: &Allocations) -> CapacityPlan {
        let mut plan = CapacityPlan {
            targets: Counts::new(),
            orders: Vec::new(),
            shortfalls: Vec::new(),
            price_micros: self.price(chosen),
            state: PlanState::default(),
        };
        for (service, counts) in chosen.iter().enumerate() {
            self.add_service(&mut plan, service, counts);
        }
        self.release_unplanned(&mut plan);
        plan
    }

    /// Releases the targets of services that are no longer planned.
    fn release_unplanned(&self, plan: &mut CapacityPlan) {
        for ((service, zone, tier), count) in self.input.current {
            let planned = self
                .input
                .services
                .iter()
                .any(|demand| demand.service == *service);
            if !planned && *count > 0 {
                plan.orders.push(CapacityOrder {
                    service: service.clone(),
                    zone: zone.clone(),
                    tier: *tier,
                    change: -i64::from(*count),
                });
            }
        }
    }

    fn add_service(&self, plan: &mut CapacityPlan, service: usize, counts: &Allocation) {
        let id = &self.input.services[service].service;
        let (live, total) = shortfall(counts, self.required[service]);
        if live > 0 || total > 0 {
            plan.shortfalls.push(Shortfall {
                service: id.clone(),
                live,
                total,
            });
        }
        for (index, offer) in self.input.zones.iter().enumerate() {
            for tier in Tier::ALL {
                let planned = counts[index][tier as usize];
                let change = i64::from(planned) - i64::from(self.current_count(service, index, tier));
                if planned > 0 {
                    plan.targets
                        .insert((id.clone(), offer.zone.clone(), tier), planned);
                }
                if change != 0 {
                    let (service, zone) = (id.clone(), offer.zone.clone());
                    plan.orders.push(CapacityOrder {
                        service,
                        zone,
                        tier,
                        change,
                    });
                }
            }
        }
    }
}

impl CapacityPlan {
    fn with_state(self, state: PlanState) -> Self {
        Self { state, ..self }
    }
}
