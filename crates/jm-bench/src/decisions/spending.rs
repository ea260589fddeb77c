//! Price of the capacity plan, capacity after losses, and the number of orders under noisy load.

use jm_plan::{
    Counts, Offer, PlanInput, PlanOptions, PlanState, ServiceDemand, Tier, ZoneOffer, plan_capacity,
};
use jm_types::{Rate, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Bound, Row,
    decisions::Size,
    sim::{service, zone},
};

const ZONES: usize = 3;
const MAX_PER_OFFER: u32 = 4;

fn demand(live: f64, training: f64) -> ServiceDemand {
    ServiceDemand {
        service: service(),
        live: Rate::new(live),
        training: Rate::new(training),
        per_target: Rate::new(1.0),
    }
}

fn offer(number: usize, regular: (u64, u32), cheap: (u64, u32)) -> ZoneOffer {
    let tier = |(price_micros, limit)| Offer {
        price_micros,
        limit,
        available: true,
    };
    ZoneOffer {
        zone: zone(number),
        regular: tier(regular),
        cheap: tier(cheap),
    }
}

fn input<'a>(services: &'a [ServiceDemand], zones: &'a [ZoneOffer], current: &'a Counts) -> PlanInput<'a> {
    PlanInput {
        services,
        zones,
        current,
        state: PlanState::default(),
        now: Timestamp::new(0),
        options: PlanOptions {
            margin_per_thousand: 1_000,
            ..PlanOptions::default()
        },
    }
}

/// The lowest price of all combinations in which `all` targets run and at least `live` remain after the loss of the
/// cheap targets of any one zone. `None` when no combination meets this.
fn brute_force(zones: &[ZoneOffer], live: u32, all: u32) -> Option<u64> {
    let offers: Vec<Offer> = zones.iter().flat_map(|zone| [zone.regular, zone.cheap]).collect();
    let mut counts = vec![0; offers.len()];
    let mut best = None;
    loop {
        let total: u32 = counts.iter().sum();
        let lost = counts.iter().skip(1).step_by(2).max().copied().unwrap_or(0);
        if total >= all && total - lost >= live {
            let price = counts
                .iter()
                .zip(&offers)
                .map(|(count, offer)| u64::from(*count) * offer.price_micros);
            let price = price.sum::<u64>();
            best = Some(best.map_or(price, |best: u64| best.min(price)));
        }
        let Some(index) = (0..counts.len()).find(|index| counts[*index] < offers[*index].limit) else {
            return best;
        };
        counts[index] += 1;
        counts[..index].fill(0);
    }
}

/// The highest plan price as a multiple of the lowest possible price, for the naive version and ours. The naive
/// version buys only regular targets.
fn worst_price(seed: u64, cases: u64) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut naive, mut ours) = (0.0_f64, 0.0_f64);
    for _ in 0..cases {
        let zones: Vec<ZoneOffer> = (0..ZONES)
            .map(|number| {
                let regular = (
                    random.random_range(90..130),
                    random.random_range(0..=MAX_PER_OFFER),
                );
                let cheap = (
                    random.random_range(20..110),
                    random.random_range(0..=MAX_PER_OFFER),
                );
                offer(number, regular, cheap)
            })
            .collect();
        let (live, training) = (random.random_range(1..7), random.random_range(0..5));
        let Some(lowest) = brute_force(&zones, live, live + training) else {
            continue;
        };
        let services = [demand(f64::from(live), f64::from(training))];
        let price = plan_capacity(input(&services, &zones, &Counts::new())).price_micros;
        ours = ours.max(price as f64 / lowest as f64);
        let regular = zones
            .iter()
            .map(|zone| zone.regular.price_micros)
            .min()
            .unwrap_or(0);
        naive = naive.max((regular * u64::from(live + training)) as f64 / lowest as f64);
    }
    (naive, ours)
}

#[derive(Default)]
struct Totals {
    orders: f64,
    reversals: f64,
    shortage_minutes: f64,
    price: f64,
}

