//! Leaving, removed, tried, slow and failing targets, and windows that adapt.

mod common;

use std::collections::HashMap;

use common::{at, engine, engines, engines_with, quick, request, target};
use jm_route::{
    Assignment, Class, Health, LoadReport, Outcome, Scheduler, SchedulerOptions, TargetStatus, WaitReason,
    WindowBounds,
};
use jm_types::{DurationMs, RequestId, ResultCode, TargetId, TokenCount};

fn status(scheduler: &Scheduler, number: u64) -> TargetStatus {
    scheduler
        .targets()
        .into_iter()
        .find(|status| status.id == target(number))
        .unwrap()
}

/// Guards against new work for a target that is leaving, also when a host list that lags still names it.
#[test]
fn leaving_gets_nothing() {
    let mut scheduler = engines(2, 1_000);
    scheduler.mark_leaving(&target(0));
    scheduler.set_targets(vec![engine(0, 1_000), engine(1, 1_000)], at(1));
    for id in 0..40 {
        scheduler.submit(request(id, 0, Class::Live, 50), at(1)).unwrap();
    }
    assert!(std::iter::from_fn(|| scheduler.next(at(1))).all(|assignment| assignment.target == target(1)));
}

/// Guards against requests that wait until their deadline for a service whose last target left.
#[test]
fn last_target_leaves() {
    let mut scheduler = engines(1, 100);
    scheduler.submit(request(1, 0, Class::Live, 50), at(0)).unwrap();
    scheduler.mark_leaving(&target(0));
    assert_eq!(scheduler.next(at(0)), None);
    let expired = scheduler.expire(at(0));
    assert_eq!(
        (expired[0].request, expired[0].code),
        (RequestId::new(1), ResultCode::NoTarget)
    );
}

/// Guards against a lost account when a target with running requests is removed and its slot is used again.
#[test]
fn removal_keeps_accounts() {
    let mut scheduler = engines(1, 100);
    scheduler.submit(request(1, 0, Class::Live, 80), at(0)).unwrap();
    scheduler.next(at(0)).unwrap();
    scheduler.set_targets(vec![engine(7, 100)], at(1));
    scheduler.finish(RequestId::new(1), Outcome::Failed, at(2));
    let state = status(&scheduler, 7);
    assert_eq!(
        (state.in_flight, state.requests, state.health),
        (0, 0, Health::Normal)
    );
}

/// Guards against windows that are exceeded or leak, under any order of submissions and ends.
#[test]
fn accounts_match_naive() {
    fn check(steps: Vec<(u8, u8)>) -> bool {
        let mut scheduler = engines(3, 200);
        let mut running: Vec<Assignment> = Vec::new();
        let mut sizes = HashMap::new();
        for (id, (action, size)) in (0..).zip(steps) {
            let size = u64::from(size % 90) + 1;
            if action % 3 != 0 || running.is_empty() {
                sizes.insert(id, size);
                scheduler
                    .submit(request(id, id % 2, Class::Live, size), at(0))
                    .unwrap();
            } else {
                let ended = running.swap_remove(usize::from(action) % running.len());
                scheduler.finish(ended.request, Outcome::Finished(TokenCount::new(0)), at(0));
            }
            running.extend(std::iter::from_fn(|| scheduler.next(at(0))));
            let sum = |id: &TargetId| -> u64 {
                let own = running.iter().filter(|assignment| assignment.target == *id);
                own.map(|assignment| sizes[&assignment.request.get()]).sum()
            };
            let exact = scheduler
                .targets()
                .iter()
                .all(|state| state.in_flight == sum(&state.id));
            if !exact
                || scheduler
                    .targets()
                    .iter()
                    .any(|state| state.in_flight > state.window + state.window / 10)
            {
                return false;
            }
        }
        true
    }
    quick().quickcheck(check as fn(_) -> _);
}

