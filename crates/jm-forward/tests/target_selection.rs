//! Guards against a slow or failing target that receives as many requests as the others.

mod common;

use common::target;
use jm_forward::{RunKey, SelectionOptions, Target, TargetLoads};
use jm_types::{DurationMs, Timestamp, ZoneId};

/// Mean response time of requests that arrive every 6 ms, on targets that take `times_ms` for one request. Also returns
/// the number of requests by target.
fn mean_response_ms(
    targets: &[Target],
    times_ms: &[u64],
    mut choose: impl FnMut(&[usize], u64) -> usize,
) -> (f64, Vec<usize>) {
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); targets.len()];
    let (mut total_ms, mut per_target) = (0, vec![0; targets.len()]);
    let count = 600;
    for index in 0..count {
        let now_ms = index * 6;
        for ends in &mut ends {
            ends.retain(|end| *end > now_ms);
        }
        let in_flight: Vec<usize> = ends.iter().map(Vec::len).collect();
        let chosen = choose(&in_flight, now_ms);
        ends[chosen].push(now_ms + times_ms[chosen]);
        per_target[chosen] += 1;
        total_ms += times_ms[chosen];
    }
    (total_ms as f64 / count as f64, per_target)
}

/// Compares selection by waiting time with selection by the least number of requests in flight. One of the three
/// targets is 3.5 times slower than the others.
#[test]
fn slow_target() {
    let targets = [target("t1"), target("t2"), target("slow")];
    let times_ms = [25, 25, 88];
    let zone: ZoneId = "b".parse().unwrap();
    let mut loads = TargetLoads::new(SelectionOptions::default());
    let mut running: Vec<(u64, RunKey, u64)> = Vec::new();
    let by_waiting_time = |_: &[usize], now_ms: u64| {
        running.retain(|(end_ms, run, took_ms)| {
            let is_open = *end_ms > now_ms;
            if !is_open {
                loads.answered(run, DurationMs::new(*took_ms));
            }
            is_open
        });
        let chosen = loads
            .choose(targets.iter(), &[], &zone, Timestamp::new(now_ms))
            .unwrap();
        let index = targets
            .iter()
            .position(|target| target.run == chosen.run)
            .unwrap();
        running.push((now_ms + times_ms[index], chosen.run.clone(), times_ms[index]));
        index
    };
    let (mean_ms, per_target) = mean_response_ms(&targets, &times_ms, by_waiting_time);
    let least_requests = |in_flight: &[usize], _: u64| (0..3).min_by_key(|index| in_flight[*index]).unwrap();
    let (least_requests_ms, _) = mean_response_ms(&targets, &times_ms, least_requests);
    assert!(
        mean_ms < least_requests_ms,
        "{mean_ms} ms, but {least_requests_ms} ms with the least number of requests"
    );
    assert!(per_target[2] < per_target[0], "{per_target:?}");
}

#[test]
fn failed_target_is_avoided() {
    let targets = [target("t1"), target("t2")];
    let zone: ZoneId = "a".parse().unwrap();
    let mut loads = TargetLoads::new(SelectionOptions::default());
    let first = loads
        .choose(targets.iter(), &[], &zone, Timestamp::new(0))
        .unwrap()
        .run
        .clone();
    loads.failed(&first, Timestamp::new(10));
    for now_ms in [20, 500, 900] {
        let chosen = loads
            .choose(targets.iter(), &[], &zone, Timestamp::new(now_ms))
            .unwrap();
        assert_ne!(chosen.run, first);
    }
    let only = [targets.iter().find(|target| target.run == first).unwrap().clone()];
    let chosen = loads.choose(only.iter(), &[], &zone, Timestamp::new(20));
    assert!(
        chosen.is_some(),
        "a failed target is selected if there is no other"
    );
}

/// Guards against counting the requests of a previous run for a target that restarted under the same id.
#[test]
fn another_run() {
    let (old, mut new) = (target("t1"), target("t1"));
    new.run.started_unix_ms = 2;
    let zone: ZoneId = "a".parse().unwrap();
    let mut loads = TargetLoads::new(SelectionOptions::default());
    loads.choose([&old].into_iter(), &[], &zone, Timestamp::new(0));
    assert_eq!(loads.in_flight(&old.run), 1);
    assert_eq!(loads.in_flight(&new.run), 0);
}