/// Simulates `hours` in steps of one minute. The load follows a daily curve with 15% noise. With `losses`, a random
/// zone loses all cheap targets every two hours for half an hour. When `options` is `None`, every minute is planned
/// without the state of earlier plans.
fn simulate(seed: u64, hours: u64, losses: bool, options: Option<PlanOptions>) -> Totals {
    let mut random = StdRng::seed_from_u64(seed);
    let mut zones: Vec<ZoneOffer> = (0..ZONES)
        .map(|number| offer(number, (100, 60), (40, 60)))
        .collect();
    let (mut current, mut state) = (Counts::new(), PlanState::default());
    let mut totals = Totals::default();
    let mut last_change = (0_i64, 0_u64);
    for minute in 0..hours * 60 {
        if losses && minute % 120 == 60 {
            let lost = random.random_range(0..ZONES);
            zones[lost].cheap.available = false;
            current.remove(&(service(), zone(lost), Tier::Cheap));
        } else if minute % 120 == 90 {
            zones.iter_mut().for_each(|zone| zone.cheap.available = true);
        }
        let curve = 1.0 + 0.4 * (minute as f64 / 1_440.0 * std::f64::consts::TAU).sin();
        let noise = random.random_range(0.85..1.15);
        let (live, training) = (20.0 * curve * noise, 30.0 * noise);
        let running: u32 = current.values().sum();
        totals.shortage_minutes += f64::from(u8::from(minute > 0 && f64::from(running) < live));
        let services = [demand(live, training)];
        let mut input = input(&services, &zones, &current);
        input.now = Timestamp::new(minute * 60_000);
        if let Some(options) = options {
            (input.options, input.state) = (options, state);
        }
        let plan = plan_capacity(input);
        let change: i64 = plan.orders.iter().map(|order| order.change).sum();
        if !plan.orders.is_empty() {
            totals.orders += 1.0;
            let reversed = change.signum() * last_change.0.signum() < 0 && minute - last_change.1 < 30;
            totals.reversals += f64::from(u8::from(reversed));
            last_change = (change, minute);
        }
        totals.price += plan.price_micros as f64 / 60.0;
        current = plan.targets;
        state = plan.state;
    }
    totals
}

/// Measures the price of plans, how often they change, and the minutes with too few targets.
pub fn spending(seed: u64, size: Size) -> Vec<Row> {
    let row = |measure: &str, naive, ours, bound| Row {
        group: "spending",
        measure: measure.to_owned(),
        naive: Some(naive),
        ours,
        bound,
    };
    let (naive_price, price) = worst_price(seed, size.select(100, 2_000));
    let hours = size.select(24, 240);
    let ours = |losses| simulate(seed, hours, losses, Some(PlanOptions::default()));
    let stateless = |losses| simulate(seed, hours, losses, None);
    let (noisy_stateless, noisy, lossy_stateless, lossy) =
        (stateless(false), ours(false), stateless(true), ours(true));
    let days = hours as f64 / 24.0;
    // Price of a fixed number of regular targets that covers the daily peak with 15% noise.
    let fixed = (20.0 * 1.4 + 30.0_f64) * 1.15 * 100.0 * hours as f64;
    vec![
        row(
            "largest price / least price, small cases",
            naive_price,
            price,
            Bound::AtMost(1.1),
        ),
        row(
            "minutes with fewer targets than live load after losing a zone's cheap ones",
            lossy_stateless.shortage_minutes,
            lossy.shortage_minutes,
            Bound::AtMost(0.0),
        ),
        row(
            "noisy load: plans with orders a day",
            noisy_stateless.orders / days,
            noisy.orders / days,
            Bound::AtMost(12.0),
        ),
        row(
            "noisy load: orders against the last ones within 30 min, a day",
            noisy_stateless.reversals / days,
            noisy.reversals / days,
            Bound::AtMost(0.0),
        ),
        row(
            "12 losses a day: plans with orders a day",
            lossy_stateless.orders / days,
            lossy.orders / days,
            Bound::None,
        ),
        row(
            "12 losses a day: orders against the last ones within 30 min, a day",
            lossy_stateless.reversals / days,
            lossy.reversals / days,
            Bound::None,
        ),
        row(
            "noisy load: price / that of fixed regular capacity for the peak",
            noisy_stateless.price / fixed,
            noisy.price / fixed,
            Bound::None,
        ),
    ]
}