/// Guards against a retry on a target that was tried before, and against waiting when none is left.
#[test]
fn tried_targets_are_avoided() {
    let mut scheduler = engines(2, 1_000);
    let mut retry = request(1, 0, Class::Live, 50);
    retry.avoid = vec![target(0)];
    scheduler.submit(retry, at(0)).unwrap();
    assert_eq!(scheduler.next(at(0)).unwrap().target, target(1));
    let mut hopeless = request(2, 0, Class::Live, 50);
    hopeless.avoid = vec![target(0), target(1)];
    assert_eq!(
        scheduler.submit(hopeless, at(0)).unwrap_err().code,
        ResultCode::NoTarget
    );
}

/// Runs requests of 10 tokens on each engine for `ticks` steps of 100 ms; `time_ms` is the time per token.
fn run(
    scheduler: &mut Scheduler,
    start: u64,
    ticks: u64,
    time_ms: impl Fn(&TargetId) -> u64,
) -> HashMap<TargetId, u64> {
    let mut counts = HashMap::new();
    let mut running: Vec<(Assignment, u64, u64)> = Vec::new();
    for tick in 0..ticks {
        let now = start + tick * 100;
        let id = now * 100;
        for number in 0..20 {
            let mut next = request(id + number, 0, Class::Training, 0);
            next.max_tokens = TokenCount::new(10);
            next.deadline = at(now + 100);
            let _ = scheduler.submit(next, at(now));
        }
        while let Some(assignment) = scheduler.next(at(now)) {
            *counts.entry(assignment.target.clone()).or_default() += 1;
            running.push((assignment, now, 0));
        }
        running.retain_mut(|(assignment, begun, done)| {
            let total = 1 + (now - *begun) / time_ms(&assignment.target);
            let total = total.min(10);
            scheduler.progress(assignment.request, TokenCount::new(total - *done), at(now));
            *done = total;
            let ended = total == 10;
            if ended {
                scheduler.finish(
                    assignment.request,
                    Outcome::Finished(TokenCount::new(10)),
                    at(now),
                );
            }
            !ended
        });
        scheduler.expire(at(now));
    }
    for (assignment, ..) in running {
        scheduler.finish(assignment.request, Outcome::Cancelled, at(start + ticks * 100));
    }
    counts
}

/// Guards against an engine that is slow but not dead and keeps its full part of the work, and against one that is
/// not used again after it recovered.
#[test]
fn slow_is_found_and_recovers() {
    let mut scheduler = engines(4, 60);
    run(
        &mut scheduler,
        0,
        80,
        |id| if *id == target(2) { 500 } else { 100 },
    );
    assert_eq!(status(&scheduler, 2).health, Health::Slow);
    let slow = run(&mut scheduler, 10_000, 100, |id| {
        if *id == target(2) { 500 } else { 100 }
    });
    assert!(slow[&target(2)] * 5 < slow[&target(1)], "{slow:?}");
    run(&mut scheduler, 20_000, 200, |_| 100);
    assert_eq!(status(&scheduler, 2).health, Health::Normal);
    let after = run(&mut scheduler, 40_000, 100, |_| 100);
    assert!(after[&target(2)] * 2 > after[&target(1)], "{after:?}");
}

/// Guards against a hung engine, which never reports progress at all.
#[test]
fn stalled_is_found() {
    let mut scheduler = engines(3, 60);
    run(&mut scheduler, 0, 100, |id| {
        if *id == target(0) { 1_000_000 } else { 100 }
    });
    assert_eq!(status(&scheduler, 0).health, Health::Slow);
}

