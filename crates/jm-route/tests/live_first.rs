//! Tests of the priority of live requests over training requests, and of the headroom reserved for live requests.

mod common;

use common::{at, engines, quick, request, start_all};
use jm_route::{Class, Outcome, WaitReason};
use jm_types::{RequestId, TokenCount};

/// Guards against a training request that starts while a live request is queued.
#[test]
fn training_never_precedes_live() {
    fn check(classes: Vec<bool>) -> bool {
        let mut scheduler = engines(1, 20);
        let mut live = 0;
        for (id, is_live) in (0..).zip(&classes) {
            let class = if *is_live { Class::Live } else { Class::Training };
            live += usize::from(*is_live);
            scheduler.submit(request(id, id % 3, class, 5), at(0)).unwrap();
        }
        let mut order = Vec::new();
        while let Some(assignment) = scheduler.next(at(0)) {
            order.push(classes[assignment.request.get() as usize]);
            scheduler.finish(assignment.request, Outcome::Finished(TokenCount::new(0)), at(0));
        }
        order.len() == classes.len() && order.iter().take(live).all(|is_live| *is_live)
    }
    quick().quickcheck(check as fn(_) -> _);
}

/// Guards against training requests that use the headroom, so that a live request waits until a draft ends.
#[test]
fn headroom_is_reserved_for_live() {
    let mut scheduler = engines(2, 1_000);
    for id in 0..100 {
        scheduler
            .submit(request(id, 0, Class::Training, 50), at(0))
            .unwrap();
    }
    let started = start_all(&mut scheduler, 8).len();
    assert_eq!(
        started,
        2 * 20,
        "training may use 1,000 tokens, live requests 1,100"
    );
    assert_eq!(
        scheduler.explain(RequestId::new(99)).unwrap().reason,
        WaitReason::TrainingLimit
    );
    scheduler.submit(request(200, 1, Class::Live, 60), at(0)).unwrap();
    assert_eq!(scheduler.next(at(0)).unwrap().request, RequestId::new(200));
}

/// Guards against training requests that stay queued although live requests leave a part of the window free.
#[test]
fn training_uses_remaining_window() {
    let mut scheduler = engines(1, 1_000);
    scheduler.submit(request(1, 1, Class::Live, 400), at(0)).unwrap();
    for id in 10..40 {
        scheduler
            .submit(request(id, 0, Class::Training, 50), at(0))
            .unwrap();
    }
    let started = start_all(&mut scheduler, 8).len();
    assert_eq!(started, 1 + 12, "600 tokens remain for training");
    scheduler.finish(RequestId::new(1), Outcome::Finished(TokenCount::new(0)), at(0));
    assert_eq!(start_all(&mut scheduler, 8).len(), 8);
}

/// Guards against a request larger than the window that never starts or blocks later requests.
#[test]
fn large_request_starts() {
    let mut scheduler = engines(1, 1_000);
    for id in 0..4 {
        scheduler.submit(request(id, 0, Class::Live, 250), at(0)).unwrap();
    }
    scheduler
        .submit(request(9, 1, Class::Live, 5_000), at(0))
        .unwrap();
    let mut order = Vec::new();
    for _ in 0..5 {
        let running: Vec<RequestId> = std::iter::from_fn(|| scheduler.next(at(0)))
            .map(|a| a.request)
            .collect();
        for request in running {
            order.push(request.get());
            scheduler.finish(request, Outcome::Finished(TokenCount::new(0)), at(0));
        }
    }
    assert_eq!(order.len(), 5);
}
