//! Guards against a service that shrinks with each lost target, and against orders for targets that only restarted.

use indexmap::IndexMap;
use jm_plan::{DesiredTargets, ObservedTargets, Replacement, ReplacementOptions, ServiceZone};
use jm_types::{DurationMs, Timestamp};

fn service_zone(zone: &str) -> ServiceZone {
    ServiceZone {
        service: "engines".parse().unwrap(),
        zone: zone.parse().unwrap(),
    }
}

fn desired(zone: &str, count: usize) -> DesiredTargets {
    DesiredTargets {
        service: "engines".parse().unwrap(),
        zone: zone.parse().unwrap(),
        count,
    }
}

/// Observes the targets every second from `from_s` to `to_s`. Returns the second and the count of each order.
fn orders(
    replacement: &mut Replacement,
    serving: usize,
    max: usize,
    from_s: u64,
    to_s: u64,
) -> Vec<(u64, usize)> {
    let observed = ObservedTargets {
        serving,
        max,
        start_ms: DurationMs::new(4_000),
    };
    let observed = IndexMap::from([(service_zone("a"), observed)]);
    let mut orders = Vec::new();
    for second in from_s..to_s {
        for order in replacement.next_orders(&observed, Timestamp::new(second * 1_000)) {
            orders.push((second, order.count));
        }
    }
    orders
}

fn replacement(target_count: usize) -> Replacement {
    Replacement::new(ReplacementOptions::default(), vec![desired("a", target_count)])
}

/// Guards against permanently lost engines that are not replaced. Two of five engines crash. The order is repeated as
/// long as it has no effect.
#[test]
fn permanent_loss() {
    let mut replacement = replacement(5);
    assert!(orders(&mut replacement, 5, 8, 0, 10).is_empty());
    assert_eq!(orders(&mut replacement, 3, 8, 10, 26), [(14, 5), (22, 5)]);
    assert!(orders(&mut replacement, 5, 8, 26, 40).is_empty());
}

/// Guards against orders for engines that restart within seconds or are missing from an incomplete list.
#[test]
fn short_absence() {
    let mut replacement = replacement(5);
    for round in 0..10 {
        assert!(orders(&mut replacement, 3, 8, 10 * round, 10 * round + 4).is_empty());
        assert!(orders(&mut replacement, 5, 8, 10 * round + 4, 10 * round + 10).is_empty());
    }
    assert_eq!(replacement.desired(), [desired("a", 5)]);
}

/// Guards against a desired number that is raised by the additional engine listed during a rolling replacement.
#[test]
fn rolling_replacement() {
    let mut replacement = replacement(5);
    for round in 0..5 {
        assert!(orders(&mut replacement, 6, 8, 8 * round, 8 * round + 6).is_empty());
        assert!(orders(&mut replacement, 5, 8, 8 * round + 6, 8 * round + 8).is_empty());
    }
    assert_eq!(replacement.desired(), [desired("a", 5)]);
}

/// Guards against engines added by operators that are not replaced later. They count up to the maximum that may be
/// ordered.
#[test]
fn added_targets() {
    let mut replacement = Replacement::new(ReplacementOptions::default(), Vec::new());
    assert!(orders(&mut replacement, 3, 4, 0, 11).is_empty());
    assert_eq!(replacement.desired(), [desired("a", 3)]);
    assert!(orders(&mut replacement, 9, 4, 11, 30).is_empty());
    assert_eq!(replacement.desired(), [desired("a", 4)]);
}

/// Guards against the loss of all engines of a zone without a replacement. The zone still counts after its last engine
/// is no longer listed.
#[test]
fn whole_zone() {
    let mut replacement = replacement(3);
    assert_eq!(orders(&mut replacement, 0, 8, 0, 6), [(4, 3)]);
}
