//! Guards against failures that are not detected, live members that are marked as failed, and views that do not
//! converge.

#[expect(dead_code, reason = "each test file uses a part of the network")]
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
    assert!(network.views_agree(), "the new run is not live in every view");
}

/// Guards against a live member that is marked as failed because datagrams are lost.
#[test]
fn lossy_network() {
    let mut network = Network::new(24, 3, 2);
    network.loss = 0.05;
    network.run(1_800_000);
    assert_eq!(network.failures, []);
    assert!(network.views_agree());
}

/// Guards against wrong failures around a freeze. A freeze shorter than the suspicion timeout must cause no failure.
/// After a longer one the member must be live again, and it must not mark others as failed because of its own pause.
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
    assert!(
        network.views_agree(),
        "the member is not live again in every view"
    );
    let wrongly_failed = network.failures.iter().any(|(observer, _, _)| *observer == 4);
    assert!(!wrongly_failed, "the frozen member marked others as failed");
}

/// Guards against a failure that is reported because one direction between two members is blocked while other members
/// reach both.
#[test]
fn one_way_cut() {
    let mut network = Network::new(12, 3, 4);
    network.blocked.insert((1, 2));
    network.run(300_000);
    assert_eq!(network.failures, []);
}

#[test]
fn halves_meet_again() {
    let mut network = Network::new(40, 4, 5);
    network.run(5_000);
    let side: Vec<_> = (0..40).filter(|index| index % 4 < 2).collect();
    network.partition(&side);
    network.run(120_000);
    assert!(
        side.iter()
            .all(|observer| network.state(*observer, 3) == MemberState::Failed)
    );
    network.blocked.clear();
    network.run(90_000);
    assert!(
        network.views_agree(),
        "the views did not converge after the partition"
    );
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
