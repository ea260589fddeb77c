//! Tests of leaving, removed, avoided, slow and failing targets, and of adaptive windows.

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

/// Guards against new work for a leaving target while a lagging host list still contains it.
#[test]
fn leaving_target_gets_no_work() {
    let mut scheduler = engines(2, 1_000);
    scheduler.mark_leaving(&target(0));
    scheduler.set_targets(vec![engine(0, 1_000), engine(1, 1_000)], at(1));
    for id in 0..40 {
        scheduler.submit(request(id, 0, Class::Live, 50), at(1)).unwrap();
    }
    assert!(std::iter::from_fn(|| scheduler.next(at(1))).all(|assignment| assignment.target == target(1)));
}

/// Guards against requests that stay queued until their deadline although the last target of the service is leaving.
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

/// Guards against wrong accounting after the removal of a target with running requests, when its slot may be reused.
#[test]
fn removal_keeps_accounting() {
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

/// Guards against exceeded or leaking windows, for any order of submitted and finished requests.
#[test]
fn accounting_matches_naive() {
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

/// Guards against a retry on a target that was tried before, and against a queued request without a usable target.
#[test]
fn tried_targets_are_avoided() {
    let mut scheduler = engines(2, 1_000);
    let mut retry = request(1, 0, Class::Live, 50);
    retry.avoid = vec![target(0)];
    scheduler.submit(retry, at(0)).unwrap();
    assert_eq!(scheduler.next(at(0)).unwrap().target, target(1));
    let mut exhausted = request(2, 0, Class::Live, 50);
    exhausted.avoid = vec![target(0), target(1)];
    assert_eq!(
        scheduler.submit(exhausted, at(0)).unwrap_err().code,
        ResultCode::NoTarget
    );
}

/// Runs requests of 10 tokens on the engines for `ticks` steps of 100 ms and counts the requests by target. `time_ms`
/// returns the time per token of a target.
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
        running.retain_mut(|(assignment, started_at, done)| {
            let total = 1 + (now - *started_at) / time_ms(&assignment.target);
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

/// Guards against a slow engine that still receives its full part of the work, and against an engine that is not used
/// after it recovered.
#[test]
fn slow_target_is_detected_and_recovers() {
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

/// Guards against a stalled engine, which reports no progress, that keeps normal health.
#[test]
fn stalled_target_is_detected() {
    let mut scheduler = engines(3, 60);
    run(&mut scheduler, 0, 100, |id| {
        if *id == target(0) { 1_000_000 } else { 100 }
    });
    assert_eq!(status(&scheduler, 0).health, Health::Slow);
}

/// Guards against one slow request on an otherwise idle target that changes its health to slow.
#[test]
fn one_slow_measurement_is_ignored() {
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

/// Guards against a target that fails fast and attracts the most work for that reason.
#[test]
fn failing_target_only_gets_probes() {
    let mut scheduler = engines(2, 1_000);
    let mut counts = [0; 2];
    for id in 0..200 {
        let now = at(id * 50);
        scheduler.submit(request(id, 0, Class::Live, 50), now).unwrap();
        while let Some(assignment) = scheduler.next(now) {
            let failing = assignment.target == target(0);
            counts[usize::from(!failing)] += 1;
            let outcome = if failing {
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

/// Guards against a window that exceeds its bounds, that grows while the time per token is too long, or that never
/// recovers.
#[test]
fn window_adapts() {
    let mut adaptive = engine(0, 60);
    adaptive.window = WindowBounds {
        min: 20,
        initial: 60,
        max: 200,
        time_limit_us: 150_000,
    };
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    scheduler.set_targets(vec![adaptive], at(0));
    run(&mut scheduler, 0, 200, |_| 200);
    assert_eq!(status(&scheduler, 0).window, 20);
    run(&mut scheduler, 20_000, 400, |_| 100);
    assert_eq!(status(&scheduler, 0).window, 200);
}

/// Guards against a lagging load report that stops new work. A report only decides between otherwise equal targets.
#[test]
fn load_report_only_breaks_ties() {
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
