//! Price of the capacity plan, survival of losses, and orders under noisy load.

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
const MOST_PER_OFFER: u32 = 4;

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

/// The least price for which `live` targets survive the loss of any zone's cheap ones and `all` run, over every
/// combination.
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
        let Some(place) = (0..counts.len()).find(|place| counts[*place] < offers[*place].limit) else {
            return best;
        };
        counts[place] += 1;
        counts[..place].fill(0);
    }
}

/// The largest price of a plan as a multiple of the least price; the naive version buys regular targets only.
fn worst_price(seed: u64, cases: u64) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut naive, mut ours) = (0.0_f64, 0.0_f64);
    for _ in 0..cases {
        let zones: Vec<ZoneOffer> = (0..ZONES)
            .map(|number| {
                let regular = (
                    random.random_range(90..130),
                    random.random_range(0..=MOST_PER_OFFER),
                );
                let cheap = (
                    random.random_range(20..110),
                    random.random_range(0..=MOST_PER_OFFER),
                );
                offer(number, regular, cheap)
            })
            .collect();
        let (live, training) = (random.random_range(1..7), random.random_range(0..5));
        let Some(least) = brute_force(&zones, live, live + training) else {
            continue;
        };
        let services = [demand(f64::from(live), f64::from(training))];
        let price = plan_capacity(input(&services, &zones, &Counts::new())).price_micros;
        ours = ours.max(price as f64 / least as f64);
        let regular = zones
            .iter()
            .map(|zone| zone.regular.price_micros)
            .min()
            .unwrap_or(0);
        naive = naive.max((regular * u64::from(live + training)) as f64 / least as f64);
    }
    (naive, ours)
}

#[derive(Default)]
struct Day {
    orders: f64,
    reversals: f64,
    harmed_minutes: f64,
    price: f64,
}

/// Days in minutes: load with noise of 15% around a daily curve and, with `losses`, the loss of all cheap targets of
/// a random zone every two hours for half an hour. `options` is `None` for a plan made anew each minute.
fn day(seed: u64, hours: u64, losses: bool, options: Option<PlanOptions>) -> Day {
    let mut random = StdRng::seed_from_u64(seed);
    let mut zones: Vec<ZoneOffer> = (0..ZONES)
        .map(|number| offer(number, (100, 60), (40, 60)))
        .collect();
    let (mut current, mut state) = (Counts::new(), PlanState::default());
    let mut day = Day::default();
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
        day.harmed_minutes += f64::from(u8::from(minute > 0 && f64::from(running) < live));
        let services = [demand(live, training)];
        let mut input = input(&services, &zones, &current);
        input.now = Timestamp::new(minute * 60_000);
        if let Some(options) = options {
            (input.options, input.state) = (options, state);
        }
        let plan = plan_capacity(input);
        let change: i64 = plan.orders.iter().map(|order| order.change).sum();
        if !plan.orders.is_empty() {
            day.orders += 1.0;
            let reversed = change.signum() * last_change.0.signum() < 0 && minute - last_change.1 < 30;
            day.reversals += f64::from(u8::from(reversed));
            last_change = (change, minute);
        }
        day.price += plan.price_micros as f64 / 60.0;
        current = plan.targets;
        state = plan.state;
    }
    day
}

/// What the plan costs and how calm it is.
pub fn spending(seed: u64, size: Size) -> Vec<Row> {
    let row = |measure: &str, naive, ours, bound| Row {
        group: "spending",
        measure: measure.to_owned(),
        naive: Some(naive),
        ours,
        bound,
    };
    let (naive_price, price) = worst_price(seed, size.seconds(100, 2_000));
    let hours = size.seconds(24, 240);
    let ours = |losses| day(seed, hours, losses, Some(PlanOptions::default()));
    let anew = |losses| day(seed, hours, losses, None);
    let (calm_anew, calm, lossy_anew, lossy) = (anew(false), ours(false), anew(true), ours(true));
    let days = hours as f64 / 24.0;
    // Fixed capacity for the daily peak with 15% noise, of regular targets.
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
            lossy_anew.harmed_minutes,
            lossy.harmed_minutes,
            Bound::AtMost(0.0),
        ),
        row(
            "noisy load: plans with orders a day",
            calm_anew.orders / days,
            calm.orders / days,
            Bound::AtMost(12.0),
        ),
        row(
            "noisy load: orders against the last ones within 30 min, a day",
            calm_anew.reversals / days,
            calm.reversals / days,
            Bound::AtMost(0.0),
        ),
        row(
            "12 losses a day: plans with orders a day",
            lossy_anew.orders / days,
            lossy.orders / days,
            Bound::None,
        ),
        row(
            "12 losses a day: orders against the last ones within 30 min, a day",
            lossy_anew.reversals / days,
            lossy.reversals / days,
            Bound::None,
        ),
        row(
            "noisy load: price / that of fixed regular capacity for the peak",
            calm_anew.price / fixed,
            calm.price / fixed,
            Bound::None,
        ),
    ]
}
