//! Tests of operators' sharing rules for one organisation in one service.

mod common;

use common::{at, engines_with, organisation, request, service};
use jm_route::{Class, Outcome, Scheduler, SchedulerOptions, SharingRule};
use jm_types::{ResultCode, ServiceId, Share, TokenCount};

fn rule(service: ServiceId, number: u64, share: f64, queue_limit: usize) -> SharingRule {
    SharingRule {
        service,
        organisation: organisation(number),
        share: Share::new(share),
        queue_limit,
    }
}

/// Serves `count` requests one at a time and returns the number of those of organisation 1.
fn served_of_second(scheduler: &mut Scheduler, count: usize) -> usize {
    let mut served = 0;
    for _ in 0..count {
        let assignment = scheduler.next(at(0)).expect("requests are queued");
        // Odd requests belong to organisation 1.
        served += usize::from(!assignment.request.get().is_multiple_of(2));
        scheduler.finish(assignment.request, Outcome::Finished(TokenCount::new(5)), at(0));
    }
    served
}

fn served_with(rules: Vec<SharingRule>) -> usize {
    let mut scheduler = engines_with(1, 10, SchedulerOptions::default());
    scheduler.set_sharing_rules(rules, at(0));
    for id in 0..100 {
        let accepted = scheduler.submit(request(id, id % 2, Class::Live, 5), at(0));
        assert!(accepted.is_ok());
    }
    served_of_second(&mut scheduler, 40)
}

/// Guards against a rule for one service that changes the shares in another service.
#[test]
fn share_of_other_service() {
    let other: ServiceId = "other".parse().unwrap();
    let without = served_with(Vec::new());
    assert_eq!(served_with(vec![rule(other, 1, 100.0, 100)]), without);
    assert!(served_with(vec![rule(service(), 1, 4.0, 100)]) > without);
}

/// Guards against a configured queue limit without effect.
#[test]
fn configured_queue_limit() {
    let mut scheduler = engines_with(1, 10, SchedulerOptions::default());
    scheduler.set_sharing_rules(vec![rule(service(), 0, 1.0, 3)], at(0));
    let mut submit = |id, number| scheduler.submit(request(id, number, Class::Training, 5), at(0));
    assert!((0..3).all(|id| submit(id, 0).is_ok()));
    assert_eq!(submit(3, 0).unwrap_err().code, ResultCode::QueueFull);
    assert!(submit(4, 1).is_ok());
}
