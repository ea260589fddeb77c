//! Guards against steps that are owned by hosts with too little processor time for their events.

use jm_host::{CpuCapacity, capable_hosts};
use jm_types::{Incarnation, MemberId};

type Host = (MemberId, Incarnation);

fn hosts(count: usize) -> Vec<Host> {
    (0..count)
        .map(|index| (format!("host-{index}").parse().unwrap(), Incarnation::new(1)))
        .collect()
}

fn index_of(host: &Host) -> usize {
    host.0.as_str().trim_start_matches("host-").parse().unwrap()
}

/// Two thirds of the hosts have a tenth of a core. Chosen among all hosts, two of three owners would be such hosts.
#[test]
fn uneven_hosts() {
    let cpu_of = |host: &Host| {
        let millicores = if index_of(host).is_multiple_of(3) { 500 } else { 90 };
        Some(CpuCapacity::from_millicores(millicores))
    };
    let capable = capable_hosts(hosts(18), cpu_of);
    assert_eq!(capable.len(), 6);
    assert!(capable.iter().all(|host| index_of(host).is_multiple_of(3)));
}

/// With too few large hosts left, all work would move to the same one or two hosts.
#[test]
fn few_large_hosts() {
    let cpu_of = |host: &Host| {
        let millicores = if index_of(host) < 3 { 500 } else { 90 };
        Some(CpuCapacity::from_millicores(millicores))
    };
    assert_eq!(capable_hosts(hosts(18), cpu_of).len(), 18);
}

/// Hosts that state nothing, and hosts that are alike, must all stay candidates.
#[test]
fn even_hosts() {
    assert_eq!(capable_hosts(hosts(9), |_| None).len(), 9);
    let cpu_of = |_: &Host| Some(CpuCapacity::from_millicores(250));
    assert_eq!(capable_hosts(hosts(9), cpu_of).len(), 9);
}
