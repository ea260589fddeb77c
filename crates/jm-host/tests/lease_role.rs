//! Guards against a lease without a holder while hosts are restarted, and against store calls for it by every host.

use jm_host::{LeaseRole, lease_role};
use jm_types::MemberId;

const KEY: &str = "lease/fleet";

fn hosts(count: usize) -> Vec<MemberId> {
    (0..count)
        .map(|index| format!("host-{index}").parse().unwrap())
        .collect()
}

fn candidates(live: &[MemberId], last_holder: Option<&MemberId>) -> Vec<MemberId> {
    let is_candidate = |own: &&MemberId| lease_role(KEY, own, live, last_holder) == LeaseRole::Candidate;
    live.iter().filter(is_candidate).cloned().collect()
}

#[test]
fn few_candidates() {
    for count in [2, 6, 80, 350] {
        assert_eq!(candidates(&hosts(count), None).len(), 2, "{count} hosts");
    }
    assert_eq!(candidates(&hosts(1), None).len(), 1);
}

/// A holder that acquired the lease while few hosts were live is often not a candidate among all of them. After a
/// restart it would only watch, and the lease would stay without a holder until the term of its earlier run ends.
#[test]
fn restarted_holder() {
    let live = hosts(6);
    let chosen = candidates(&live, None);
    let other = live.iter().find(|host| !chosen.contains(host)).unwrap();
    assert_eq!(lease_role(KEY, other, &live, None), LeaseRole::Observer);
    assert_eq!(lease_role(KEY, other, &live, Some(other)), LeaseRole::Candidate);
    assert_eq!(candidates(&live, Some(other)).len(), 3);
}
