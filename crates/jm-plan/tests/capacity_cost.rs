//! Guards against capacity plans that cost too much, compared with a brute-force search, or that do not survive the
//! loss of cheap targets.

mod common;

use common::{demand, input, offer, service, survivors, total};
use jm_plan::{Counts, ServiceDemand, Tier, ZoneOffer, plan_capacity};
use quickcheck::{Gen, QuickCheck};

/// All combinations of target numbers up to `limits`, which are listed by zone, regular before cheap.
fn combinations(limits: &[u32]) -> Vec<Vec<u32>> {
    limits.iter().fold(vec![Vec::new()], |known, limit| {
        let extend = |counts: &Vec<u32>| {
            let counts = counts.clone();
            (0..=*limit).map(move |count| [counts.clone(), vec![count]].concat())
        };
        known.iter().flat_map(extend).collect()
    })
}

fn serves(counts: &[u32], demand: &ServiceDemand) -> bool {
    let all: u32 = counts.iter().sum();
    let lost = counts.iter().skip(1).step_by(2).max().copied().unwrap_or(0);
    let (live, training) = (demand.live.get() as u32, demand.training.get() as u32);
    all >= live + training && all - lost >= live
}

/// Lowest price over all combinations, or `None` if none serves the demand.
fn brute_force(services: &[ServiceDemand], zones: &[ZoneOffer]) -> Option<u64> {
    let offers: Vec<_> = zones.iter().flat_map(|zone| [zone.regular, zone.cheap]).collect();
    let limits: Vec<u32> = offers.iter().map(|offer| offer.limit).collect();
    let price = |counts: &[u32]| -> u64 {
        counts
            .iter()
            .zip(&offers)
            .map(|(count, offer)| u64::from(*count) * offer.price_micros)
            .sum()
    };
    let serving = |demand: &ServiceDemand| -> Vec<(u64, Vec<u32>)> {
        let all = combinations(&limits)
            .into_iter()
            .filter(|counts| serves(counts, demand));
        all.map(|counts| (price(&counts), counts)).collect()
    };
    let first = serving(&services[0]);
    let Some(other) = services.get(1) else {
        return first.iter().map(|(price, _)| *price).min();
    };
    let second = serving(other);
    let fits = |a: &[u32], b: &[u32]| {
        a.iter()
            .zip(b)
            .zip(&limits)
            .all(|((a, b), limit)| a + b <= *limit)
    };
    let pairs = first.iter().flat_map(|a| second.iter().map(move |b| (a, b)));
    pairs
        .filter(|(a, b)| fits(&a.1, &b.1))
        .map(|(a, b)| a.0 + b.0)
        .min()
}

fn compare(services: &[ServiceDemand], zones: &[ZoneOffer]) -> bool {
    let plan = plan_capacity(input(services, zones, &Counts::new()));
    let Some(least) = brute_force(services, zones) else {
        return !plan.shortfalls.is_empty();
    };
    let served = services.iter().all(|demand| {
        let (live, training) = (demand.live.get() as u32, demand.training.get() as u32);
        survivors(&plan.targets, &demand.service) >= live
            && total(&plan.targets, &demand.service) >= live + training
    });
    served && plan.shortfalls.is_empty() && plan.price_micros * 10 <= least * 11
}

fn zones(numbers: &[u8], count: usize, most: u8) -> Vec<ZoneOffer> {
    let number = |index: usize| numbers.get(index).copied().unwrap_or(3);
    (0..count)
        .map(|zone| {
            let regular = (
                100 + u64::from(number(4 * zone) % 30),
                u32::from(number(4 * zone + 1) % (most + 1)),
            );
            let cheap = (
                20 + u64::from(number(4 * zone + 2) % 90),
                u32::from(number(4 * zone + 3) % (most + 1)),
            );
            offer(zone, regular, cheap)
        })
        .collect()
}

/// Guards against a plan for one service that costs more than 1.1 times the optimum or does not survive a loss.
#[test]
fn one_service_is_near_optimal() {
    fn check(live: u8, training: u8, numbers: Vec<u8>) -> bool {
        let services = [demand(0, f64::from(live % 7), f64::from(training % 5))];
        compare(&services, &zones(&numbers, 3, 4))
    }
    let quick = QuickCheck::new().rng(Gen::from_size_and_seed(64, 2));
    quick.tests(150).quickcheck(check as fn(_, _, _) -> _);
}

/// Guards against services that compete for the same limits and together cost more than 1.1 times the optimum, or of
/// which one gets no targets although enough are offered.
#[test]
fn two_services_are_near_optimal() {
    fn check(demands: (u8, u8, u8, u8), numbers: Vec<u8>) -> bool {
        let (a, b, c, d) = demands;
        let services = [
            demand(0, f64::from(a % 4), f64::from(b % 3)),
            demand(1, f64::from(c % 4), f64::from(d % 3)),
        ];
        compare(&services, &zones(&numbers, 2, 4))
    }
    let quick = QuickCheck::new().rng(Gen::from_size_and_seed(64, 3));
    quick.tests(150).quickcheck(check as fn(_, _) -> _);
}

/// Guards against training on regular targets although cheap ones are offered, and against live requests that depend on
/// the cheap targets of one zone.
#[test]
fn cheap_for_training() {
    let services = [demand(0, 4.0, 6.0)];
    let zones = [
        offer(0, (100, 20), (30, 20)),
        offer(1, (100, 20), (30, 20)),
        offer(2, (100, 20), (30, 0)),
    ];
    let plan = plan_capacity(input(&services, &zones, &Counts::new()));
    let regular = plan
        .targets
        .iter()
        .filter(|((_, _, tier), _)| *tier == Tier::Regular);
    assert_eq!(regular.map(|(_, count)| count).sum::<u32>(), 0);
    assert!(survivors(&plan.targets, &service(0)) >= 4);
}