/// Guards against one slow request on an otherwise idle target that marks it as slow.
#[test]
fn one_slow_reading_is_not_slow() {
    let mut scheduler = engines(4, 60);
    run(&mut scheduler, 0, 50, |_| 100);
    let mut single = request(900_000, 0, Class::Training, 0);
    single.max_tokens = TokenCount::new(2);
    single.avoid = vec![target(0), target(1), target(2)];
    scheduler.submit(single, at(6_000)).unwrap();
    assert_eq!(scheduler.next(at(6_000)).unwrap().target, target(3));
    scheduler.progress(RequestId::new(900_000), TokenCount::new(1), at(6_100));
    scheduler.finish(
        RequestId::new(900_000),
        Outcome::Finished(TokenCount::new(2)),
        at(7_100),
    );
    (0..20).for_each(|tick| assert_eq!(scheduler.next(at(7_200 + tick * 500)), None));
    assert_eq!(status(&scheduler, 3).health, Health::Normal);
}

/// Guards against a target that fails fast and therefore attracts the most work.
#[test]
fn failing_gets_probes_only() {
    let mut scheduler = engines(2, 1_000);
    let mut counts = [0; 2];
    for id in 0..200 {
        let now = at(id * 50);
        scheduler.submit(request(id, 0, Class::Live, 50), now).unwrap();
        while let Some(assignment) = scheduler.next(now) {
            let bad = assignment.target == target(0);
            counts[usize::from(!bad)] += 1;
            let outcome = if bad {
                Outcome::Failed
            } else {
                Outcome::Finished(TokenCount::new(0))
            };
            scheduler.finish(assignment.request, outcome, now);
        }
    }
    assert!(counts[0] <= 3 + 10, "{counts:?}");
    assert_eq!(status(&scheduler, 0).health, Health::Failing);
    scheduler
        .submit(request(900, 0, Class::Training, 50), at(20_000))
        .unwrap();
    let probe = scheduler.next(at(20_000)).unwrap();
    assert_eq!(probe.target, target(0));
    scheduler.finish(probe.request, Outcome::Finished(TokenCount::new(0)), at(20_000));
    assert_eq!(status(&scheduler, 0).health, Health::Normal);
}

/// Guards against a window outside its bounds, one that grows while tokens are slow, or one that never recovers.
#[test]
fn window_adapts() {
    let mut wide = engine(0, 60);
    wide.window = WindowBounds {
        min: 20,
        initial: 60,
        max: 200,
        time_limit_us: 150_000,
    };
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    scheduler.set_targets(vec![wide], at(0));
    run(&mut scheduler, 0, 200, |_| 200);
    assert_eq!(status(&scheduler, 0).window, 20);
    run(&mut scheduler, 20_000, 400, |_| 100);
    assert_eq!(status(&scheduler, 0).window, 200);
}

/// Guards against a lagging load report that stops work: it is a hint between equals only.
#[test]
fn report_is_a_hint() {
    let options = SchedulerOptions {
        max_report_age: DurationMs::new(5_000),
        ..SchedulerOptions::default()
    };
    let mut scheduler = engines_with(2, 100, options);
    let report = LoadReport {
        in_flight: TokenCount::new(1_000_000),
        at: at(0),
    };
    scheduler.load_report(&target(0), report);
    for id in 0..2 {
        scheduler.submit(request(id, 0, Class::Live, 100), at(1)).unwrap();
    }
    assert_eq!(scheduler.next(at(1)).unwrap().target, target(1));
    assert_eq!(scheduler.next(at(1)).unwrap().target, target(0));
}

/// Guards against an explanation that names the wrong limit.
#[test]
fn explains_waiting() {
    let mut scheduler = engines(1, 100);
    for id in 0..3 {
        scheduler.submit(request(id, 0, Class::Live, 100), at(0)).unwrap();
    }
    scheduler
        .submit(request(5, 0, Class::Training, 10), at(0))
        .unwrap();
    scheduler.next(at(0)).unwrap();
    let explain = |id| scheduler.explain(RequestId::new(id)).unwrap();
    assert_eq!(explain(0).reason, WaitReason::Running(target(0)));
    assert_eq!(
        (explain(2).reason, explain(2).requests_ahead),
        (WaitReason::WindowsFull, 1)
    );
    assert_eq!(explain(5).reason, WaitReason::LivePriority);
}
