//! Tests of queue limits, refusals, deadlines and cancellation.

mod common;

use common::{at, engines, engines_with, quick, request};
use jm_route::{Class, SchedulerOptions};
use jm_types::{Execution, RequestId, ResultCode, ServiceId};

fn small() -> SchedulerOptions {
    SchedulerOptions {
        organisation_queue_limit: 6,
        service_queue_limit: 10,
        ..SchedulerOptions::default()
    }
}

/// Guards against a queue that exceeds its limits, for any mix of organisations.
#[test]
fn bounds_hold() {
    fn check(organisations: Vec<u8>) -> bool {
        let mut scheduler = engines_with(1, 10, small());
        let mut counts = [0_usize; 256];
        for (id, number) in (0..).zip(organisations) {
            let accepted = scheduler.submit(request(id, number.into(), Class::Training, 5), at(0));
            counts[usize::from(number)] += usize::from(accepted.is_ok());
        }
        counts.iter().all(|count| *count <= 6) && counts.iter().sum::<usize>() <= 20
    }
    quick().quickcheck(check as fn(_) -> _);
}

/// Guards against a flood that fills the queue so that requests of another organisation are refused.
#[test]
fn flood_does_not_block_others() {
    let mut scheduler = engines_with(1, 10, small());
    let accepted = (0..100).filter(|id| {
        scheduler
            .submit(request(*id, id % 2, Class::Live, 5), at(0))
            .is_ok()
    });
    assert_eq!(accepted.count(), 10);
    assert!(scheduler.submit(request(200, 7, Class::Live, 5), at(0)).is_ok());
}

/// Guards against a refusal without the reason and the queue length.
#[test]
fn refusal_reports_reason_and_limits() {
    let mut scheduler = engines_with(1, 10, small());
    for id in 0..6 {
        scheduler.submit(request(id, 0, Class::Live, 5), at(0)).unwrap();
    }
    let refusal = scheduler
        .submit(request(9, 0, Class::Live, 5), at(0))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::QueueFull);
    assert_eq!(refusal.code.execution(), Execution::NotRun);
    assert!(
        refusal
            .message
            .contains("6 requests of organisation org-0 wait (limit 6), 6 in all"),
        "{refusal}"
    );
    assert!(scheduler.explain(RequestId::new(9)).is_none());
}

/// Guards against a queued request for a service without a target at this daemon.
#[test]
fn unknown_service_is_refused() {
    let mut scheduler = engines(1, 10);
    let mut other = request(1, 0, Class::Live, 5);
    other.service = ServiceId::new("ledger").unwrap();
    assert_eq!(
        scheduler.submit(other, at(0)).unwrap_err().code,
        ResultCode::NoTarget
    );
}

/// Guards against a request that runs after its deadline, and against an expired request that is not reported.
#[test]
fn deadlines_match_naive() {
    fn check(deadlines: Vec<u8>, now: u8) -> bool {
        let mut scheduler = engines(1, 1_000_000);
        for (id, deadline) in (0..).zip(&deadlines) {
            let mut next = request(id, id % 3, Class::Training, 5);
            next.deadline = at(u64::from(*deadline) + 1);
            scheduler.submit(next, at(0)).unwrap();
        }
        let now = at(now.into());
        let mut run: Vec<u64> = std::iter::from_fn(|| scheduler.next(now))
            .map(|a| a.request.get())
            .collect();
        let mut expired: Vec<u64> = scheduler
            .expire(now)
            .iter()
            .map(|expired| expired.request.get())
            .collect();
        run.sort_unstable();
        expired.sort_unstable();
        let (late, early): (Vec<u64>, Vec<u64>) =
            (0..deadlines.len() as u64).partition(|id| u64::from(deadlines[*id as usize]) < now.get());
        run == early && expired == late
    }
    quick().quickcheck(check as fn(_, _) -> _);
}

/// Guards against a cancelled request that still runs or occupies a part of the window.
#[test]
fn cancelled_never_runs() {
    fn check(cancelled: Vec<bool>) -> bool {
        let mut scheduler = engines(2, 1_000_000);
        for id in 0..cancelled.len() as u64 {
            scheduler
                .submit(request(id, id % 3, Class::Live, 5), at(0))
                .unwrap();
        }
        for (id, cancel) in (0..).zip(&cancelled) {
            if *cancel && !scheduler.cancel(RequestId::new(id)) {
                return false;
            }
        }
        let run: Vec<u64> = std::iter::from_fn(|| scheduler.next(at(1)))
            .map(|a| a.request.get())
            .collect();
        let kept = cancelled.iter().filter(|cancel| !**cancel).count();
        run.len() == kept && run.iter().all(|id| !cancelled[*id as usize])
    }
    quick().quickcheck(check as fn(_) -> _);
}
