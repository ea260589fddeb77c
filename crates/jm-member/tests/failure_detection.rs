//! Guards against failures that are not found, live members that are removed, and views that stay apart.

#[expect(
    dead_code,
    reason = "the network serves several test files; none uses all of it"
)]
mod network;

use jm_member::MemberState;
use network::{Network, detection_limit};

#[test]
fn stopped_member() {
    let mut network = Network::new(30, 3, 1);
    network.run(5_000);
    network.stop(7);
    network.run(detection_limit(30));
    assert!(network.views_agree());
    network.restart(7);
    network.run(5_000);
    assert!(network.views_agree(), "the new run was not taken back");
}

/// A live member must not be removed because datagrams are lost.
#[test]
fn lossy_network() {
    let mut network = Network::new(24, 3, 2);
    network.loss = 0.05;
    network.run(1_800_000);
    assert_eq!(network.failures, []);
    assert!(network.views_agree());
}

/// A freeze that is shorter than the suspicion goes unpunished; a longer one ends with the member back, and the frozen
/// member does not hold its own silence against the others.
#[test]
fn frozen_member() {
    let mut network = Network::new(30, 3, 3);
    network.run(5_000);
    network.freeze(4, 2_000);
    network.run(20_000);
    assert_eq!(network.failures, []);
    network.freeze(4, 40_000);
    network.run(detection_limit(30));
    assert!(
        (0..30)
            .filter(|observer| *observer != 4)
            .all(|observer| network.state(observer, 4) == MemberState::Failed)
    );
    network.run(60_000);
    assert!(network.views_agree(), "the member did not come back");
    let wrongly_failed = network.failures.iter().any(|(observer, _, _)| *observer == 4);
    assert!(!wrongly_failed, "the frozen member removed others");
}

/// One direction between two members is cut; others still reach both.
#[test]
fn one_way_cut() {
    let mut network = Network::new(12, 3, 4);
    network.cuts.insert((1, 2));
    network.run(300_000);
    assert_eq!(network.failures, []);
}

#[test]
fn halves_meet_again() {
    let mut network = Network::new(40, 4, 5);
    network.run(5_000);
    let side: Vec<_> = (0..40).filter(|index| index % 4 < 2).collect();
    network.cut_off(&side);
    network.run(120_000);
    assert!(
        side.iter()
            .all(|observer| network.state(*observer, 3) == MemberState::Failed)
    );
    network.cuts.clear();
    network.run(90_000);
    assert!(network.views_agree(), "the halves did not agree again");
}

#[test]
fn leaving_member() {
    let mut network = Network::new(20, 3, 6);
    network.run(3_000);
    let now = network.nodes[5].now(network.now_ms);
    network.nodes[5].detector.leave(now);
    network.run(5_000);
    assert!((0..20).all(|observer| network.state(observer, 5) == MemberState::Leaving));
}
