//! Guards against a service that shrinks with each lost target, and against orders for targets that come back.

use indexmap::IndexMap;
use jm_plan::{DesiredTargets, ObservedTargets, Replacement, ReplacementOptions, ServiceZone};
use jm_types::{DurationMs, Timestamp};

fn place(zone: &str) -> ServiceZone {
    ServiceZone {
        service: "engines".parse().unwrap(),
        zone: zone.parse().unwrap(),
    }
}

fn wanted(zone: &str, count: usize) -> DesiredTargets {
    DesiredTargets {
        service: "engines".parse().unwrap(),
        zone: zone.parse().unwrap(),
        count,
    }
}

/// Looks once a second from `from_s` to `to_s` and returns the orders with their seconds.
fn looks(
    replacement: &mut Replacement,
    serving: usize,
    max: usize,
    from_s: u64,
    to_s: u64,
) -> Vec<(u64, usize)> {
    let seen = ObservedTargets {
        serving,
        max,
        start_ms: DurationMs::new(4_000),
    };
    let seen = IndexMap::from([(place("a"), seen)]);
    let mut orders = Vec::new();
    for second in from_s..to_s {
        for order in replacement.next_orders(&seen, Timestamp::new(second * 1_000)) {
            orders.push((second, order.count));
        }
    }
    orders
}

fn kept(count: usize) -> Replacement {
    Replacement::new(ReplacementOptions::default(), vec![wanted("a", count)])
}

/// Two of five engines crash for good: one order, which is repeated when it has no effect.
#[test]
fn lost_for_good() {
    let mut replacement = kept(5);
    assert!(looks(&mut replacement, 5, 8, 0, 10).is_empty());
    assert_eq!(looks(&mut replacement, 3, 8, 10, 26), [(14, 5), (22, 5)]);
    assert!(looks(&mut replacement, 5, 8, 26, 40).is_empty());
}

/// A crash from which the engines return within seconds, and a list with gaps, cost no order.
#[test]
fn back_in_time() {
    let mut replacement = kept(5);
    for round in 0..10 {
        assert!(looks(&mut replacement, 3, 8, 10 * round, 10 * round + 4).is_empty());
        assert!(looks(&mut replacement, 5, 8, 10 * round + 4, 10 * round + 10).is_empty());
    }
    assert_eq!(replacement.desired(), [wanted("a", 5)]);
}

/// During a rolling replacement one engine more is listed; it does not become the wanted number.
#[test]
fn rolling_replacement() {
    let mut replacement = kept(5);
    for round in 0..5 {
        assert!(looks(&mut replacement, 6, 8, 8 * round, 8 * round + 6).is_empty());
        assert!(looks(&mut replacement, 5, 8, 8 * round + 6, 8 * round + 8).is_empty());
    }
    assert_eq!(replacement.desired(), [wanted("a", 5)]);
}

/// Engines that operators add are kept from then on, up to the largest number that may be ordered.
#[test]
fn added_targets() {
    let mut replacement = Replacement::new(ReplacementOptions::default(), Vec::new());
    assert!(looks(&mut replacement, 3, 4, 0, 11).is_empty());
    assert_eq!(replacement.desired(), [wanted("a", 3)]);
    assert!(looks(&mut replacement, 9, 4, 11, 30).is_empty());
    assert_eq!(replacement.desired(), [wanted("a", 4)]);
}

/// All engines of a zone are gone at once. The zone is still listed while its last ones leave, and is remembered after that.
#[test]
fn whole_zone() {
    let mut replacement = kept(3);
    assert_eq!(looks(&mut replacement, 0, 8, 0, 6), [(4, 3)]);
}
